#include "peers/runtime/client.h"

#include <algorithm>
#include <utility>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr double kUsPerSecond = 1e6;
constexpr double kReconnectSeconds = 0.05;
constexpr double kConnectTimeoutSeconds = 1;
constexpr double kSilenceTimeoutSeconds = 1;  // without an expected response: the link is closed
constexpr double kSilenceCheckSeconds = 0.25;
constexpr double kMoveTimeoutSeconds = 0.1;  // for commands on the old link to be acknowledged before a move
constexpr double kGreetingPollSeconds = 0.01;  // between checks for the `ready` of a new link
constexpr double kGiveUpMarginSeconds = 0.05;  // after the deadline, at which the request is answered
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

// A command that may be sent twice without harm.
RuntimeCommand repeatable(std::string text) {
  RuntimeCommand command;
  command.text = std::move(text);
  return command;
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
  reactor_.cancel(greeting_timer_);
  reactor_.cancel(move_timer_);
  reactor_.cancel(give_up_timer_);
  reactor_.cancel(silence_timer_);
}

// ---- The link.

void RuntimeClient::connect() {
  reactor_.cancel(connect_timer_);
  next_link_ = net::Connection::connecting(reactor_, *this, net::parse_address(address_),
                                           {kMaxInputBytes, output_bytes_});
  connect_timer_ = reactor_.after(kConnectTimeoutSeconds, [this] {
    has_connect_timed_out_ = true;
    if (next_link_) next_link_->close(net::CloseReason::kRefused);
  });
  if (is_moving_) move_timer_ = reactor_.after(kMoveTimeoutSeconds, [this] { release_commands(); });
}

// The old link stays in use until the new one is connected.
void RuntimeClient::release_commands() {
  reactor_.cancel(move_timer_);
  is_moving_ = false;
  if (takes_commands()) send_waiting_commands();
}

void RuntimeClient::move_to(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  has_connect_timed_out_ = false;
  const bool is_connecting = next_link_ != nullptr;
  if (is_connecting) next_link_->close();
  next_link_.reset();
  reactor_.cancel(connect_timer_);
  if (!is_moving_) return open_next_link();
  if (is_connecting) connect();  // otherwise once the old link has answered
}

// The runtime drops the old link when it accepts the new one, and reads nothing more from it. To lose no
// command, new commands are held back, and the new link is opened once the earlier commands are
// acknowledged. If the last connect timed out, nothing is held back for the next one.
void RuntimeClient::open_next_link() {
  if (has_connect_timed_out_ || !takes_commands() || !ledger_.has_unacknowledged()) return connect();
  is_moving_ = true;
  request_gauges();
  move_timer_ = reactor_.after(kMoveTimeoutSeconds, [this] { finish_move(); });
}

void RuntimeClient::finish_move() {
  reactor_.cancel(move_timer_);
  connect();
}

void RuntimeClient::on_connected(net::Connection& /*connection*/) {
  counters_.add(Count::kRuntimeLinks);
  if (link_) {
    const bool is_broken = !link_->connected() || link_->peer_has_closed();
    link_->close();
    on_link_lost(*link_, is_broken);
  }
  link_ = std::move(next_link_);
  has_connect_timed_out_ = false;
  reactor_.cancel(connect_timer_);
  stream_bytes_ = 0;
  last_input_at_ = net::monotonic_now();
  link_known_alive_at_ = last_input_at_;
  greeting_absent_until_ = last_input_at_;
  write(wire::encode_sync(synced_notice_ = last_notice_));
  poll_for_greeting();
}

// Distinguishes a greeting that was sent late from one that is read late.
void RuntimeClient::poll_for_greeting() {
  reactor_.cancel(greeting_timer_);
  if (!link_ || is_runtime_up_ || !was_ever_ready_) return;
  if (link_->connected() && link_->nothing_to_read()) greeting_absent_until_ = net::monotonic_now();
  greeting_timer_ = reactor_.after(kGreetingPollSeconds, [this] { poll_for_greeting(); });
}

