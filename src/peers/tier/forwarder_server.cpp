#include "peers/tier/forwarder_server.h"

#include <unistd.h>

#include <algorithm>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

namespace wt = wire::tier;

constexpr std::size_t kOutputBytes = 1 << 20;  // a link; a forwarder that reads nothing costs no more
constexpr double kLook = 0.05;     // s; between looks at windows, silent links and forwarders that are away
constexpr double kHello = 1;       // s from accepting until a link must have said hello
constexpr double kSilence = 1.5;   // s without a whole message: forwarders ping every quarter of a second
constexpr double kSixteenth = 16;  // of a kB, as sizes stand on the wire
constexpr double kMicro = 1e-6;
constexpr double kWorthStep = 50;  // thousandths of importance; a smaller change is not worth telling

std::uint32_t micros(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(seconds * 1e6, 0.0, 4e9));
}

tier::ForwarderSessionsOptions terms_of(const ForwarderServer::Limits& limits) {
  tier::ForwarderSessionsOptions terms;
  terms.kept_bytes = limits.kept_bytes;
  return terms;
}

}  // namespace

ForwarderServer::ForwarderServer(net::Reactor& reactor, const std::string& listen, Self self, Limits limits,
                                 CallerEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      self_(std::move(self)),
      limits_(limits),
      events_(events),
      counters_(counters),
      log_(log),
      output_{limits.output_bytes, 0},
      listener_(reactor, net::parse_address(listen), [this](const net::Accepted& one) { on_accept(one); }),
      holdings_(terms_of(limits)),
      windows_(self_.warming) {
  look();
}

ForwarderServer::~ForwarderServer() { reactor_.cancel(look_timer_); }

void ForwarderServer::on_accept(const net::Accepted& accepted) {
  const int fd = accepted.fd;
  if (static_cast<int>(links_.size()) >= limits_.links) {
    counters_.add(Count::kCallersTurnedAway);
    ::close(fd);
    return;
  }
  const std::uint64_t tag = next_tag_++;
  Link& link = links_[tag];
  link.connection = net::Connection::accepted(reactor_, *this, fd, {kMostInput, kOutputBytes, &output_});
  link.connection->tag = tag;
  link.heard_at = net::monotonic_now();
  counters_.add(Count::kCallersAccepted);
  counters_.most(Count::kCallersMost, links_.size());
}

std::size_t ForwarderServer::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  while (connection.open()) {
    const auto found = links_.find(connection.tag);
    if (found == links_.end()) return bytes.size();
    wt::Taken taken = wt::next_message(bytes.substr(used));
    if (taken.state == wt::Framing::kNeedMore) break;
    if (taken.state == wt::Framing::kBroken) {
      counters_.add(Count::kBadFrames);
      log_.warn("forwarders", "{}: a frame that can't be trusted, link closed", found->second.name);
      connection.close(net::End::kBroken);
      return bytes.size();
    }
    used += taken.length;
    found->second.heard_at = net::monotonic_now();
    if (!take(connection.tag, taken.message)) {
      counters_.add(Count::kBadRequests);
      connection.close(net::End::kBroken);
      return bytes.size();
    }
  }
  counters_.add(Count::kBytesIn, used);
  return used;
}

// False: the peer does not keep to the protocol.
bool ForwarderServer::take(std::uint64_t tag, wt::Message& message) {
  if (const auto* hello = std::get_if<wt::Hello>(&message)) return take_hello(tag, *hello);
  Link& link = links_.at(tag);
  if (link.forwarder == 0) return false;
  if (auto* submit = std::get_if<wt::Submit>(&message)) return take_submit(link, *submit);
  if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
    if (const std::optional<RequestId> request = holdings_.cancel(link.forwarder, cancel->attempt))
      gone({*request});
    return true;
  }
  if (const auto* fence = std::get_if<wt::Fence>(&message)) return take_fence(link, *fence), true;
  if (const auto* ping = std::get_if<wt::Ping>(&message)) return put(link, wt::Pong{ping->token}), true;
  return false;
}

