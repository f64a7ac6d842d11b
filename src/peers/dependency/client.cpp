#include "peers/dependency/client.h"

#include <algorithm>
#include <cmath>

#include "net/address.h"
#include "wire/dependency_lines.h"

namespace damsonspoke::peers {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kReuse = 0.5;     // s without a call after which a connection is not used again
constexpr double kIdleLook = 0.5;  // s; between looks
constexpr double kWhole = 0.25;    // s for the rest of a reply that has begun: 4 KiB come in one piece or two

Outcome outcome_of(wire::CallEnd end) {
  switch (end) {
    case wire::CallEnd::kOk: return Outcome::kOk;
    case wire::CallEnd::kRefused: return Outcome::kRefused;
    case wire::CallEnd::kFailed: return Outcome::kError;
    case wire::CallEnd::kTimedOut: return Outcome::kTimeout;
    case wire::CallEnd::kObsolete: return Outcome::kObsolete;
    case wire::CallEnd::kUnknown: break;
  }
  return Outcome::kError;
}

Count count_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return Count::kCallsOk;
    case Outcome::kRefused: return Count::kCallsRefused;
    case Outcome::kTimeout: return Count::kCallsTimedOut;
    case Outcome::kObsolete: return Count::kCallsMoot;
    case Outcome::kUnreachable: return Count::kCallsUnreachable;
    case Outcome::kReset: return Count::kCallsBroken;
    default: return Count::kCallsFailed;
  }
}

}  // namespace

DependencyClient::DependencyClient(net::Reactor& reactor, const std::string& address, std::size_t most_links,
                                   DependencyEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      address_(address),
      most_links_(most_links),
      events_(events),
      counters_(counters),
      log_(log) {
  if (address_.empty()) return;
  net::parse_address(address_);  // a wrong one is told at the start
  look_for_idle();
}

DependencyClient::~DependencyClient() {
  reactor_.cancel(idle_timer_);
  for (auto& [tag, link] : links_) reactor_.cancel(link.rest);
  for (auto& [id, call] : calls_) reactor_.cancel(call.patience);
}

void DependencyClient::move_to(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  for (auto& [tag, link] : links_) {
    link.spent = true;
    if (link.calls.empty()) link.connection->close();
  }
}

// A call gets a connection of its own, so that a spoilt reply, or a reset, takes no other call with it. One
// that has just carried a call is used again; one that stood idle is not: the other side may have closed or
// forgotten it, and a call that meets that proves nothing.
std::uint64_t DependencyClient::link_for_call(RequestId id) {
  const double now = net::monotonic_now();
  std::size_t usable = 0;
  auto fewest = links_.end();
  for (auto it = links_.end(); it != links_.begin();) {
    --it;
    Link& link = it->second;
    if (link.spent || !link.connection->open()) continue;
    if (link.calls.empty()) {
      // Not for the same request again: a second copy of its last reply would pass for the new one.
      if (link.last == id) continue;
      if (now - link.idle_since <= kReuse && link.connection->nothing_to_read()) return it->first;
      link.spent = true;
      link.connection->close();
      continue;
    }
    ++usable;
    if (fewest == links_.end() || link.calls.size() < fewest->second.calls.size()) fewest = it;
  }
  if (usable >= most_links_ && fewest != links_.end()) return fewest->first;
  const std::uint64_t tag = next_tag_++;
  Link& link = links_[tag];
  link.connection =
      net::Connection::connecting(reactor_, *this, net::parse_address(address_), {kMostInput, kMostOutput});
  link.connection->tag = tag;
  return tag;
}

void DependencyClient::call(RequestId id, double patience, std::string_view body) {
  cancel(id);  // one call a request at a time
  counters_.add(Count::kCallsMade);
  const std::uint64_t tag = link_for_call(id);
  Link& link = links_.at(tag);
  link.calls.push_back(id);
  link.last = id;
  Call& call = calls_[id];
  call.link = tag;
  call.sent = link.connection->connected();
  call.since = net::monotonic_now();
  call.patience = reactor_.at(call.since + patience, [this, id] { patience_over(id); });
  // The time that is told ends no sooner than ours, so that the end is counted here once.
  const auto ms = static_cast<std::uint64_t>(std::max(1.0, std::ceil(patience * kMsPerSecond)));
  link.connection->send(wire::encode_call(id, ms, body));
}

// The call leaves its connection. An answered one leaves it fit for the next call; one that was given up does
// not: its reply may yet come, or its connection hang, so the connection goes with it where it has no other.
void DependencyClient::take_off(RequestId id, std::uint64_t tag, bool answered) {
  const auto found = links_.find(tag);
  if (found == links_.end()) return;
  Link& link = found->second;
  std::erase(link.calls, id);
  link.idle_since = net::monotonic_now();
  if (!answered && !link.calls.empty()) link.connection->send(wire::encode_cancel(id));
  if (!answered) link.spent = true;
  if (link.spent && link.calls.empty()) link.connection->close();
}

void DependencyClient::cancel(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  counters_.add(Count::kCallsCancelled);
  reactor_.cancel(found->second.patience);
  const std::uint64_t tag = found->second.link;
  calls_.erase(found);
  take_off(id, tag, false);
}

void DependencyClient::patience_over(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  // On a connection that was never made and goes with it, the call has not left: it proves not run.
  const bool left = found->second.sent || links_.at(found->second.link).calls.size() > 1;
  end(id, left ? Outcome::kTimeout : Outcome::kUnreachable, {});
}

void DependencyClient::end(RequestId id, Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const double spent = net::monotonic_now() - found->second.since;
  const std::uint64_t tag = found->second.link;
  reactor_.cancel(found->second.patience);
  calls_.erase(found);
  const bool unanswered =
      outcome == Outcome::kTimeout || outcome == Outcome::kUnreachable || outcome == Outcome::kReset;
  take_off(id, tag, !unanswered);
  counters_.add(count_of(outcome));
  events_.on_call_ended(id, outcome, spent, reply);
}

void DependencyClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kBelowLinks);
  counters_.most(Count::kBelowMost, links_.size());
  for (const RequestId id : links_.at(connection.tag).calls) calls_.at(id).sent = true;
}