void RuntimeClient::on_end_of_input(net::Connection& connection) {
  connection.close(net::CloseReason::kBroken);
}

void RuntimeClient::on_end(net::Connection& connection, net::CloseReason /*why*/) {
  if (&connection == next_link_.get()) {  // the connection was refused
    next_link_.reset();
    reactor_.cancel(connect_timer_);
    connect_timer_ = reactor_.after(kReconnectSeconds, [this] { open_next_link(); });
    release_commands();
  } else if (&connection == link_.get()) {
    counters_.add(Count::kRuntimeBroken);
    log_.warn("runtime", "link lost; reconnecting");
    on_link_lost(connection, true);
    link_.reset();
    if (!next_link_) connect();
  }
}

void RuntimeClient::on_link_lost(const net::Connection& link, bool by_peer) {
  const LinkLoss loss{net::monotonic_now(), link_known_alive_at_, link.bytes_out(), by_peer};
  const std::size_t in_doubt = ledger_.on_link_lost(loss);
  counters_.add(Count::kRuntimeInDoubt, in_doubt);
  if (in_doubt > 0)
    log_.info("runtime", "link lost with {} starts or replies in doubt; waiting for notices about their runs",
              in_doubt);
  schedule_give_up();
  reactor_.cancel(move_timer_);
  is_moving_ = false;
  is_runtime_up_ = false;
  is_synchronized_ = false;
  has_missed_notices_ = false;
  gauges_requested_at_ = -1;
}

// Closes a link on which a response is overdue: the runtime hangs, or has ended without closing the link.
void RuntimeClient::check_silence() {
  // Until the runtime has come up for the first time no response is expected, however long that takes.
  const bool is_response_pending = link_ && was_ever_ready_ && (!is_runtime_up_ || gauges_requested_at_ >= 0);
  const double waiting_since = std::max(gauges_requested_at_, last_input_at_);
  if (is_response_pending && net::monotonic_now() - waiting_since > kSilenceTimeoutSeconds) {
    counters_.add(Count::kRuntimeSilent);
    link_->close(net::CloseReason::kBroken);
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
      counters_.add(Count::kRuntimeInvalid);
      log_.warn("runtime", "invalid framing in the notices; reconnecting");
      connection.close(net::CloseReason::kBroken);
      break;
    }
    used += read.length;
    handle_notice(read.notice);
  }
  if (connection.open() && has_missed_notices_) on_synchronized();
  return used;
}

void RuntimeClient::handle_notice(const wire::Notice& notice) {
  switch (notice.kind) {
    case wire::NoticeKind::kReady:
      handle_ready(notice);
      return request_gauges();  // the response marks the end of the missed notices
    case wire::NoticeKind::kRunEnd: return handle_run_end(notice);
    case wire::NoticeKind::kCallRequested: return handle_call_wanted(notice);
    case wire::NoticeKind::kGauges: return handle_gauges(notice);
    case wire::NoticeKind::kSelfTestResult: return events_.on_self_test_result(notice.tag, notice.has_passed);
    case wire::NoticeKind::kRejection: return handle_rejection(notice);
    case wire::NoticeKind::kRemark:
      counters_.add(Count::kRuntimeRemarks);
      if (notice.number == last_notice_ + 1) last_notice_ = notice.number;  // any other is ignored
      return;
    case wire::NoticeKind::kUnknown:
      counters_.add(Count::kRuntimeInvalid);
      log_.warn("runtime", "unknown or invalid notice ignored");
      return;
  }
}

