// A forwarder's decisions: which request goes to which planner, when, how often, and how its caller is
// answered when no planner can take it. Policy without I/O over the attempt ledger, picker, wait queues, wait
// estimator and retry budget: events come in with the current time, actions go out through a sink. It holds
// no request bodies and no sockets. Times are seconds on one monotonic clock.
//
// Invariants: a request is answered once, has at most one open attempt, and gets another one only with proof
// that the previous one never ran. A request is rejected only with proof that no attempt with its key has run
// or may still run; without it, it fails. When planners are overloaded, the planners and not the dispatch
// decide which requests are served.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tier/attempt_ledger.h"
#include "tier/dispatch_options.h"
#include "tier/dispatch_sink.h"
#include "tier/key_attempts.h"
#include "tier/key_ownership.h"
#include "tier/pending_requests.h"
#include "tier/picker.h"
#include "tier/retry_budget.h"
#include "tier/wait_estimator.h"
#include "tier/wait_queues.h"

namespace damsonspoke::tier {

class Dispatch {
 public:
  // `random` returns numbers in [0, 1). The sink has to outlive the dispatch.
  Dispatch(const DispatchOptions& options, std::size_t routes, const std::vector<std::string>& planners,
           DispatchSink& sink, std::function<double()> random, double now);

  void on_request(const ForwardedRequest& details, double now);
  // A request that the forwarder has no memory for: it is answered at once.
  void on_request_without_memory(const ForwardedRequest& details, double now);
  void on_caller_disconnected(RequestId id, double now);
  // Whether a request with this key (0: none) that is not passed on may be rejected: no other request with
  // the key has run or may still run.
  [[nodiscard]] bool may_be_rejected(std::uint64_t key_hash, double arrived_at) const;

