#include "peers/dependency/client.h"

#include <algorithm>
#include <cmath>

#include "net/address.h"
#include "peers/dependency/call_counters.h"
#include "wire/dependency_lines.h"

namespace damsonspoke::peers {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kReuseSeconds = 0.5;  // after its last call, in which a link may be reused
constexpr double kIdleCheckSeconds = 0.5;
constexpr double kReplyTimeoutSeconds = 0.25;  // from a reply's first byte until it is complete
constexpr std::size_t kMaxCallsOfLink = 128;   // after which it takes no new call

Outcome outcome_of(wire::CallEnd end) {
  switch (end) {
    case wire::CallEnd::kOk: return Outcome::kOk;
    case wire::CallEnd::kRejected: return Outcome::kRejected;
    case wire::CallEnd::kFailed: return Outcome::kError;
    case wire::CallEnd::kTimedOut: return Outcome::kTimeout;
    case wire::CallEnd::kObsolete: return Outcome::kObsolete;
    case wire::CallEnd::kUnknown: break;
  }
  return Outcome::kError;
}

bool was_answered(Outcome outcome) {
  return outcome != Outcome::kTimeout && outcome != Outcome::kUnreachable && outcome != Outcome::kReset;
}

}  // namespace

DependencyClient::DependencyClient(net::Reactor& reactor, const std::string& address, std::size_t max_links,
                                   DependencyEvents& events, Counters& counters, Logger& log)
    : reactor_(reactor),
      address_(address),
      max_links_(max_links),
      events_(events),
      counters_(counters),
      log_(log) {
  if (address_.empty()) return;
  net::parse_address(address_);  // throws at the start, not at the first call
  close_idle_links();
}

DependencyClient::~DependencyClient() {
  reactor_.cancel(idle_timer_);
  for (auto& [tag, link] : links_) reactor_.cancel(link.reply_timer);
  for (auto& [id, call] : calls_) reactor_.cancel(call.timeout_timer);
}

void DependencyClient::move_to(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  for (auto& [tag, link] : links_) {
    link.is_retired = true;
    if (link.calls.empty()) link.connection->close();
  }
}

// A call gets a link of its own, so that an invalid reply or a reset affects no other call. A link that has
// just carried a call is reused. An idle one is not: the dependency may have closed or dropped it, and a
// call that fails for that reason would not prove that it never ran.
std::uint64_t DependencyClient::link_for_call(RequestId id) {
  if (const std::uint64_t reusable = find_reusable_link(id); reusable != 0) return reusable;
  const auto in_use = std::count_if(links_.begin(), links_.end(), [](const auto& entry) {
    const Link& link = entry.second;
    return !link.is_retired && link.connection->open() && !link.calls.empty();
  });
  if (static_cast<std::size_t>(in_use) < max_links_) return open_link();
  const std::uint64_t shared = shared_link(id);
  return shared != 0 ? shared : open_link();
}

// The newest of the links with the fewest calls that has carried no call of this request: replies name the
// request, so a duplicate of its earlier reply would be taken for the new one. Where there is none, the first
// choice is retired, so that a new link may take its place, and 0 is returned.
std::uint64_t DependencyClient::shared_link(RequestId id) {
  auto least_loaded = links_.end();
  auto to_replace = links_.end();
  for (auto position = links_.begin(); position != links_.end(); ++position) {
    const Link& link = position->second;
    if (link.is_retired || !link.connection->open() || link.calls.empty()) continue;
    auto& best = link.carried.contains(id) ? to_replace : least_loaded;
    if (best == links_.end() || link.calls.size() <= best->second.calls.size()) best = position;
  }
  if (least_loaded != links_.end()) return least_loaded->first;
  if (to_replace != links_.end()) to_replace->second.is_retired = true;
  return 0;
}

// The newest link that has just carried a call; 0: there is none. Closes the idle links on the way.
std::uint64_t DependencyClient::find_reusable_link(RequestId id) {
  const double now = net::monotonic_now();
  for (auto position = links_.end(); position != links_.begin();) {
    --position;
    auto& [tag, link] = *position;
    if (link.is_retired || !link.connection->open() || !link.calls.empty()) continue;
    if (link.carried.contains(id)) continue;  // as for shared_link()
    if (now - link.idle_since <= kReuseSeconds && link.connection->nothing_to_read()) return tag;
    link.is_retired = true;
    link.connection->close();
  }
  return 0;
}

std::uint64_t DependencyClient::open_link() {
  const std::uint64_t tag = next_tag_++;
  Link& link = links_[tag];
  link.connection = net::Connection::connecting(reactor_, *this, net::parse_address(address_),
                                                {kMaxInputBytes, kMaxOutputBytes});
  link.connection->tag = tag;
  return tag;
}

void DependencyClient::call(RequestId id, double timeout, std::string_view body) {
  cancel(id);  // a request has one call at a time
  counters_.add(Count::kCallsMade);
  const std::uint64_t tag = link_for_call(id);
  Link& link = links_.at(tag);
  link.calls.push_back(id);
  link.carried.insert(id);
  if (link.carried.size() >= kMaxCallsOfLink) link.is_retired = true;
  Call& call = calls_[id];
  call.link = tag;
  call.may_be_sent = link.connection->connected();
  call.started_at = net::monotonic_now();
  call.timeout_timer = reactor_.at(call.started_at + timeout, [this, id] { on_timeout(id); });
  // The timeout sent to the dependency is no shorter than the local one, so that a timeout is counted here,
  // once.
  const auto timeout_ms = static_cast<std::uint64_t>(std::max(1.0, std::ceil(timeout * kMsPerSecond)));
  link.connection->send(wire::encode_call(id, timeout_ms, body));
}

