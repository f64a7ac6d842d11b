// What goes into and comes out of a forwarder's dispatch: requests, answers, the acts that it decides on and
// the counters that it keeps. Plain data and one interface.
#pragma once

#include <cstddef>
#include <cstdint>

#include "admission/request.h"
#include "tier/attempt_ledger.h"

namespace damsonspoke::tier {

// A request as far as the dispatch has to know it; its body stays with the sink.
struct ForwardedRequest {
  RequestId id = 0;
  int route = 0;
  std::uint32_t caller = 0;
  std::uint64_t subject = 0;               // 0: none
  std::uint64_t idempotency_key_hash = 0;  // 0: not keyed
  double priority_weight = 1;
  double remaining_time = 0;  // s that its caller goes on waiting
  std::size_t bytes = 0;      // that it takes while it waits

  [[nodiscard]] bool is_keyed() const { return idempotency_key_hash != 0; }
};

// How the forwarder itself replies to a request.
enum class LocalReply { kRejected, kFailed };

// Carries out what the dispatch decides.
class DispatchSink {
 public:
  DispatchSink() = default;
  virtual ~DispatchSink() = default;
  DispatchSink(const DispatchSink&) = delete;
  DispatchSink& operator=(const DispatchSink&) = delete;

  // Sends an attempt to a planner, which gets `remaining_time` s for it. `is_lookup_only`: the planner is
  // only asked whether it knows the request's key, and runs nothing.
  virtual void send(int planner, Attempt attempt, RequestId request, double remaining_time,
                    bool is_lookup_only) = 0;
  // Nobody waits for the attempt any more.
  virtual void cancel(int planner, Attempt attempt) = 0;
  // Asks the planner to prove that the attempt never ran and to never run it.
  virtual void fence(int planner, Attempt attempt) = 0;
  // The request's one reply, where it comes from the forwarder and not from a planner; the request is
  // complete. `retry_after`: s.
  virtual void reply(RequestId request, LocalReply kind, double retry_after, bool no_retry) = 0;
  // on_timer() is to be called at `time`; the latest call counts.
  virtual void schedule_wakeup(double time) = 0;
};

// How a planner answered an attempt.
enum class AnswerKind {
  kSucceeded,
  kRejected,        // it did not run and never will
  kFailed,          // it may have run
  kNeverRan,        // proven by fencing
  kRunning,         // not proven: it runs or has run, and its answer will follow
  kOutcomeEvicted,  // it has ended, and its answer is no longer cached
  kKeyUnknown,      // nothing is remembered of its key, and nothing ran
};

// Events since the start.
struct DispatchCounters {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t fences = 0;
  std::uint64_t proven_not_run = 0;       // attempts, by fencing or because they were never written
  std::uint64_t stale_answers = 0;        // to attempts that no longer counted
  std::uint64_t unprovable_attempts = 0;  // attempts that can never be proven
  std::uint64_t disconnected = 0;         // attempts open when their link was lost
  std::uint64_t rejected_locally = 0;
  std::uint64_t evicted = 0;  // from a full queue
  std::uint64_t overdue = 0;  // requests whose deadline passed without an answer
  std::uint64_t key_lookups = 0;
  std::uint64_t key_lookup_hits = 0;
};

}  // namespace damsonspoke::tier
