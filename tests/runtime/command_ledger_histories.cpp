// The command ledger between a client and a simulated runtime, over links that break at random, in
// thousands of seeded histories. Guards against a second run of a request that must not run twice, a reply
// that answers another call, a command that was never sent and is lost, and a request that is awaited for
// ever. CTest compares with tests/traces/runtime_command_histories.txt. usage: command_ledger_histories
// [SEEDS]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "peers/runtime/command_ledger.h"

using namespace damsonspoke;
using namespace damsonspoke::peers;

namespace {

constexpr double kStepSeconds = 0.005;
constexpr double kFaultSeconds = 3;      // in which requests arrive and links break
constexpr double kHistorySeconds = 6;    // long enough for all deadlines to pass
constexpr double kTimeoutSeconds = 1.5;  // of a request
constexpr double kGaugesSeconds = 0.1;   // between two readings
constexpr double kLossSeconds = 0.05;    // before a break, in which the runtime may lose what it reads
constexpr double kMaxLatencySeconds = 0.02;

enum class Verb { kStart, kReply, kSkip, kStop, kGauges };

struct Command {
  Verb verb = Verb::kStart;
  RequestId id = 0;
  int call = 0;  // of a reply or skip
  std::uint64_t tag = 0;
};

// The text of a command in the ledger: "verb id call".
std::string text_of(const Command& command) {
  return std::to_string(static_cast<int>(command.verb)) + " " + std::to_string(command.id) + " " +
         std::to_string(command.call);
}

Command command_of(std::string_view text) {
  int verb = 0;
  unsigned long long id = 0;
  Command command;
  std::sscanf(std::string(text).c_str(), "%d %llu %d", &verb, &id, &command.call);
  command.verb = static_cast<Verb>(verb);
  command.id = id;
  return command;
}

enum class NoticeKind { kEnd, kCallRequested, kGauges };

struct Notice {
  NoticeKind kind = NoticeKind::kEnd;
  RequestId id = 0;
  int call = 0;
  std::uint64_t tag = 0;
};

struct Violations {
  int ran_twice = 0;
  int wrong_reply = 0;
  int never_sent = 0;
  int awaited_forever = 0;
  int given_up_early = 0;
  [[nodiscard]] bool any() const {
    return ran_twice + wrong_reply + never_sent + awaited_forever + given_up_early > 0;
  }
};

// Executes commands: a run takes some steps and requests some calls, one at a time.
class SimulatedRuntime {
 public:
  SimulatedRuntime(pcg64& random, Violations& broken) : random_(random), violations_(broken) {}

  void handle(const Command& command, const std::set<RequestId>& must_run_once) {
    const auto run = runs_.find(command.id);
    switch (command.verb) {
      case Verb::kStart:
        if (run != runs_.end()) return;
        if (++starts_[command.id] > 1 && must_run_once.contains(command.id)) ++violations_.ran_twice;
        runs_[command.id] = {static_cast<int>(random_() % 3), 0, 0};
        return;
      case Verb::kReply:
        if (run == runs_.end() || run->second.awaited_call == 0) return;
        if (run->second.awaited_call != command.call) ++violations_.wrong_reply;
        run->second.awaited_call = 0;
        return;
      case Verb::kSkip:
        if (run != runs_.end() && run->second.awaited_call == command.call) run->second.awaited_call = 0;
        return;
      case Verb::kStop:
        if (run == runs_.end()) return;
        runs_.erase(run);
        notices.push_back({NoticeKind::kEnd, command.id, 0, 0});
        return;
      case Verb::kGauges: return;
    }
  }
  // The request has ended: a run that waits for a call ends.
  void on_request_ended(RequestId id) {
    const auto run = runs_.find(id);
    if (run == runs_.end() || run->second.awaited_call == 0) return;
    runs_.erase(run);
    notices.push_back({NoticeKind::kEnd, id, 0, 0});
  }
  void run_step() {
    std::vector<RequestId> ended;
    for (auto& [id, run] : runs_) {
      if (run.awaited_call != 0 || random_() % 8 != 0) continue;
      if (run.calls == run.planned_calls) {
        ended.push_back(id);
      } else {
        run.awaited_call = ++run.calls;
        notices.push_back({NoticeKind::kCallRequested, id, run.awaited_call, 0});
      }
    }
    for (const RequestId id : ended) {
      runs_.erase(id);
      notices.push_back({NoticeKind::kEnd, id, 0, 0});
    }
  }
  [[nodiscard]] bool has_started(RequestId id) const { return starts_.contains(id); }
  std::vector<Notice> notices;

 private:
  struct Run {
    int planned_calls = 0;
    int calls = 0;
    int awaited_call = 0;  // number of the call; 0: none
  };
  pcg64& random_;
  Violations& violations_;
  std::map<RequestId, Run> runs_;
  std::map<RequestId, int> starts_;
};

class History {
 public:
  explicit History(std::uint64_t seed) : random_(seed), runtime_(random_, violations_) {}

