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
  WaitEstimatorOptions outlook;
  KeyOwnershipOptions homes;
  double retry_share = 0.1;  // second tries, of first ones
  double retry_burst = 10;   // of them at once
  double try_share = 0.5;    // of the time left after which a planner that has not answered is fenced
  double link_patience = 1;  // s that a lost link may take to come back before its requests are given up
  double due_margin = 0.02;  // s before the due time at which a forwarder answers itself
  double hop = 0.005;        // s that a planner is told less than there is: its answer has to come back
  double least_left = 0.03;  // s; with less no attempt is begun
  std::size_t queue_requests = 512;
  std::size_t line_bytes = 4 << 20;
  bool by_key = false;  // requests with a subject go by it
  // Attempts are numbered by steps by chance of at most so much. 1: a planner that is wrong can hit on the
  // number of an attempt that is still on its way to it, and its answer would be believed.
  std::uint64_t number_steps = 1;
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

enum class LocalAnswer { kRejected, kFailed };

class DispatchSink {
 public:
  virtual ~DispatchSink() = default;
  // `known_only`: it is only asked whether it knows the request's key, and runs nothing.
  virtual void send(int planner, Attempt attempt, RequestId request, double left, bool known_only) = 0;
  virtual void cancel(int planner, Attempt attempt) = 0;
  virtual void fence(int planner, Attempt attempt) = 0;
  // The request's one answer, where it comes from here and not from a planner; the request is over.
  virtual void reply(RequestId request, LocalAnswer how, double retry_after, bool no_retry) = 0;
  virtual void schedule_wakeup(double time) = 0;  // the last one asked for counts
};

// How a planner answered, as far as it matters here.
enum class AnswerKind { kSucceeded, kRejected, kFailed, kNeverRan, kRunning, kForgotten, kNotKnown };

struct DispatchCounters {
  std::uint64_t first_tries = 0, second_tries = 0, fences = 0, proven = 0, dropped_answers = 0, lost = 0,
                adrift = 0, refused_here = 0, evicted = 0, overdue = 0, asked = 0, known = 0;
};

class Dispatch {
 public:
  Dispatch(DispatchOptions terms, std::size_t routes, const std::vector<std::string>& planners,
           DispatchSink& host, std::function<double()> chance, double now);

  void on_request(const ForwardedRequest& request, double now);
  void on_caller_gone(RequestId request, double now);

  void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now);
  // `unwritten`: attempts of which no whole frame ever left: proven.
  void on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now);
  void on_window(int planner, std::uint32_t window, double slot_worth, bool good, double now);
  void on_no_more(int planner, double now);
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
  bool done_with(int planner, double now) const;
  // A list that was in force before this process began.
  void unknown_before(double now) { homes_of_keys_.unknown_before(now); }
  void former_planners(const std::vector<std::string>& names, double until, double now);
  double settled_at() const { return homes_of_keys_.settled_at(); }

  bool healthy(double now) const { return !leaving() && outlook_.healthy(now); }
  std::size_t open() const { return requests_.size(); }
  std::size_t waiting() const;
  const Picker& picker() const { return picker_; }
  const AttemptLedger& attempts() const { return fence_; }
  const DispatchCounters& counts() const { return counts_; }

 private:
  struct Request {
    ForwardedRequest what;
    double due = 0;   // s, when its own answer leaves at the latest
    double sent = 0;  // s, of the attempt in hand
    double fence_at = -1;
    int tries = 0;
    int home = -1;          // of a keyed request: the one planner that may have it
    KeyRoute way;           // of a keyed request
    std::size_t asked = 0;  // of way.ask
    int way_of = 0;         // the list by which it was found
    bool asking() const { return asked < way.ask.size(); }
  };
  struct Link {
    bool up = false;
    std::uint64_t epoch = 0;
    double lost_at = -1;  // with attempts adrift; < 0: none
  };

  bool leaving() const { return leave_at_ >= 0; }
  int position(const std::string& name, double now);
  void find_way(Request& request, double now);
  void next_step(Request& request);
  int room_at_home(int planner, double now) const;
  bool home_answers(const Request& request) const;
  void not_known(RequestId id, double now);
  WaitQueue& line_of(const Request& request);
  void wait_or_refuse(RequestId id, double now);
  bool send(RequestId id, int planner, double now);
  void again_or_refuse(RequestId id, int not_this, double retry_after, bool no_retry, double now);
  void pump(double now);
  bool pump_line(WaitQueue& line, std::optional<int> only, double now);
  void refuse(RequestId id, double retry_after, bool no_retry, double now);
  void fail(RequestId id);
  void over(RequestId id);
  void fence_late(double now);
  void look_at_planners(double now);
  void wake(double now);

  const DispatchOptions terms_;
  DispatchSink& host_;
  std::function<double()> chance_;
  AttemptLedger fence_;
  Picker picker_;
  WaitEstimator outlook_;
  RetryBudget retries_;
  KeyOwnership homes_of_keys_;
  int lists_ = 0;  // that there have been
  std::unordered_map<RequestId, Request> requests_;
  WaitQueue line_;                // requests that any planner may take
  std::vector<WaitQueue> homes_;  // keyed requests, by the one planner that may
  std::vector<Link> links_;
  std::set<std::pair<double, RequestId>> due_, fences_;
  double leave_at_ = -1, stop_at_ = 0, grace_ = 0;
  DispatchCounters counts_;
};

}  // namespace damsonspoke::tier
