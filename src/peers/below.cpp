#include "peers/below.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "net/address.h"
#include "wire/below_lines.h"

namespace damsonspoke::peers {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kIdle = 8;  // s; below closes after 10 s, and a call that crosses that close proves nothing
constexpr double kIdleLook = 1;                        // s; between looks
constexpr std::size_t kInputBytes = 256 * 1024;        // a line with its payload is under 70 KiB
constexpr std::size_t kOutputBytes = 4 * 1024 * 1024;  // calls behind a layer that does not read

Outcome outcome_of(wire::CallEnd end) {
  switch (end) {
    case wire::CallEnd::kOk: return Outcome::kOk;
    case wire::CallEnd::kRefused: return Outcome::kRefused;
    case wire::CallEnd::kFailed: return Outcome::kError;
    case wire::CallEnd::kTimedOut: return Outcome::kTimeout;
    case wire::CallEnd::kMoot: return Outcome::kMoot;
    case wire::CallEnd::kUnknown: break;
  }
  return Outcome::kError;
}

Count count_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return Count::kCallsOk;
    case Outcome::kRefused: return Count::kCallsRefused;
    case Outcome::kTimeout: return Count::kCallsTimedOut;
    case Outcome::kMoot: return Count::kCallsMoot;
    case Outcome::kUnreachable: return Count::kCallsUnreachable;
    case Outcome::kReset: return Count::kCallsBroken;
    default: return Count::kCallsFailed;
  }
}

}  // namespace

Below::Below(net::Reactor& reactor, const std::string& address, BelowEvents& events, Counters& counters,
             Logger& log)
    : reactor_(reactor), address_(address), events_(events), counters_(counters), log_(log) {
  if (address_.empty()) return;
  net::parse_address(address_);  // a wrong one is told at the start
  look_for_idle();
}

Below::~Below() {
  reactor_.cancel(idle_timer_);
  for (auto& [id, call] : calls_) reactor_.cancel(call.patience);
}

void Below::connect() {
  link_ =
      net::Connection::connecting(reactor_, *this, net::parse_address(address_), {kInputBytes, kOutputBytes});
  link_->tag = next_tag_++;
}

void Below::call(OpId id, double patience, std::string_view body) {
  cancel(id);  // one call an op at a time
  if (!link_ || !link_->open()) connect();
  counters_.add(Count::kCallsMade);
  last_traffic_ = net::monotonic_now();
  Call& call = calls_[id];
  call.connection = link_->tag;
  call.sent = link_->connected();
  call.since = last_traffic_;
  call.patience = reactor_.at(call.since + patience, [this, id] { patience_over(id); });
  // The time that is told ends no sooner than ours, so that the end is counted here once.
  const auto ms = static_cast<std::uint64_t>(std::max(1.0, std::ceil(patience * kMsPerSecond)));
  link_->send(wire::encode_call(id, ms, body));
}

void Below::cancel(OpId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  counters_.add(Count::kCallsCancelled);
  reactor_.cancel(found->second.patience);
  if (found->second.connection == link_->tag) link_->send(wire::encode_cancel(id));
  calls_.erase(found);
}

void Below::patience_over(OpId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (found->second.connection == link_->tag) link_->send(wire::encode_cancel(id));
  end(id, Outcome::kTimeout, {});  // also while connecting: it may yet leave with what waits to be sent
}

void Below::end(OpId id, Outcome outcome, std::string_view reply) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const double spent = net::monotonic_now() - found->second.since;
  reactor_.cancel(found->second.patience);
  calls_.erase(found);
  counters_.add(count_of(outcome));
  events_.on_call_ended(id, outcome, spent, reply);
}

void Below::on_connected(net::Connection& connection) {
  counters_.add(Count::kBelowLinks);
  for (auto& [id, call] : calls_) {
    if (call.connection == connection.tag) call.sent = true;
  }
}

std::size_t Below::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  last_traffic_ = net::monotonic_now();
  while (connection.open()) {
    const wire::ReplyRead read = wire::next_reply(bytes.substr(used));
    if (read.state == wire::LineState::kNeedMore) break;
    if (read.state == wire::LineState::kBroken) {
      counters_.add(Count::kBelowBad);
      log_.warn("below", "a line that can't be told from the next, connection opened anew");
      connection.close(net::End::kBroken);
      break;
    }
    used += read.length;
    const auto found = calls_.find(read.id);
    if (read.end == wire::CallEnd::kUnknown) {
      counters_.add(Count::kBelowBad);
      log_.warn("below", "a line that can't be used");
    } else if (found == calls_.end() || found->second.connection != connection.tag) {
      counters_.add(Count::kBelowLate);
    } else {
      end(read.id, outcome_of(read.end), read.body);
    }
  }
  return used;
}

void Below::on_end_of_input(net::Connection& connection) { connection.close(net::End::kBroken); }

// A connection that was never made proves that no call ran; one that broke proves nothing.
void Below::on_end(net::Connection& connection, net::End why) {
  std::vector<std::pair<OpId, Outcome>> over;
  for (const auto& [id, call] : calls_) {
    if (call.connection != connection.tag) continue;
    over.emplace_back(id, why == net::End::kRefused && !call.sent ? Outcome::kUnreachable : Outcome::kReset);
  }
  if (over.empty()) return;
  if (why != net::End::kRefused) {
    counters_.add(Count::kBelowBroken);
    log_.warn("below", "connection lost with {} calls in hand", over.size());
  }
  std::sort(over.begin(), over.end());
  for (const auto& [id, outcome] : over) end(id, outcome, {});
}

void Below::look_for_idle() {
  if (link_ && link_->connected() && calls_.empty() && net::monotonic_now() - last_traffic_ > kIdle)
    link_->close();
  idle_timer_ = reactor_.after(kIdleLook, [this] { look_for_idle(); });
}

}  // namespace damsonspoke::peers