// Whether the notice with this number is to be handled. Notices arrive in the order of their numbers;
// duplicates are ignored.
bool RuntimeClient::accept_number(std::uint64_t number, RequestId id) {
  // The start is younger than this link, so no process sent the notice before this link: another process
  // has greeted, whose greeting was read too late to show that.
  if (number <= synced_notice_ && ledger_.is_new_start(id)) on_restart();
  if (number <= last_notice_) {
    counters_.add(Count::kRuntimeDuplicates);
    return false;
  }
  if (number != last_notice_ + 1) {
    counters_.add(Count::kRuntimeGaps);
    log_.warn("runtime", "notice {} received directly after notice {}; notices are missing", number,
              last_notice_);
    // The missing notices are requested once, over a new link; if they do not arrive then, the runtime has
    // lost them.
    if (requested_notice_ != last_notice_ + 1) {
      requested_notice_ = last_notice_ + 1;
      link_->close(net::CloseReason::kBroken);
      return false;
    }
    ledger_.on_notices_lost();
    schedule_give_up();
  }
  last_notice_ = number;
  return true;
}

void RuntimeClient::handle_run_end(const wire::Notice& notice) {
  if (!accept_number(notice.number, notice.id)) return;
  ledger_.erase(notice.id);
  events_.on_run_ended(notice.id, outcome_of(notice.end), notice.ms * kSecondsPerMs, notice.body);
}

void RuntimeClient::handle_call_wanted(const wire::Notice& notice) {
  if (!accept_number(notice.number, notice.id)) return;
  ledger_.on_call_wanted(notice.id);
  events_.on_call_requested(notice.id, notice.number, notice.body);
}

void RuntimeClient::handle_ready(const wire::Notice& notice) {
  is_runtime_up_ = true;
  const double up_seconds = notice.ms * kSecondsPerMs;
  const bool is_another =
      process_.is_another_process({greeting_absent_until_, net::monotonic_now(), up_seconds});
  if (!was_ever_ready_) {
    was_ever_ready_ = true;
    log_.info("runtime", "ready, {}, for {:.0f} ms", notice.is_cold ? "cold" : "warm", notice.ms);
    return events_.on_runtime_ready(notice.is_cold, up_seconds);
  }
  if (is_another) on_restart();
}

// Another process has taken over the address: it knows none of the runs and numbers its notices from 1. Its
// notices must not be taken for duplicates, requests must not wait for lost runs, and what the former
// process ran must not be started again.
void RuntimeClient::on_restart() {
  counters_.add(Count::kRuntimeRestarts);
  log_.warn("runtime", "runtime process restarted; its runs are lost");
  last_notice_ = 0;
  synced_notice_ = 0;
  requested_notice_ = 0;
  events_.on_runtime_restarted(ledger_.on_restart());
}

void RuntimeClient::handle_rejection(const wire::Notice& notice) {
  counters_.add(Count::kRuntimeRejections);
  log_.warn("runtime", "runtime rejected command '{}' of request {}", notice.command,
            wire::format_id(notice.id));
  if (notice.command != "start" && notice.command != "cont") return;
  // A resumption that was sent twice may have been carried out the first time.
  if (notice.command == "cont" && ledger_.was_resent(notice.id)) return;
  ledger_.erase(notice.id);
  events_.on_not_started(notice.id);
}

// ---- Gauges.

void RuntimeClient::request_gauges() {
  if (!is_runtime_up_ || gauges_requested_at_ >= 0 || !link_ || !link_->connected()) return;
  gauges_requested_at_ = net::monotonic_now();
  sent_before_gauges_ = ledger_.last_sent();
  write(wire::encode_gauges_request(++gauges_tag_));
}

