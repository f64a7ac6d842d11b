#include "peers/runtime/client.h"

#include <algorithm>

#include "net/address.h"

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;
constexpr double kConnectAgain = 0.05;  // s; a runtime on the same machine that is not up yet
constexpr double kConnectPatience = 1;  // s; a connection on the same machine is made at once or not at all
constexpr double kSilence = 1;  // s without the answer to `sync` or gauges that is owed: the link is lost
constexpr double kLostWithLink = 0.25;  // s; 50 ms before the break, and the time until we heard of it
constexpr double kAnew = 0.5;           // s after we heard of it that it says it began: another process
constexpr double kSilenceLook = 0.25;   // s; between looks
constexpr double kGaugesFresh = 0.5;    // s; an older reading says nothing about now
constexpr std::size_t kInputBytes = 256 * 1024;  // a line with its payload is under 70 KiB

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
      order_(std::move(gauges)),
      events_(events),
      counters_(counters),
      log_(log) {
  net::parse_address(address_);  // a wrong one is told at the start
  connect();
  look_for_silence();
}

RuntimeClient::~RuntimeClient() {
  reactor_.cancel(connect_timer_);
  reactor_.cancel(silence_timer_);
}

void RuntimeClient::connect() {
  reactor_.cancel(connect_timer_);
  coming_ = net::Connection::connecting(reactor_, *this, net::parse_address(address_),
                                        {kInputBytes, output_bytes_});
  connect_timer_ = reactor_.after(kConnectPatience, [this] {
    if (coming_) coming_->close(net::End::kRefused);
  });
}

// The old link serves until the new one is made. Guards against addresses that change under load, again
// before the last change is through, or while there is no link at all.
void RuntimeClient::move_to(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  if (coming_) coming_->close();
  connect();
}

void RuntimeClient::on_connected(net::Connection& connection) {
  counters_.add(Count::kRuntimeLinks);
  if (link_) {
    link_->close();
    broke_at_ = net::monotonic_now();
  }
  link_ = std::move(coming_);
  reactor_.cancel(connect_timer_);
  greeted_ = synced_ = false;
  asked_at_ = -1;
  heard_at_ = net::monotonic_now();
  connection.send(wire::encode_sync(last_notice_));
}

void RuntimeClient::on_end_of_input(net::Connection& connection) { connection.close(net::End::kBroken); }

void RuntimeClient::on_end(net::Connection& connection, net::End /*why*/) {
  if (&connection == coming_.get()) {  // refused
    coming_.reset();
    reactor_.cancel(connect_timer_);
    connect_timer_ = reactor_.after(kConnectAgain, [this] { connect(); });
  } else if (&connection == link_.get()) {
    counters_.add(Count::kRuntimeBroken);
    log_.warn("runtime", "link lost, connecting again");
    link_.reset();
    broke_at_ = net::monotonic_now();
    greeted_ = synced_ = false;
    asked_at_ = -1;
    if (!coming_) connect();
  }
}

std::size_t RuntimeClient::on_input(net::Connection& connection, std::string_view bytes) {
  std::size_t used = 0;
  heard_at_ = net::monotonic_now();
  while (connection.open()) {
    const wire::NoticeRead read = wire::next_notice(bytes.substr(used));
    if (read.state == wire::LineState::kNeedMore) break;
    if (read.state == wire::LineState::kBroken) {
      counters_.add(Count::kRuntimeBad);
      log_.warn("runtime", "a line that can't be told from the next, link opened anew");
      connection.close(net::End::kBroken);
      break;
    }
    used += read.length;
    take(read.notice);
  }
  return used;
}

// Notices come in the order of their numbers; one that was read before is passed over.
bool RuntimeClient::is_new(std::uint64_t number) {
  if (number <= last_notice_) {
    counters_.add(Count::kRuntimeRepeats);
    return false;
  }
  if (number != last_notice_ + 1) {
    counters_.add(Count::kRuntimeGaps);
    log_.warn("runtime", "notice {} follows {}", number, last_notice_);
    // What is missing is asked for once; what does not come then is no longer kept there.
    if (gap_at_ != last_notice_ + 1) {
      gap_at_ = last_notice_ + 1;
      link_->close(net::End::kBroken);
      return false;
    }
  }
  last_notice_ = number;
  return true;
}