bool ForwarderServer::take_hello(std::uint64_t tag, const wt::Hello& hello) {
  Link& link = links_.at(tag);
  if (link.forwarder != 0 || hello.planner || hello.version != wt::kVersion || hello.name.empty()) {
    log_.warn("forwarders", "a hello that is not served: version {}, from '{}'", hello.version, hello.name);
    return false;
  }
  const tier::ForwarderSessions::SessionStart greeting = holdings_.hello(hello.name, hello.epoch, tag);
  if (greeting.old_link != 0) {
    const auto old = links_.find(greeting.old_link);
    if (old != links_.end()) old->second.connection->close();
  }
  gone(greeting.gone);
  if (greeting.forwarder == 0) return false;
  link.forwarder = greeting.forwarder;
  link.name = hello.name;
  for (const std::string& type : hello.types) {
    const auto found = std::find(self_.types.begin(), self_.types.end(), type);
    link.types.push_back(found == self_.types.end() ? -1 : static_cast<int>(found - self_.types.begin()));
  }
  log_.info("forwarders", "{} is linked", hello.name);
  const double now = net::monotonic_now();
  windows_.joined(link.forwarder);
  hand_out(now);
  const wt::Window window = window_now(link);
  link.told_window = window.window;
  link.told_worth = window.slot_worth;
  wt::Hello mine;
  mine.planner = true;
  mine.epoch = self_.epoch;
  mine.name = self_.name;
  mine.cores = static_cast<std::uint16_t>(self_.warming.cores);
  mine.window = window.window;
  put(link, mine);
  put(link, window);
  if (no_more_) put(link, wt::NoMore{micros(self_.stop_after)});
  tell_windows(false);
  return true;
}

bool ForwarderServer::take_submit(Link& link, wt::Submit& submit) {
  const auto taking = holdings_.submit(link.forwarder, submit.attempt, submit.request,
                                       submit.route < link.types.size() ? link.types[submit.route] : -1);
  // Numbers rise on a link: one that does not is either fenced off or no number of this protocol's.
  if (taking == tier::ForwarderSessions::SubmitResult::kFenced)
    return counters_.add(Count::kTierFenced), true;
  const ReplyAddress ticket{link.forwarder, submit.attempt};
  wt::Answer refusal;
  refusal.attempt = submit.attempt;
  refusal.result = wt::Result::kRejected;
  if (taking == tier::ForwarderSessions::SubmitResult::kTooMany) return put(link, refusal), true;
  const int type = submit.route < link.types.size() ? link.types[submit.route] : -1;
  if (type < 0) {
    counters_.add(Count::kBadTypes);
    refusal.no_retry = true;
    return answer(ticket, refusal), true;
  }
  if (events_.is_in_use(submit.request)) {  // a former attempt at it still runs here
    counters_.add(Count::kBadIds);
    return answer(ticket, refusal), true;
  }
  IncomingRequest request;
  request.id = submit.request;
  request.route = type;
  request.caller = submit.caller;
  request.subject = submit.subject;
  request.size_kb = std::max(1.0, static_cast<double>(submit.size_sixteenth_kb)) / kSixteenth;
  request.received_at = net::unix_now() - submit.age_us * kMicro;
  if (submit.remaining_us != wt::kNoLimit)
    request.client_timeout = (static_cast<double>(submit.age_us) + submit.remaining_us) * kMicro;
  request.idempotency_key = std::move(submit.idempotency_key);
  request.body = std::move(submit.body);
  request.known_only = submit.known_only;
  request.reply_to = ticket;
  events_.on_request_read(std::move(request));
  return true;
}

void ForwarderServer::take_fence(Link& link, const wt::Fence& fence) {
  const auto proof = holdings_.fence(link.forwarder, fence.attempt,
                                     [this](RequestId request) { return events_.has_started(request); });
  counters_.add(Count::kTierFences);
  // Its request goes first: the proof is only true once nothing can start it any more.
  if (proof.drop) events_.on_caller_disconnected(*proof.drop);
  put(link, proof.answer);
}

void ForwarderServer::gone(const std::vector<RequestId>& requests) {
  for (const RequestId request : requests) events_.on_caller_disconnected(request);
}

void ForwarderServer::put(Link& link, const wt::Message& message) {
  if (!link.connection->open()) return;
  const std::string bytes = wt::encode(message);
  link.connection->send(bytes);
  counters_.add(Count::kBytesOut, bytes.size());
}

void ForwarderServer::answer(ReplyAddress ticket, wt::Answer answer) {
  answer.attempt = ticket.number;
  const tier::OpenAttempt* held = holdings_.find(ticket.connection, ticket.number);
  if (held == nullptr) return;
  if (held->route >= 0) {
    const double now = net::monotonic_now();
    answer.result == wt::Result::kRejected
        ? worth_.rejected(self_.priority_weight[static_cast<std::size_t>(held->route)], now)
        : worth_.taken(now);
  }
  const std::uint64_t link = holdings_.answered(ticket.connection, answer);
  const auto found = links_.find(link);
  if (found != links_.end()) put(found->second, answer);
}

