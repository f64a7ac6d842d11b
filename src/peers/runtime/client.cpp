#include "peers/runtime/client.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr double kUsPerSecond = 1e6;
constexpr double kReconnectSeconds = 0.05;
constexpr double kConnectTimeoutSeconds = 1;
constexpr double kSilenceTimeoutSeconds = 1;  // without an answer that is owed: the link is lost
constexpr double kSilenceCheckSeconds = 0.25;
constexpr double kLossWindowSeconds = 0.25;  // before a lost link was noticed, commands may have been lost
constexpr double kRestartToleranceSeconds = 0.5;  // a runtime that started later than this is another process
constexpr double kMaxGaugeAgeSeconds = 0.5;
constexpr std::size_t kMaxInputBytes = 256 * 1024;  // a line with its payload is under 70 KiB

Outcome outcome_of(wire::RunEnd end) {
  switch (end) {
    case wire::RunEnd::kComplete: return Outcome::kOk;
    case wire::RunEnd::kError: return Outcome::kError;
    case wire::RunEnd::kCancelled: return Outcome::kCancelled;
    case wire::RunEnd::kUnknown: return Outcome::kObsolete;
  }
  return Outcome::kError;
}

}  // namespace

RuntimeClient::RuntimeClient(net::Reactor& reactor, const std::string& address, std::size_t output_bytes,
                             std::vector<Gauge> gauges, RuntimeEvents& events, Counters& counters,
                             Logger& log)
    : reactor_(reactor),
      address_(address),
      output_bytes_(output_bytes),
      gauge_order_(std::move(gauges)),
      events_(events),
      counters_(counters),
      log_(log) {
  net::parse_address(address_);  // throws at the start, not at the first reconnection
  connect();
  check_silence();
}

RuntimeClient::~RuntimeClient() {
  reactor_.cancel(connect_timer_);
  reactor_.cancel(silence_timer_);
}

// ---- The link.
void RuntimeClient::connect() {
  reactor_.cancel(connect_timer_);
  next_link_ = net::Connection::connecting(reactor_, *this, net::parse_address(address_),
                                           {kMaxInputBytes, output_bytes_});
  connect_timer_ = reactor_.after(kConnectTimeoutSeconds, [this] {
    if (next_link_) next_link_->close(net::End::kRefused);
  });
}

// The old link serves until the new one is connected, also when the address changes again before that.
void RuntimeClient::move_to(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  if (next_link_) next_link_->close();
  connect();
}

void RuntimeClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kRuntimeLinks);
  if (link_) {
    link_->close();
    link_lost_at_ = net::monotonic_now();
  }
  link_ = std::move(next_link_);
  reactor_.cancel(connect_timer_);
  is_runtime_up_ = false;
  is_synchronized_ = false;
  gauges_requested_at_ = -1;
  last_input_at_ = net::monotonic_now();
  connection.send(wire::encode_sync(last_notice_));
}

void RuntimeClient::on_end_of_input(net::Connection& connection) { connection.close(net::End::kBroken); }

void RuntimeClient::on_end(net::Connection& connection, net::End /*why*/) {
  if (&connection == next_link_.get()) {  // refused
    next_link_.reset();
    reactor_.cancel(connect_timer_);
    connect_timer_ = reactor_.after(kReconnectSeconds, [this] { connect(); });
  } else if (&connection == link_.get()) {
    counters_.add(Count::kRuntimeBroken);
    log_.warn("runtime", "link lost, reconnecting");
    link_.reset();
    link_lost_at_ = net::monotonic_now();
    is_runtime_up_ = false;
    is_synchronized_ = false;
    gauges_requested_at_ = -1;
    if (!next_link_) connect();
  }
}

void RuntimeClient::check_silence() {
  // Before the runtime has come up for the first time it owes no answer, however long that takes.
  const bool owes_answer = link_ && was_ready_ && (!is_runtime_up_ || gauges_requested_at_ >= 0);
  const double waiting_since = std::max(gauges_requested_at_, last_input_at_);
  if (owes_answer && net::monotonic_now() - waiting_since > kSilenceTimeoutSeconds) {
    counters_.add(Count::kRuntimeSilent);
    link_->close(net::End::kBroken);
  }
  silence_timer_ = reactor_.after(kSilenceCheckSeconds, [this] { check_silence(); });
}