void RuntimeClient::take_ready(const wire::Notice& notice) {
  greeted_ = true;
  const double now = net::monotonic_now();
  if (!ready_) {
    ready_ = true;
    ready_at_ = now;
    log_.info("runtime", "ready, {}, for {:.0f} ms", notice.cold ? "cold" : "warm", notice.ms);
    return events_.on_runtime_ready(notice.cold, notice.ms * kSecondsPerMs);
  }
  if (now - notice.ms * kSecondsPerMs > ready_at_ + kAnew) begins_anew();
}

// The process behind the address is another one: it knows none of the runs and counts its notices from 1.
// Guards against notices that would be passed over as repeats for ever, requests that wait for ends that
// never come, and starts that would run a second time what the last one had run.
void RuntimeClient::begins_anew() {
  counters_.add(Count::kRuntimeAnew);
  log_.warn("runtime", "it has begun anew, its runs are gone");
  last_notice_ = gap_at_ = 0;
  std::unordered_set<RequestId> unsent;
  std::erase_if(unproven_, [&](const auto& each) {
    const Unproven& work = each.second.work;
    const bool never_left = work.number != 0 && work.begins && work.sends == 0;
    if (never_left) unsent.insert(each.first);
    return !never_left;
  });
  ready_at_ = net::monotonic_now();
  events_.on_runtime_anew(unsent);
}

void RuntimeClient::take(const wire::Notice& notice) {
  switch (notice.kind) {
    case wire::NoticeKind::kReady:
      take_ready(notice);
      return ask_gauges();  // its answer marks the end of what was missed
    case wire::NoticeKind::kRunEnd:
      if (!is_new(notice.number)) return;
      unproven_.erase(notice.id);
      return events_.on_run_ended(notice.id, outcome_of(notice.end), notice.ms * kSecondsPerMs, notice.body);
    case wire::NoticeKind::kCallWanted: {
      if (!is_new(notice.number)) return;
      const auto found = unproven_.find(notice.id);
      if (found != unproven_.end()) found->second.work = {};
      return events_.on_call_wanted(notice.id, notice.number, notice.body);
    }
    case wire::NoticeKind::kGauges: return take_gauges(notice);
    case wire::NoticeKind::kVerdict: return events_.on_verdict(notice.tag, notice.good);
    case wire::NoticeKind::kRejection: return take_rejection(notice);
    case wire::NoticeKind::kRemark:
      counters_.add(Count::kRuntimeInfos);
      if (notice.number == last_notice_ + 1) last_notice_ = notice.number;  // any other means nothing
      return;
    case wire::NoticeKind::kUnknown:
      counters_.add(Count::kRuntimeBad);
      log_.warn("runtime", "a line that can't be used");
      return;
  }
}

void RuntimeClient::take_rejection(const wire::Notice& notice) {
  counters_.add(Count::kRuntimeRejections);
  log_.warn("runtime", "did not carry out '{}' of {}", notice.command, wire::format_id(notice.id));
  if (notice.command != "start" && notice.command != "cont") return;
  // A resumption that was sent twice may have been carried out the first time.
  const auto found = unproven_.find(notice.id);
  if (notice.command == "cont" && found != unproven_.end() && found->second.work.sends > 1) return;
  unproven_.erase(notice.id);
  events_.on_not_started(notice.id);
}