  Violations run() {
    connect();
    for (now_ = 0; now_ < kHistorySeconds; now_ += kStepSeconds) run_step();
    for (const auto& [id, request] : requests_) {
      if (!request.has_ended) ++violations_.awaited_forever;
      if (!request.was_sent && !request.has_ended) ++violations_.never_sent;
      if (request.was_given_up && !request.was_sent) ++violations_.never_sent;
    }
    return violations_;
  }
  [[nodiscard]] int cuts() const { return cuts_; }
  [[nodiscard]] int given_up() const { return given_up_; }
  [[nodiscard]] int lost() const { return lost_; }

 private:
  struct Request {
    bool must_run_once = false;
    bool may_skip = false;
    double deadline = 0;
    bool has_ended = false;
    bool was_sent = false;  // completely, to a link
    bool was_given_up = false;
  };
  struct Sent {
    double arrives_at = 0;
    Command command;
    std::uint64_t stream_end = 0;
  };
  struct PendingReply {
    double at = 0;
    RequestId id = 0;
    int call = 0;
  };

  bool one_in(unsigned n) { return random_() % n == 0; }
  double latency_seconds() { return static_cast<double>(random_() % 1000) / 1000 * kMaxLatencySeconds; }

  void run_step() {
    if (now_ < kFaultSeconds && one_in(6)) begin_request();
    if (is_up_ && now_ < kFaultSeconds && break_at_ < 0 && one_in(80)) break_at_ = now_ + kLossSeconds;
    deliver_commands();
    runtime_.run_step();
    deliver_notices();
    send_replies();
    if (is_up_ && break_at_ >= 0 && now_ >= break_at_) cut();
    if (!is_up_ && now_ >= reconnect_at_) connect();
    if (is_up_ && now_ >= gauges_at_) request_gauges();
    end_overdue_requests();
  }

  void begin_request() {
    const RequestId id = ++last_id_;
    Request& request = requests_[id];
    request.must_run_once = one_in(2);
    request.may_skip = one_in(2);
    request.deadline = now_ + kTimeoutSeconds;
    if (request.must_run_once) must_run_once_.insert(id);
    RuntimeCommand command;
    command.text = text_of({Verb::kStart, id, 0, 0});
    command.in_doubt = request.must_run_once ? InDoubt::kAwaitNotice : InDoubt::kResend;
    command.is_start = true;
    command.give_up_at = request.deadline;
    issue({id, false}, std::move(command));
  }

  void issue(CommandLedger::CommandKey key, RuntimeCommand command) {
    const CommandLedger::Outgoing outgoing = ledger_.add(key, std::move(command));
    if (is_synchronized_) send(outgoing);
  }

  void send(const CommandLedger::Outgoing& outgoing) {
    stream_bytes_ += outgoing.text.size();
    ledger_.mark_sent(outgoing.key, stream_bytes_, now_);
    push(command_of(outgoing.text));
  }

  // Preserves the order of the stream.
  void push(const Command& command) {
    last_arrival_ = std::max(last_arrival_, now_ + latency_seconds());
    upstream_.push_back({last_arrival_, command, stream_bytes_});
  }

  void deliver_commands() {
    while (!upstream_.empty() && upstream_.front().arrives_at <= now_) {
      const Command command = upstream_.front().command;
      taken_bytes_ = upstream_.front().stream_end;
      upstream_.pop_front();
      if (command.verb == Verb::kGauges) {
        downstream_.push_back({now_ + latency_seconds(), {NoticeKind::kGauges, 0, 0, command.tag}});
        continue;
      }
      if (command.verb == Verb::kStart) requests_[command.id].was_sent = true;
      const bool is_lost = break_at_ >= 0 && one_in(2);
      if (is_lost) {
        ++lost_;
      } else {
        runtime_.handle(command, must_run_once_);
      }
    }
  }

  void deliver_notices() {
    for (; is_up_ && sent_notices_ < runtime_.notices.size(); ++sent_notices_)
      downstream_.emplace_back(now_ + latency_seconds(), runtime_.notices[sent_notices_]);
    double latest = 0;
    while (!downstream_.empty()) {
      latest = std::max(latest, downstream_.front().first);  // delivered in order
      if (latest > now_) return;
      const Notice notice = downstream_.front().second;
      downstream_.pop_front();
      handle_notice(notice);
    }
  }

