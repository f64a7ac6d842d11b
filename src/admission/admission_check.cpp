#include "admission/admission_check.h"

#include <algorithm>
#include <cstddef>

namespace damsonspoke {
namespace {

constexpr int kProbesPerCore = 1;             // requests that an unhealthy server serves at once
constexpr double kMaxQueuedBytesShare = 0.5;  // of the queued bytes, for one caller or subject
constexpr double kUsableTimeShare = 0.85;     // of the time left, because predictions are means
constexpr double kZeroWeightTimeShare = 0.5;  // of that time, for a request of weight 0

}  // namespace

std::optional<RejectReason> AdmissionCheck::reject_reason(const NewRequest& new_request, double now) const {
  const RequestState& state = new_request.state;
  const DrainState& drain = view_.drain;
  if (drain.draining() && new_request.arrived_at > drain.notified_at + view_.options.drain_grace)
    return RejectReason::kDraining;
  if (state.deadline <= now) return RejectReason::kDeadlinePassed;
  if (!view_.pool.fits(state.request.size_kb)) return RejectReason::kTooLarge;
  if (view_.pool.exhausted() || view_.run_queue.full()) return RejectReason::kNoCapacity;
  if (state.route.idempotency == Idempotency::kWithKey && !view_.keys.has_capacity())
    return RejectReason::kNoKeyCapacity;
  const int in_service = view_.run_queue.running() + view_.calls.pending_calls() + view_.run_queue.size();
  if (view_.health.unhealthy() && in_service >= kProbesPerCore * view_.options.cores)
    return RejectReason::kUnhealthy;
  if (!has_waiting_work(now)) return std::nullopt;
  if (exceeds_fair_share(state.request)) return RejectReason::kNoCapacity;
  if (view_.statistics.for_request(state).run_times.empty()) return std::nullopt;
  // Beyond its quota a tenant gets only idle capacity.
  if (!new_request.within_quota) return RejectReason::kNoCapacity;
  if (new_request.queue_wait > queue_time_allowed(state, now)) return RejectReason::kNoCapacity;
  return std::nullopt;
}

bool AdmissionCheck::has_waiting_work(double now) const {
  return view_.run_queue.size() > 0 || view_.calls.queued() > 0 || view_.run_queue.saturated(now);
}

// The pool does not distinguish callers. While requests wait, a caller or subject that holds over half of the
// queued bytes therefore gets no more capacity.
bool AdmissionCheck::exceeds_fair_share(const Request& request) const {
  double of_caller = 0;
  double of_subject = 0;
  double total = 0;
  bool has_others = false;
  for (const RequestId id : view_.run_queue.ids()) {
    const Request& other = view_.requests.at(id).request;
    total += other.size_kb;
    if (other.caller == request.caller) of_caller += other.size_kb;
    if (other.caller != request.caller) has_others = true;
    if (request.subject != 0 && other.subject == request.subject) of_subject += other.size_kb;
  }
  if (view_.run_queue.size() < view_.options.cores) return false;
  return (has_others && of_caller > total * kMaxQueuedBytesShare) ||
         of_subject > total * kMaxQueuedBytesShare;
}

// The lower a request's weight relative to the highest, the shorter the queue that it may join. The limit
// follows the route with the shortest queue time; otherwise only routes with short objectives would be
// rejected.
double AdmissionCheck::queue_time_allowed(const RequestState& state, double now) const {
  const double left = state.useful_until - now - view_.estimator.processing_time(state, now);
  const double share = kZeroWeightTimeShare + (1 - kZeroWeightTimeShare) * state.route.priority_weight /
                                                  view_.directory.highest_priority_weight();
  if (share >= 1) return kUsableTimeShare * left;
  return kUsableTimeShare *
         (share * std::min(left, view_.statistics.shortest_queue_time(view_.service_rate.value())));
}

std::vector<const RequestState*> AdmissionCheck::queued_with_lower_weight(double priority_weight) const {
  std::vector<const RequestState*> found;
  for (const RequestId id : view_.run_queue.ids()) {
    const RequestState& state = view_.requests.at(id);
    if (state.stage == RequestStage::kQueued && !state.has_run &&
        state.route.priority_weight < priority_weight)
      found.push_back(&state);
  }
  std::sort(found.begin(), found.end(), [](const RequestState* a, const RequestState* b) {
    if (a->route.priority_weight != b->route.priority_weight)
      return a->route.priority_weight < b->route.priority_weight;
    if (a->stage_since != b->stage_since) return a->stage_since > b->stage_since;
    return a->request.id > b->request.id;
  });
  return found;
}

std::optional<std::vector<RequestId>> AdmissionCheck::requests_to_preempt(const NewRequest& new_request,
                                                                          double now) const {
  const RequestState& state = new_request.state;
  if (view_.pool.exhausted() || view_.statistics.for_request(state).run_times.empty() ||
      exceeds_fair_share(state.request))
    return std::nullopt;
  const double allowed = queue_time_allowed(state, now);
  double wait = new_request.queue_wait;
  double weight_left = state.route.priority_weight;
  int queued = view_.run_queue.size();
  std::vector<RequestId> preempted;
  for (const RequestState* other : queued_with_lower_weight(state.route.priority_weight)) {
    if (wait <= allowed && !view_.run_queue.full_with(queued)) break;
    weight_left -= other->route.priority_weight;
    if (weight_left <= 0) return std::nullopt;
    wait -= view_.estimator.queue_wait_of(*other);
    --queued;
    preempted.push_back(other->request.id);
  }
  if (wait > allowed || view_.run_queue.full_with(queued)) return std::nullopt;
  return preempted;
}

}  // namespace damsonspoke