void RuntimeClient::take_gauges(const wire::Notice& notice) {
  if (asked_at_ < 0 || notice.tag != tag_) return;
  const double now = net::monotonic_now();
  counters_.most(Count::kGaugesMostUs, static_cast<std::uint64_t>((now - asked_at_) * 1e6));
  asked_at_ = -1;
  if (synced_) proven_ = tag_commands_;
  gauges_ = {};
  for (std::size_t i = 0; i < order_.size() && i < notice.gauges.size(); ++i) {
    const double value = notice.gauges[i];
    switch (order_[i]) {
      case Gauge::kCpuBusy: gauges_.cpu_busy = value; break;
      case Gauge::kRunnable: gauges_.runnable = value; break;
      case Gauge::kMemoryUsed: gauges_.memory_used = value; break;
      case Gauge::kConnections: gauges_.connections = value; break;
      case Gauge::kOther: break;
    }
  }
  gauges_at_ = now;
  if (!synced_) caught_up();
}

// All that was missed has been read. What is still unproven is sent again, in its order: a start of what runs
// already does nothing, and a run that went on after a reply would have told so.
void RuntimeClient::caught_up() {
  synced_ = true;
  std::vector<Unproven*> again;
  for (auto& [id, of] : unproven_) {
    for (Unproven* one : {&of.work, &of.stop}) {
      // Guards against commands that are lost with the link though a later one was answered.
      const bool may_be_lost = one->number != 0 && one->sent_at >= broke_at_ - kLostWithLink;
      if (one->number > proven_ || may_be_lost) again.push_back(one);
    }
  }
  std::sort(again.begin(), again.end(),
            [](const Unproven* a, const Unproven* b) { return a->number < b->number; });
  for (Unproven* one : again) {
    if (one->sends > 0) counters_.add(Count::kRuntimeResent);
    send(*one);
  }
}

Gauges RuntimeClient::gauges(double now) const {
  return now - gauges_at_ <= kGaugesFresh ? gauges_ : Gauges{};
}

void RuntimeClient::ask_gauges() {
  if (!greeted_ || asked_at_ >= 0 || !link_ || !link_->connected()) return;
  asked_at_ = net::monotonic_now();
  tag_commands_ = commands_;
  link_->send(wire::encode_ask_gauges(++tag_));
}

void RuntimeClient::look_for_silence() {
  // Before the runtime has come up for the first time it owes nothing, however long that takes.
  const bool owes = link_ && ready_ && (!greeted_ || asked_at_ >= 0);
  if (owes && net::monotonic_now() - std::max(asked_at_, heard_at_) > kSilence) {
    counters_.add(Count::kRuntimeSilent);
    link_->close(net::End::kBroken);
  }
  silence_timer_ = reactor_.after(kSilenceLook, [this] { look_for_silence(); });
}

void RuntimeClient::send(std::string_view text) {
  if (link_ && link_->connected()) link_->send(text);
}

// Until what was missed has been read, commands wait among the unproven.
void RuntimeClient::command(Unproven& slot, std::string text, bool begins) {
  slot.number = ++commands_;
  slot.text = std::move(text);
  slot.sends = 0;
  slot.begins = begins;
  if (synced_) send(slot);
}

void RuntimeClient::send(Unproven& one) {
  ++one.sends;
  one.sent_at = net::monotonic_now();
  send(one.text);
}

void RuntimeClient::start(RequestId id, std::string_view type, std::string_view body) {
  command(unproven_[id].work, wire::encode_start(id, type, body), true);
}
void RuntimeClient::stop(RequestId id) { command(unproven_[id].stop, wire::encode_stop(id)); }
void RuntimeClient::resume(RequestId id) { command(unproven_[id].work, wire::encode_resume(id)); }
void RuntimeClient::give(RequestId id, std::string_view reply) {
  command(unproven_[id].work, wire::encode_give(id, reply));
}
void RuntimeClient::omit(RequestId id, std::uint64_t notice) {
  command(unproven_[id].work, wire::encode_omit(id, notice));
}
void RuntimeClient::self_test(std::uint64_t tag) {
  counters_.add(Count::kSelfTests);
  if (synced_) send(wire::encode_self_test(tag));
}

}  // namespace damsonspoke::peers
