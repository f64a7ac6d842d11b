// A forwarder's decisions: which request goes to which planner, when, how often, and what its caller is told
// when none can take it. Pure policy over fence, picker, line, outlook and retry budget: happenings come in
// with the time, acts go out through a host. It holds no body and no socket.
//
// What it never does: answer a request twice, have two attempts at one in hand, or begin a second one without
// proof that the first never ran. What it does not decide: who is served when cores run short; planners do.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "tier/attempt_ledger.h"
#include "tier/key_ownership.h"
#include "tier/picker.h"
#include "tier/retry_budget.h"
#include "tier/wait_estimator.h"
#include "tier/wait_queue.h"

namespace damsonspoke::tier {

struct DispatchOptions {
  PickerOptions picker;
  WaitEstimatorOptions wait_estimator;
  KeyOwnershipOptions key_ownership;
  double retry_share = 0.1;        // second tries, of first ones
  double retry_burst = 10;         // of them at once
  double fence_after_share = 0.5;  // of the time left after which a planner that has not answered is fenced
  double reconnect_timeout = 1;  // s that a lost link may take to come back before its requests are given up
  double reply_margin = 0.02;    // s before the due time at which a forwarder answers itself
  double hop_time = 0.005;       // s that a planner is told less than there is: its answer has to come back
  double min_remaining_time = 0.03;  // s; with less no attempt is begun
  std::size_t max_waiting_requests = 512;
  std::size_t max_waiting_bytes = 4 << 20;
  bool route_by_subject = false;  // requests with a subject go by it
  // Attempts are numbered by steps by chance of at most so much. 1: a planner that is wrong can hit on the
  // number of an attempt that is still on its way to it, and its answer would be believed.
  std::uint64_t max_attempt_step = 1;
};

struct ForwardedRequest {
  RequestId id = 0;
  int route = 0;
  std::uint32_t caller = 0;
  std::uint64_t subject = 0;  // subject; 0: none
  std::uint64_t idempotency_key_hash =
      0;  // hash of a keyed request's key: its home is one planner for good; 0: not keyed
  double priority_weight = 1;
  double remaining_time = 0;  // s that its caller waits from now on
  std::size_t bytes = 0;
};

enum class LocalReply { kRejected, kFailed };

class DispatchSink {
 public:
  virtual ~DispatchSink() = default;
  // `known_only`: it is only asked whether it knows the request's key, and runs nothing.
  virtual void send(int planner, Attempt attempt, RequestId request, double left, bool known_only) = 0;
  virtual void cancel(int planner, Attempt attempt) = 0;
  virtual void fence(int planner, Attempt attempt) = 0;
  // The request's one answer, where it comes from here and not from a planner; the request is over.
  virtual void reply(RequestId request, LocalReply how, double retry_after, bool no_retry) = 0;
  virtual void schedule_wakeup(double time) = 0;  // the last one asked for counts
};

// How a planner answered, as far as it matters here.
enum class AnswerKind { kSucceeded, kRejected, kFailed, kNeverRan, kRunning, kOutcomeEvicted, kKeyUnknown };

struct DispatchCounters {
  std::uint64_t first_attempts = 0, retries = 0, fences = 0, proven_not_run = 0, stale_answers = 0,
                lost_with_epoch = 0, disconnected = 0, rejected_locally = 0, evicted = 0, overdue = 0,
                key_lookups = 0, key_lookup_hits = 0;
};

class Dispatch {
 public:
  Dispatch(DispatchOptions options, std::size_t routes, const std::vector<std::string>& planners,
           DispatchSink& sink, std::function<double()> random, double now);

  void on_request(const ForwardedRequest& request, double now);
  void on_caller_gone(RequestId request, double now);

  void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now);
  // `unwritten`: attempts of which no whole frame ever left: proven.
  void on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now);
  void on_load_report(int planner, std::uint32_t window, double slot_value, bool healthy, double now);
  void on_planner_draining(int planner, double now);
  // The request that this answers for good, which is over; its acked or failed answer is the mechanism's to
  // pass on. None: dropped, or dealt with here.
  std::optional<RequestId> on_answer(int planner, std::uint64_t epoch, Attempt attempt, AnswerKind how,
                                     double retry_after, bool no_retry, double now);

  void on_timer(double now);
  void on_drain(double time_left, double grace, double now);  // the notice to leave

  // The list of planners from now on. A name keeps the position that it had; new ones come last. Ones that
  // are no longer on it are sent nothing, but for questions about what they remember.
  void set_planners(const std::vector<std::string>& names, double now);
  // It is not on the list, and nothing is open at it, nor can it be asked anything any more.
  bool can_disconnect(int planner, double now) const;
  // A list that was in force before this process began.
  void assume_unknown_history(double now) { key_ownership_.assume_unknown_history(now); }
  void add_former_planners(const std::vector<std::string>& names, double until, double now);
  double migration_ends_at() const { return key_ownership_.migration_ends_at(); }

  bool is_healthy(double now) const { return !is_draining() && wait_estimator_.is_healthy(now); }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t waiting_requests() const;
  const Picker& picker() const { return picker_; }
  const AttemptLedger& attempts() const { return attempts_; }
  const DispatchCounters& counters() const { return counters_; }

 private:
  struct Request {
    ForwardedRequest details;
    double deadline = 0;  // s, when its own answer leaves at the latest
    double sent_at = 0;   // s, of the attempt in hand
    double fence_at = -1;
    int attempts_begun = 0;
    int target = -1;               // of a keyed request: the one planner that may have it
    KeyRoute route;                // of a keyed request
    std::size_t lookups_done = 0;  // of route.former_owners
    int list_version = 0;          // the list by which it was found
    bool is_lookup() const { return lookups_done < route.former_owners.size(); }
  };
  struct Link {
    bool up = false;
    std::uint64_t epoch = 0;
    double disconnected_at = -1;  // with attempts disconnected; < 0: none
  };

  bool is_draining() const { return drain_at_ >= 0; }
  int position_of(const std::string& name, double now);
  void route_by_key(Request& request, double now);
  void advance_route(Request& request);
  int capacity_for_keyed(int planner, double now) const;
  bool target_is_reachable(const Request& request) const;
  void on_key_unknown(RequestId id, double now);
  WaitQueue& queue_of(const Request& request);
  void enqueue_or_reject(RequestId id, double now);
  bool send(RequestId id, int planner, double now);
  void retry_or_reject(RequestId id, int exclude, double retry_after, bool no_retry, double now);
  void dispatch_waiting(double now);
  bool dispatch_queue(WaitQueue& line, std::optional<int> only, double now);
  void reject(RequestId id, double retry_after, bool no_retry, double now);
  void fail(RequestId id);
  void finish(RequestId id);
  void fence_late_attempts(double now);
  void check_planners(double now);
  void schedule(double now);

  const DispatchOptions options_;
  DispatchSink& sink_;
  std::function<double()> random_;
  AttemptLedger attempts_;
  Picker picker_;
  WaitEstimator wait_estimator_;
  RetryBudget retry_budget_;
  KeyOwnership key_ownership_;
  int list_version_ = 0;  // that there have been
  std::unordered_map<RequestId, Request> requests_;
  WaitQueue queue_;                      // requests that any planner may take
  std::vector<WaitQueue> keyed_queues_;  // keyed requests, by the one planner that may
  std::vector<Link> links_;
  std::set<std::pair<double, RequestId>> deadlines_, fence_times_;
  double drain_at_ = -1, stop_at_ = 0, drain_grace_ = 0;
  DispatchCounters counters_;
};

}  // namespace damsonspoke::tier