  void handle_notice(const Notice& notice) {
    if (notice.kind == NoticeKind::kGauges) return handle_gauges(notice.tag);
    ++received_notices_;
    Request& request = requests_[notice.id];
    if (notice.kind == NoticeKind::kEnd) {
      request.has_ended = true;
      ledger_.erase(notice.id);
    } else {
      ledger_.on_call_wanted(notice.id);
      replies_.push_back({now_ + latency_seconds() * 3, notice.id, notice.call});
    }
  }

  void handle_gauges(std::uint64_t tag) {
    if (tag != gauges_tag_) return;
    ledger_.mark_delivered(sent_before_gauges_);
    alive_at_ = gauges_requested_at_;
    if (is_synchronized_) return;
    is_synchronized_ = true;
    for (const CommandLedger::Outgoing& outgoing : ledger_.take_sendable()) send(outgoing);
  }

  void send_replies() {
    std::erase_if(replies_, [&](const PendingReply& reply) {
      if (reply.at > now_) return false;
      const Request& request = requests_[reply.id];
      if (request.has_ended) return true;
      RuntimeCommand command;
      command.text = text_of({Verb::kReply, reply.id, reply.call, 0});
      command.in_doubt = request.may_skip ? InDoubt::kReplace : InDoubt::kAwaitNotice;
      command.replacement = text_of({Verb::kSkip, reply.id, reply.call, 0});
      command.give_up_at = request.deadline;
      issue({reply.id, false}, std::move(command));
      return true;
    });
  }

  void request_gauges() {
    gauges_at_ = now_ + kGaugesSeconds;
    gauges_requested_at_ = now_;
    sent_before_gauges_ = ledger_.last_sent();
    push({Verb::kGauges, 0, 0, ++gauges_tag_});
  }

  // Some of the commands that have not arrived were accepted by the system; the peer reads none of them.
  void cut() {
    ++cuts_;
    std::uint64_t taken = taken_bytes_;
    for (const Sent& sent : upstream_) {
      if (one_in(4)) break;
      taken = sent.stream_end;
      if (sent.command.verb == Verb::kStart) requests_[sent.command.id].was_sent = true;
    }
    lost_ += static_cast<int>(upstream_.size());
    ledger_.on_link_lost({now_, alive_at_, taken, true});
    upstream_.clear();
    downstream_.clear();
    is_up_ = is_synchronized_ = false;
    break_at_ = -1;
    reconnect_at_ = now_ + latency_seconds() * 5;
  }

  void connect() {
    is_up_ = true;
    stream_bytes_ = taken_bytes_ = 0;
    last_arrival_ = now_;
    sent_notices_ = received_notices_;  // notices that were not received are sent again
    request_gauges();
  }

  void end_overdue_requests() {
    for (const RequestId id : ledger_.requests_to_give_up(now_)) {
      Request& request = requests_[id];
      if (now_ < request.deadline) ++violations_.given_up_early;
      request.has_ended = request.was_given_up = true;
      ++given_up_;
      ledger_.erase(id);
    }
    for (auto& [id, request] : requests_) {
      if (!request.has_ended && now_ >= request.deadline) runtime_.on_request_ended(id);
    }
  }

  pcg64 random_;
  Violations violations_;
  SimulatedRuntime runtime_;
  CommandLedger ledger_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> must_run_once_;
  std::deque<Sent> upstream_;
  std::deque<std::pair<double, Notice>> downstream_;
  std::vector<PendingReply> replies_;
  double now_ = 0;
  double break_at_ = -1;
  double reconnect_at_ = 0;
  double gauges_at_ = 0;
  double gauges_requested_at_ = 0;
  double alive_at_ = 0;
  double last_arrival_ = 0;
  std::size_t sent_notices_ = 0;
  std::size_t received_notices_ = 0;
  std::uint64_t stream_bytes_ = 0;
  std::uint64_t taken_bytes_ = 0;
  std::uint64_t gauges_tag_ = 0;
  std::uint64_t sent_before_gauges_ = 0;
  RequestId last_id_ = 0;
  bool is_up_ = false;
  bool is_synchronized_ = false;
  int cuts_ = 0;
  int given_up_ = 0;
  int lost_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000;
  int broken = 0;
  int cuts = 0;
  int given_up = 0;
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    History history(seed);
    const Violations result = history.run();
    cuts += history.cuts();
    given_up += history.given_up();
    lost += history.lost();
    if (!result.any()) continue;
    if (++broken <= 5) {
      std::printf("seed %llu: ran twice %d, wrong replies %d, never left %d, awaited for ever %d, early %d\n",
                  static_cast<unsigned long long>(seed), result.ran_twice, result.wrong_reply,
                  result.never_sent, result.awaited_forever, result.given_up_early);
    }
  }
  std::printf("%llu histories, %d broken; cuts, losses and runs given up happen: %s\n",
              static_cast<unsigned long long>(seeds), broken,
              cuts > 0 && lost > 0 && given_up > 0 ? "yes" : "NO");
}