// What can't be read leaves nothing on that connection to be believed: it closes, and its calls prove
// nothing.
void DependencyClient::spoilt(Link& link, const char* what) {
  counters_.add(Count::kBelowBad);
  log_.warn("below", "{}, connection closed", what);
  link.connection->close(net::End::kBroken);
}

std::size_t DependencyClient::on_input(net::Connection& connection, std::string_view bytes) {
  const auto at = links_.find(connection.tag);
  if (at == links_.end()) return bytes.size();
  Link& link = at->second;
  std::size_t used = 0;
  while (connection.open() && used < bytes.size()) {
    const wire::ReplyRead read = wire::next_reply(bytes.substr(used));
    if (read.state == wire::LineState::kNeedMore) break;
    if (read.state == wire::LineState::kBroken || read.end == wire::CallEnd::kUnknown) {
      spoilt(link, "a reply that can't be read");
      return bytes.size();
    }
    used += read.length;
    const auto found = calls_.find(read.id);
    if (found == calls_.end() || found->second.link != connection.tag) {
      // A second copy, or a reply that nobody asked for: passed over, but no new call goes behind it.
      counters_.add(Count::kBelowLate);
      link.spent = true;
      if (link.calls.empty()) connection.close();
    } else {
      end(read.id, outcome_of(read.end), read.body);
    }
  }
  // A reply that has begun must be whole soon. Guards against lines without an end and lengths that do not
  // fit, which would hold their call until its patience is over.
  reactor_.cancel(link.rest);
  if (connection.open() && used < bytes.size()) {
    link.rest = reactor_.after(kWhole, [this, tag = connection.tag] {
      const auto found = links_.find(tag);
      if (found != links_.end()) spoilt(found->second, "a reply that does not end");
    });
  }
  return used;
}

void DependencyClient::on_end_of_input(net::Connection& connection) { connection.close(net::End::kBroken); }

// A connection that was never made proves that no call ran; one that broke proves nothing.
void DependencyClient::on_end(net::Connection& connection, net::End why) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  const std::vector<RequestId> calls = found->second.calls;
  reactor_.cancel(found->second.rest);
  links_.erase(found);
  if (calls.empty()) return;
  if (why != net::End::kRefused) {
    counters_.add(Count::kBelowBroken);
    log_.warn("below", "connection lost with {} calls in hand", calls.size());
  }
  for (const RequestId id : calls) {
    const auto call = calls_.find(id);
    if (call == calls_.end() || call->second.link != connection.tag) continue;  // ended by another's end
    const bool never_left = why == net::End::kRefused && !call->second.sent;
    end(id, never_left ? Outcome::kUnreachable : Outcome::kReset, {});
  }
}

void DependencyClient::look_for_idle() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    if (link.calls.empty() && now - link.idle_since > kReuse) link.connection->close();
  }
  idle_timer_ = reactor_.after(kIdleLook, [this] { look_for_idle(); });
}

}  // namespace damsonspoke::peers