// After an answered call the link can carry another one. After a call that was given up it cannot, as the
// reply may still arrive: the link is closed unless it carries other calls.
void DependencyClient::detach_call(RequestId id, std::uint64_t tag, bool is_answered) {
  const auto found = links_.find(tag);
  if (found == links_.end()) return;
  Link& link = found->second;
  std::erase(link.calls, id);
  link.idle_since = net::monotonic_now();
  if (!is_answered && !link.calls.empty()) link.connection->send(wire::encode_cancel(id));
  if (!is_answered) link.is_retired = true;
  if (link.is_retired && link.calls.empty()) link.connection->close();
}

void DependencyClient::cancel(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  counters_.add(Count::kCallsCancelled);
  reactor_.cancel(found->second.timeout_timer);
  const std::uint64_t tag = found->second.link;
  calls_.erase(found);
  detach_call(id, tag, false);
}

void DependencyClient::on_timeout(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  // A call on a link that was never connected, and closes with it, can't have run.
  const bool may_have_run = found->second.may_be_sent || links_.at(found->second.link).calls.size() > 1;
  finish_call(id, may_have_run ? Outcome::kTimeout : Outcome::kUnreachable, {});
}

void DependencyClient::finish_call(RequestId id, Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const double call_seconds = net::monotonic_now() - found->second.started_at;
  const std::uint64_t tag = found->second.link;
  reactor_.cancel(found->second.timeout_timer);
  calls_.erase(found);
  detach_call(id, tag, was_answered(outcome));
  counters_.add(counter_of(outcome));
  events_.on_call_ended(id, outcome, call_seconds, reply);
}

void DependencyClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kDependencyConnections);
  counters_.update_max(Count::kDependencyMaxOpen, links_.size());
  for (const RequestId id : links_.at(connection.tag).calls) calls_.at(id).may_be_sent = true;
}

// After an invalid reply nothing on the link can be trusted: it is closed, and the end of its calls does
// not prove that they never ran.
void DependencyClient::close_broken(Link& link, std::string_view reason) {
  counters_.add(Count::kDependencyInvalid);
  log_.warn("dependency", "{}; connection to the dependency closed", reason);
  link.connection->close(net::CloseReason::kBroken);
}

void DependencyClient::on_reply(std::uint64_t tag, RequestId id, Outcome outcome, std::string_view body) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.link == tag) return finish_call(id, outcome, body);
  // A duplicate, or a reply to no call, is ignored, but the link takes no new call.
  counters_.add(Count::kDependencyLate);
  Link& link = links_.at(tag);
  link.is_retired = true;
  if (link.calls.empty()) link.connection->close();
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
      close_broken(link, "invalid reply");
      return bytes.size();
    }
    used += read.length;
    on_reply(connection.tag, read.id, outcome_of(read.end), read.body);
  }
  reactor_.cancel(link.reply_timer);
  if (connection.open() && used < bytes.size()) limit_reply_time(connection.tag);
  return used;
}

// Limits the time until a partly received reply is complete: an unterminated line or a wrong length would
// hold the call until its timeout.
void DependencyClient::limit_reply_time(std::uint64_t tag) {
  links_.at(tag).reply_timer = reactor_.after(kReplyTimeoutSeconds, [this, tag] {
    const auto found = links_.find(tag);
    if (found != links_.end()) close_broken(found->second, "incomplete reply");
  });
}

void DependencyClient::on_end_of_input(net::Connection& connection) {
  connection.close(net::CloseReason::kBroken);
}

// A connection that was never established proves that its calls did not run; one that broke proves nothing.
void DependencyClient::on_end(net::Connection& connection, net::CloseReason why) {
  const auto found = links_.find(connection.tag);
  if (found == links_.end()) return;
  const std::vector<RequestId> calls = found->second.calls;
  reactor_.cancel(found->second.reply_timer);
  links_.erase(found);
  if (calls.empty()) return;
  if (why != net::CloseReason::kRefused) {
    counters_.add(Count::kDependencyBroken);
    log_.warn("dependency", "connection to the dependency lost with {} calls in flight", calls.size());
  }
  for (const RequestId id : calls) {
    const auto call = calls_.find(id);
    if (call == calls_.end() || call->second.link != connection.tag) continue;  // ended meanwhile
    const bool was_never_sent = why == net::CloseReason::kRefused && !call->second.may_be_sent;
    finish_call(id, was_never_sent ? Outcome::kUnreachable : Outcome::kReset, {});
  }
}

void DependencyClient::close_idle_links() {
  const double now = net::monotonic_now();
  for (auto& [tag, link] : links_) {
    if (link.calls.empty() && now - link.idle_since > kReuseSeconds) link.connection->close();
  }
  idle_timer_ = reactor_.after(kIdleCheckSeconds, [this] { close_idle_links(); });
}

}  // namespace damsonspoke::peers