  // A planner's link is up. `epoch`: of the planner's process. `window`: attempts that may be open there.
  void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now);
  // `unwritten`: attempts of which no complete frame ever left, which proves that they never ran.
  void on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now);
  // See Picker::on_load_report().
  void on_load_report(int planner, std::uint32_t window, double slot_value, bool is_healthy, double now);
  void on_planner_draining(int planner, double now);
  // A planner answered an attempt. Returns the request if it is complete; its success or failure then has to
  // be forwarded to its caller. Returns none if the answer was dropped or handled here. `retry_after`: s; 0:
  // none was given.
  std::optional<RequestId> on_answer(int planner, std::uint64_t epoch, Attempt attempt, AnswerKind kind,
                                     double retry_after, bool no_retry, double now);

  void on_timer(double now);
  // The forwarder stops in `time_left` s. Requests that arrive later than `grace` s from now are rejected.
  void on_drain(double time_left, double grace, double now);

  // Sets the endpoint list. A planner keeps its position for the lifetime of the dispatch; new ones are
  // appended. Planners that are no longer listed are only asked which keys they remember.
  void set_planners(const std::vector<std::string>& names, double now);
  // Adds a list that was current before this process started, until `until`.
  void add_former_planners(const std::vector<std::string>& names, double until);
  // The previous lists are not known: no keyed request runs until they can no longer matter.
  void assume_unknown_history(double now) { key_ownership_.assume_unknown_history(now); }
  // Whether the planner is not listed, has no open attempts and no longer has to be asked about keys.
  [[nodiscard]] bool can_disconnect(int planner, double now) const;

  [[nodiscard]] bool is_healthy(double now) const {
    return !is_draining() && wait_estimator_.is_healthy(now);
  }
  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  [[nodiscard]] std::size_t waiting_requests() const { return queues_.size(); }
  [[nodiscard]] std::size_t retained_keys() const { return key_attempts_.size(); }
  [[nodiscard]] const Picker& picker() const { return picker_; }
  [[nodiscard]] const AttemptLedger& attempts() const { return attempts_; }
  [[nodiscard]] const DispatchCounters& counters() const { return counters_; }

 private:
  struct Link {
    std::uint64_t epoch = 0;
    double disconnected_at = -1;  // when it disconnected with attempts open; < 0: it did not
  };

  // ---- Requests, in dispatch.cpp.
  [[nodiscard]] bool is_draining() const { return drain_at_ >= 0; }
  [[nodiscard]] double latest_reply_when_draining(double now) const;
  PendingRequest& add(const ForwardedRequest& details, double now);
  [[nodiscard]] bool arrived_after_grace(const PendingRequest& request) const;
  [[nodiscard]] KeyHistory key_history(std::uint64_t key_hash, double arrived_at) const;
  [[nodiscard]] KeyHistory key_history(const PendingRequest& request) const;
  // Whether an earlier attempt with its key may have run, so that its planner may have the result.
  [[nodiscard]] bool is_repeat(const PendingRequest& request) const;
  [[nodiscard]] double retry_after(std::size_t ahead, double now);
  [[nodiscard]] bool can_finish(const PendingRequest& request, std::size_t ahead, double now);
  [[nodiscard]] std::optional<int> pick(const PendingRequest& request, double now,
                                        std::optional<int> exclude = std::nullopt);
  [[nodiscard]] bool has_destination(const PendingRequest& request) const;
  // Whether planners may still connect for the first time; requests wait for them.
  [[nodiscard]] bool is_starting_up() const { return !startup_over_ && options_.startup_wait > 0; }
  void end_startup(double now);
  void route_by_key(PendingRequest& request);
  void enqueue_or_reject(RequestId id, double now);
  void dispatch_waiting(double now);
  void dispatch_queue(WaitQueue& queue, std::optional<int> only_planner, double now);
  [[nodiscard]] std::uint64_t attempt_step();
  void send(RequestId id, int planner, double now);
  void record_proven_not_run(RequestId id);
  void retry_or_reject(RequestId id, int exclude, double planner_retry_after, bool no_retry, double now);
  void on_key_unknown(RequestId id, Attempt lookup, std::uint64_t epoch, double now);
  void on_success(RequestId id, int planner, double now);
  void withdraw(RequestId id);
  // `has_run`: its answer is the result of a run.
  void complete(RequestId id, bool has_run = false);
  void reject(RequestId id, double retry_after, bool no_retry);
  void fail(RequestId id);
  void fence_late_attempts(double now);
  void expire_request(RequestId id, double now);
  void schedule_wakeup(double now);

  // ---- Planners, in dispatch_planners.cpp.
  [[nodiscard]] int position_of(const std::string& name);
  [[nodiscard]] KeyOwnership::EndpointList positions_of(const std::vector<std::string>& names);
  [[nodiscard]] Link& link(int planner) { return links_[static_cast<std::size_t>(planner)]; }
  [[nodiscard]] int keyed_capacity(int planner, double now) const;
  [[nodiscard]] std::vector<RequestId> release_unwritten(int planner, const std::vector<Attempt>& unwritten);
  void reject_waiting_for(int planner, double now);
  void fail_lost(const std::vector<RequestId>& lost, int planner);
  void fail_disconnected(double now);
  void check_planner_availability(double now);

  const DispatchOptions options_;
  DispatchSink& sink_;
  std::function<double()> random_;
  AttemptLedger attempts_;
  Picker picker_;
  WaitEstimator wait_estimator_;
  RetryBudget retry_budget_;
  KeyOwnership key_ownership_;
  KeyAttempts key_attempts_;
  int list_version_ = 0;  // incremented with each endpoint list
  PendingRequests requests_;
  WaitQueues queues_;
  std::vector<Link> links_;      // by planner
  double startup_ends_at_ = -1;  // < 0: no request has been received yet
  bool startup_over_ = false;
  double drain_at_ = -1;  // < 0: not draining
  double stop_at_ = 0;
  double drain_grace_ = 0;  // s
  DispatchCounters counters_;
};

}  // namespace damsonspoke::tier