// ---- Notices.
std::size_t RuntimeClient::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  last_input_at_ = net::monotonic_now();
  while (connection.open()) {
    const wire::NoticeRead read = wire::next_notice(bytes.substr(used));
    if (read.state == wire::LineState::kNeedMore) break;
    if (read.state == wire::LineState::kBroken) {
      counters_.add(Count::kRuntimeBad);
      log_.warn("runtime", "invalid framing, reconnecting");
      connection.close(net::End::kBroken);
      break;
    }
    used += read.length;
    handle_notice(read.notice);
  }
  return used;
}

void RuntimeClient::handle_notice(const wire::Notice& notice) {
  switch (notice.kind) {
    case wire::NoticeKind::kReady:
      handle_ready(notice);
      return request_gauges();  // the answer marks the end of the missed notices
    case wire::NoticeKind::kRunEnd: return handle_run_end(notice);
    case wire::NoticeKind::kCallWanted: return handle_call_wanted(notice);
    case wire::NoticeKind::kGauges: return handle_gauges(notice);
    case wire::NoticeKind::kVerdict: return events_.on_self_test_result(notice.tag, notice.good);
    case wire::NoticeKind::kRejection: return handle_rejection(notice);
    case wire::NoticeKind::kRemark:
      counters_.add(Count::kRuntimeInfos);
      if (notice.number == last_notice_ + 1) last_notice_ = notice.number;  // any other is ignored
      return;
    case wire::NoticeKind::kUnknown:
      counters_.add(Count::kRuntimeBad);
      log_.warn("runtime", "unknown notice");
      return;
  }
}

// Notices come in the order of their numbers; whether this one is to be handled. A duplicate is not.
bool RuntimeClient::accept_number(std::uint64_t number) {
  if (number <= last_notice_) {
    counters_.add(Count::kRuntimeRepeats);
    return false;
  }
  if (number != last_notice_ + 1) {
    counters_.add(Count::kRuntimeGaps);
    log_.warn("runtime", "notice {} follows {}", number, last_notice_);
    // The missing ones are requested once, by a new link; if they don't come then, the runtime has lost them.
    if (requested_notice_ != last_notice_ + 1) {
      requested_notice_ = last_notice_ + 1;
      link_->close(net::End::kBroken);
      return false;
    }
  }
  last_notice_ = number;
  return true;
}

void RuntimeClient::handle_run_end(const wire::Notice& notice) {
  if (!accept_number(notice.number)) return;
  unacknowledged_.erase(notice.id);
  events_.on_run_ended(notice.id, outcome_of(notice.end), notice.ms * kSecondsPerMs, notice.body);
}

void RuntimeClient::handle_call_wanted(const wire::Notice& notice) {
  if (!accept_number(notice.number)) return;
  const auto found = unacknowledged_.find(notice.id);
  if (found != unacknowledged_.end()) found->second.run = {};
  events_.on_call_requested(notice.id, notice.number, notice.body);
}

void RuntimeClient::handle_ready(const wire::Notice& notice) {
  is_runtime_up_ = true;
  const double now = net::monotonic_now();
  const double up_seconds = notice.ms * kSecondsPerMs;
  if (!was_ready_) {
    was_ready_ = true;
    ready_at_ = now;
    log_.info("runtime", "ready, {}, for {:.0f} ms", notice.cold ? "cold" : "warm", notice.ms);
    return events_.on_runtime_ready(notice.cold, up_seconds);
  }
  if (now - up_seconds > ready_at_ + kRestartToleranceSeconds) on_restart();
}

// The process behind the address is another one: it knows none of the runs and counts its notices from 1. Its
// notices must not pass for duplicates, requests must not wait for runs that are lost, and what the former
// process ran must not be started a second time.
void RuntimeClient::on_restart() {
  counters_.add(Count::kRuntimeAnew);
  log_.warn("runtime", "restarted, its runs are lost");
  last_notice_ = 0;
  requested_notice_ = 0;
  std::unordered_set<RequestId> unsent;
  std::erase_if(unacknowledged_, [&](const auto& entry) {
    const Command& run = entry.second.run;
    const bool was_never_sent = run.number != 0 && run.is_start && run.send_count == 0;
    if (was_never_sent) unsent.insert(entry.first);
    return !was_never_sent;
  });
  ready_at_ = net::monotonic_now();
  events_.on_runtime_restarted(unsent);
}

void RuntimeClient::handle_rejection(const wire::Notice& notice) {
  counters_.add(Count::kRuntimeRejections);
  log_.warn("runtime", "rejected '{}' of {}", notice.command, wire::format_id(notice.id));
  if (notice.command != "start" && notice.command != "cont") return;
  // A resumption that was sent twice may have been carried out the first time.
  const auto found = unacknowledged_.find(notice.id);
  if (notice.command == "cont" && found != unacknowledged_.end() && found->second.run.send_count > 1) return;
  unacknowledged_.erase(notice.id);
  events_.on_not_started(notice.id);
}