void RuntimeClient::handle_gauges(const wire::Notice& notice) {
  if (gauges_requested_at_ < 0 || notice.tag != gauges_tag_) return;
  const double now = net::monotonic_now();
  const double wait_us = (now - gauges_requested_at_) * kUsPerSecond;
  counters_.update_max(Count::kGaugesMaxDelayUs, static_cast<std::uint64_t>(wait_us));
  process_.on_answer(gauges_requested_at_);
  link_known_alive_at_ = gauges_requested_at_;
  gauges_requested_at_ = -1;
  ledger_.mark_delivered(sent_before_gauges_);
  store_gauges(notice.gauges, now);
  // The ends of runs may follow the response: they are read before any command is sent again.
  if (!is_synchronized_) has_missed_notices_ = true;
  if (!is_synchronized_ || !is_moving_ || next_link_) return;
  if (ledger_.has_unacknowledged()) return request_gauges();
  finish_move();
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

// To be called once all missed notices have been read.
void RuntimeClient::on_synchronized() {
  is_synchronized_ = true;
  has_missed_notices_ = false;
  send_waiting_commands();
}

void RuntimeClient::send_waiting_commands() {
  for (const CommandLedger::Outgoing& command : ledger_.take_sendable()) {
    if (command.is_resend) counters_.add(Count::kRuntimeResent);
    send(command);
  }
}

void RuntimeClient::issue(CommandLedger::CommandKey key, RuntimeCommand command) {
  const CommandLedger::Outgoing outgoing = ledger_.add(key, std::move(command));
  if (takes_commands()) send(outgoing);
}

// A command that is not written here goes over the next link. Nothing is written to a link that the runtime
// has closed: it would not be read, and the command would be in doubt.
void RuntimeClient::send(const CommandLedger::Outgoing& command) {
  if (!link_ || !link_->connected()) return;
  if (link_->peer_has_closed()) return link_->close(net::CloseReason::kBroken);
  write(command.text);
  ledger_.mark_sent(command.key, stream_bytes_, net::monotonic_now());
}

void RuntimeClient::write(std::string_view text) {
  stream_bytes_ += text.size();
  if (link_) link_->send(text);
}

void RuntimeClient::start(const RunStart& run) {
  RuntimeCommand command;
  command.text = wire::encode_start(run.id, run.route, run.body);
  command.in_doubt = run.may_repeat ? InDoubt::kResend : InDoubt::kAwaitNotice;
  command.is_start = true;
  command.give_up_at = net::monotonic_now() + run.seconds_left + kGiveUpMarginSeconds;
  issue({run.id, false}, std::move(command));
}

void RuntimeClient::stop(RequestId id) { issue({id, true}, repeatable(wire::encode_stop(id))); }

void RuntimeClient::resume(RequestId id, double seconds_left) {
  RuntimeCommand command = repeatable(wire::encode_resume(id));
  command.give_up_at = net::monotonic_now() + seconds_left + kGiveUpMarginSeconds;
  issue({id, false}, std::move(command));
}

// A reply does not identify its call: sent twice, it would answer the next call of its run. The command
// that skips a call does identify it.
void RuntimeClient::send_reply(RequestId id, std::string_view reply, const RequestedCall& call) {
  RuntimeCommand command;
  command.text = wire::encode_call_reply(id, reply);
  command.in_doubt = call.may_be_skipped ? InDoubt::kReplace : InDoubt::kAwaitNotice;
  command.give_up_at = net::monotonic_now() + call.seconds_left + kGiveUpMarginSeconds;
  if (call.may_be_skipped) command.replacement = wire::encode_skip_call(id, call.notice);
  issue({id, false}, std::move(command));
}

void RuntimeClient::skip_call(RequestId id, std::uint64_t notice) {
  issue({id, false}, repeatable(wire::encode_skip_call(id, notice)));
}

void RuntimeClient::self_test(std::uint64_t tag) {
  counters_.add(Count::kChecksSelfTests);
  if (is_synchronized_) write(wire::encode_self_test(tag));
}

// ---- Starts and replies in doubt.

void RuntimeClient::schedule_give_up() {
  reactor_.cancel(give_up_timer_);
  const std::optional<double> next = ledger_.next_give_up();
  if (next) give_up_timer_ = reactor_.at(*next, [this] { give_up_due_requests(); });
}

void RuntimeClient::give_up_due_requests() {
  for (const RequestId id : ledger_.requests_to_give_up(net::monotonic_now())) {
    ledger_.erase(id);
    events_.on_run_given_up(id);
  }
  schedule_give_up();
}

}  // namespace damsonspoke::peers
