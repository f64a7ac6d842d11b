// The inputs and outputs of a forwarder's dispatch: requests, answers, the actions that it decides on and its
// counters. Plain data and one interface.
#pragma once

#include <cstddef>
#include <cstdint>

#include "admission/request.h"
#include "tier/attempt_ledger.h"

namespace damsonspoke::tier {

// The properties of a request that the dispatch needs; the sink stores the body.
struct ForwardedRequest {
  RequestId id = 0;
  int route = 0;
  std::uint32_t caller = 0;
  std::uint64_t subject = 0;               // 0: none
  std::uint64_t idempotency_key_hash = 0;  // 0: not keyed
  double idempotency_window = 0;           // s after its arrival in which a repeat is recognized
  double priority_weight = 1;
  double age = 0;             // s since it arrived
  double remaining_time = 0;  // s that its caller will still wait
  std::size_t bytes = 0;      // memory that it uses while it waits

  [[nodiscard]] bool is_keyed() const { return idempotency_key_hash != 0; }
};

// How the forwarder itself replies to a request.
enum class LocalReply { kRejected, kFailed };

// Carries out the dispatch's decisions.
class DispatchSink {
 public:
  DispatchSink() = default;
  virtual ~DispatchSink() = default;
  DispatchSink(const DispatchSink&) = delete;
  DispatchSink& operator=(const DispatchSink&) = delete;

  // Sends an attempt to a planner, which has `remaining_time` s to answer. `is_lookup_only`: the planner is
  // only asked whether it knows the request's key, and runs nothing.
  virtual void send(int planner, Attempt attempt, RequestId request, double remaining_time,
                    bool is_lookup_only) = 0;
  // The result of the attempt is no longer needed.
  virtual void cancel(int planner, Attempt attempt) = 0;
  // Asks the planner to prove that the attempt never ran and not to run it any more.
  virtual void fence(int planner, Attempt attempt) = 0;
  // Sends the request's only reply, which comes from the forwarder instead of a planner; the request is
  // complete. `retry_after`: s.
  virtual void reply(RequestId request, LocalReply kind, double retry_after, bool no_retry) = 0;
  // Schedules the call of on_timer() at `time`, in place of the time that was scheduled before.
  virtual void schedule_wakeup(double time) = 0;
};

// How a planner answered an attempt.
enum class AnswerKind {
  kSucceeded,
  kRejected,        // it did not run and never will
  kFailed,          // it may have run
  kNeverRan,        // proven by fencing
  kRunning,         // not proven: it is running or has run, and its answer will follow
  kOutcomeEvicted,  // it has ended, but its answer is no longer cached
  kKeyUnknown,      // the planner does not know its key, and nothing ran
};

// Counts of events since the start.
struct DispatchCounters {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t fences = 0;
  std::uint64_t proven_not_run = 0;       // attempts, by fencing or because they were never written
  std::uint64_t stale_answers = 0;        // to attempts that were not current
  std::uint64_t unprovable_attempts = 0;  // attempts whose epoch ended, so that there can be no proof
  std::uint64_t disconnected = 0;         // attempts open when their link was lost
  std::uint64_t rejected_locally = 0;
  std::uint64_t unproven_rejections = 0;  // repeats that failed instead: their key may have run
  std::uint64_t evicted = 0;              // from a full queue
  std::uint64_t overdue = 0;              // requests whose deadline passed without an answer
  std::uint64_t key_lookups = 0;          // of former owners, and of repeats
  std::uint64_t key_lookup_hits = 0;
};

}  // namespace damsonspoke::tier