// ---- Gauges.
void RuntimeClient::request_gauges() {
  if (!is_runtime_up_ || gauges_requested_at_ >= 0 || !link_ || !link_->connected()) return;
  gauges_requested_at_ = net::monotonic_now();
  command_before_gauges_ = last_command_;
  link_->send(wire::encode_ask_gauges(++gauges_tag_));
}

void RuntimeClient::handle_gauges(const wire::Notice& notice) {
  if (gauges_requested_at_ < 0 || notice.tag != gauges_tag_) return;
  const double now = net::monotonic_now();
  const double wait_us = (now - gauges_requested_at_) * kUsPerSecond;
  counters_.most(Count::kGaugesMostUs, static_cast<std::uint64_t>(wait_us));
  gauges_requested_at_ = -1;
  if (is_synchronized_) last_acknowledged_ = command_before_gauges_;
  store_gauges(notice.gauges, now);
  if (!is_synchronized_) on_synchronized();
}

void RuntimeClient::store_gauges(const std::vector<double>& values, double now) {
  gauges_ = {};
  for (std::size_t i = 0; i < gauge_order_.size() && i < values.size(); ++i) {
    const double value = values[i];
    switch (gauge_order_[i]) {
      case Gauge::kCpuBusy: gauges_.cpu_busy = value; break;
      case Gauge::kRunnable: gauges_.runnable = value; break;
      case Gauge::kMemoryUsed: gauges_.memory_used = value; break;
      case Gauge::kConnections: gauges_.connections = value; break;
      case Gauge::kOther: break;
    }
  }
  gauges_at_ = now;
}

Gauges RuntimeClient::gauges(double now) const {
  return now - gauges_at_ <= kMaxGaugeAgeSeconds ? gauges_ : Gauges{};
}

// ---- Commands.
// All missed notices have been read. What is still unacknowledged is sent again, in its order: the start of a
// run that exists does nothing, and a run that went on after a reply would have said so.
void RuntimeClient::on_synchronized() {
  is_synchronized_ = true;
  std::vector<Command*> lost;
  for (auto& [id, commands] : unacknowledged_) {
    for (Command* command : {&commands.run, &commands.stop}) {
      // One that was sent shortly before the link was lost may be lost although a later one was answered.
      const bool may_be_lost = command->number != 0 && command->sent_at >= link_lost_at_ - kLossWindowSeconds;
      if (command->number > last_acknowledged_ || may_be_lost) lost.push_back(command);
    }
  }
  std::sort(lost.begin(), lost.end(),
            [](const Command* a, const Command* b) { return a->number < b->number; });
  for (Command* command : lost) {
    if (command->send_count > 0) counters_.add(Count::kRuntimeResent);
    send(*command);
  }
}

// Until the missed notices have been read, commands wait among the unacknowledged ones.
void RuntimeClient::issue(Command& command, std::string text, bool is_start) {
  command.number = ++last_command_;
  command.text = std::move(text);
  command.send_count = 0;
  command.is_start = is_start;
  if (is_synchronized_) send(command);
}

void RuntimeClient::send(Command& command) {
  ++command.send_count;
  command.sent_at = net::monotonic_now();
  send(command.text);
}

void RuntimeClient::send(std::string_view text) {
  if (link_ && link_->connected()) link_->send(text);
}

void RuntimeClient::start(RequestId id, std::string_view type, std::string_view body) {
  issue(unacknowledged_[id].run, wire::encode_start(id, type, body), true);
}

void RuntimeClient::stop(RequestId id) { issue(unacknowledged_[id].stop, wire::encode_stop(id)); }

void RuntimeClient::resume(RequestId id) { issue(unacknowledged_[id].run, wire::encode_resume(id)); }

void RuntimeClient::send_reply(RequestId id, std::string_view reply) {
  issue(unacknowledged_[id].run, wire::encode_give(id, reply));
}

void RuntimeClient::skip_call(RequestId id, std::uint64_t notice) {
  issue(unacknowledged_[id].run, wire::encode_omit(id, notice));
}

void RuntimeClient::self_test(std::uint64_t tag) {
  counters_.add(Count::kSelfTests);
  if (is_synchronized_) send(wire::encode_self_test(tag));
}

}  // namespace damsonspoke::peers