void ForwarderServer::answer_succeeded(ReplyAddress ticket, std::string_view result) {
  wt::Answer out;
  out.result = wt::Result::kSucceeded;
  out.body = result;
  answer(ticket, std::move(out));
}
void ForwarderServer::answer_rejected(ReplyAddress ticket, double retry_after, bool no_retry) {
  wt::Answer out;
  out.result = wt::Result::kRejected;
  out.retry_after_us = micros(retry_after);
  out.no_retry = no_retry;
  answer(ticket, std::move(out));
}
void ForwarderServer::answer_failed(ReplyAddress ticket, FailureReason why) {
  wt::Answer out;
  out.result = why == FailureReason::kKeyUnknown       ? wt::Result::kNotKnown
               : why == FailureReason::kOutcomeUnknown ? wt::Result::kUnknown
               : why == FailureReason::kKeyConflict    ? wt::Result::kConflict
                                                       : wt::Result::kFailed;
  answer(ticket, std::move(out));
}

void ForwarderServer::start_warm_up(bool cold, double ago) {
  windows_.began(cold, net::monotonic_now() - ago);
  tell_windows(false);
}

void ForwarderServer::hand_out(double now) {
  windows_.look(now, [this](tier::SlowStartShares::Link forwarder) { return holdings_.open(forwarder); });
}

wt::Window ForwarderServer::window_now(const Link& link) {
  const double now = net::monotonic_now();
  wt::Window window;
  window.window = windows_.window(link.forwarder, holdings_.linked(), now);
  window.slot_worth = static_cast<std::uint32_t>(worth_.worth(now) * 1000);
  window.good = good_;
  return window;
}

void ForwarderServer::tell_windows(bool all) {
  hand_out(net::monotonic_now());
  for (auto& [tag, link] : links_) {
    if (link.forwarder == 0) continue;
    const wt::Window window = window_now(link);
    const double moved = std::abs(static_cast<double>(window.slot_worth) - link.told_worth);
    if (!all && window.window == link.told_window && moved < kWorthStep) continue;
    link.told_window = window.window;
    link.told_worth = window.slot_worth;
    put(link, window);
  }
}

void ForwarderServer::set_healthy(bool good) {
  if (good == good_) return;
  good_ = good;
  tell_windows(true);
}

void ForwarderServer::announce_drain() {
  no_more_ = true;
  for (auto& [tag, link] : links_) {
    if (link.forwarder != 0) put(link, wt::NoMore{micros(self_.stop_after)});
  }
}

void ForwarderServer::stop_listening() { listener_.close(); }

void ForwarderServer::close_idle_connections() {
  std::vector<std::shared_ptr<net::Connection>> all;
  for (const auto& [tag, link] : links_) all.push_back(link.connection);
  for (const auto& connection : all) connection->read_now();
  if (holdings_.open() > 0) return;
  for (const auto& connection : all) connection->end();
}

// A link must say hello, and then something whole every so often. Guards against links that stall in the
// middle of a frame, and forwarders that are gone without an end.
void ForwarderServer::look() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    const double patience = link.forwarder == 0 ? kHello : kSilence;
    if (!link.connection->open() || now - link.heard_at <= patience) continue;
    counters_.add(Count::kSilentClosed);
    log_.warn("forwarders", "{}: silent, link closed", link.name);
    link.connection->close(net::End::kBroken);
  }
  gone(holdings_.expired(now));
  tell_windows(false);
  look_timer_ = reactor_.after(kLook, [this] { look(); });
}

void ForwarderServer::on_end_of_input(net::Connection& connection) { connection.close(); }

void ForwarderServer::on_end(net::Connection& connection, net::End why) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  if (found->second.forwarder != 0) {
    log_.info("forwarders", "{}: link ended", found->second.name);
    holdings_.link_lost(connection.tag, net::monotonic_now());
    windows_.left(found->second.forwarder, net::monotonic_now());
  }
  links_.erase(found);
  counters_.add(why == net::End::kInOrder ? Count::kCallersClosed : Count::kCallersReset);
}

}  // namespace damsonspoke::peers
