// The part of Dispatch that handles changes of planners: the endpoint list, links, load reports and draining.
#include <algorithm>

#include "tier/dispatch.h"

namespace damsonspoke::tier {

// ---- The endpoint list.

int Dispatch::position_of(const std::string& name) {
  for (std::size_t i = 0; i < picker_.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (picker_.name(planner) == name) return planner;
  }
  queues_.add_planner();
  links_.emplace_back();
  return picker_.add(name);
}

KeyOwnership::EndpointList Dispatch::positions_of(const std::vector<std::string>& names) {
  KeyOwnership::EndpointList list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(position_of(name), name);
  return list;
}

void Dispatch::set_planners(const std::vector<std::string>& names, double now) {
  const KeyOwnership::EndpointList list = positions_of(names);
  for (std::size_t i = 0; i < picker_.size(); ++i) picker_.remove(static_cast<int>(i));
  for (const auto& [planner, name] : list) picker_.restore(planner);
  key_ownership_.set_planners(list, now);
  ++list_version_;
  check_planner_availability(now);
  // The owners of waiting requests' keys may have changed.
  for (const RequestId id : queues_.take_keyed()) {
    route_by_key(requests_.at(id));
    enqueue_or_reject(id, now);
  }
  dispatch_waiting(now);
  schedule_wakeup(now);
}

void Dispatch::add_former_planners(const std::vector<std::string>& names, double until) {
  const std::size_t known = picker_.size();
  const KeyOwnership::EndpointList list = positions_of(names);
  for (std::size_t i = known; i < picker_.size(); ++i) picker_.remove(static_cast<int>(i));
  key_ownership_.add_former_list(list, until);
}

bool Dispatch::can_disconnect(int planner, double now) const {
  return !picker_.is_listed(planner) && attempts_.open_attempts_at(planner) == 0 &&
         !key_ownership_.may_remember_keys(planner, now);
}

// Attempts of keyed requests that may begin at the planner now. A planner that is not listed only gets
// lookups.
int Dispatch::keyed_capacity(int planner, double now) const {
  return picker_.is_listed(planner) ? picker_.free_capacity(planner, now)
                                    : picker_.lookup_capacity(planner, now);
}

// ---- Links.

void Dispatch::on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now) {
  link(planner) = {epoch, -1};
  picker_.on_link_up(planner, window, now);
  const AttemptLedger::Reconnection reconnection = attempts_.on_link_up(planner, epoch);
  for (const Attempt attempt : reconnection.to_fence) sink_.fence(planner, attempt);
  // There can be no proof about attempts of an earlier epoch.
  fail_lost(reconnection.lost, planner);
  counters_.fences += reconnection.to_fence.size();
  check_planner_availability(now);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

void Dispatch::fail_lost(const std::vector<RequestId>& lost, int planner) {
  for (const RequestId id : lost) {
    ++counters_.unprovable_attempts;
    picker_.release(planner);
    fail(id);
  }
}

void Dispatch::on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now) {
  picker_.on_link_down(planner);
  const std::size_t disconnected = attempts_.on_link_lost(planner).size();
  const std::vector<RequestId> released = release_unwritten(planner, unwritten);
  counters_.disconnected += disconnected - released.size();
  if (attempts_.open_attempts_at(planner) > 0) link(planner).disconnected_at = now;
  check_planner_availability(now);
  for (const RequestId id : released) {
    if (requests_.at(id).details.is_keyed()) withdraw(id);  // it is not sent again
  }
  for (const RequestId id : released) retry_or_reject(id, planner, 0, false, now);
  reject_waiting_for(planner, now);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

// Ends the attempts that were never written; their requests may be retried.
std::vector<RequestId> Dispatch::release_unwritten(int planner, const std::vector<Attempt>& unwritten) {
  std::vector<RequestId> released;
  for (const Attempt attempt : unwritten) {
    const AttemptRecord* record = attempts_.find(attempt);
    if (record == nullptr || record->planner != planner) continue;
    if (const std::optional<RequestId> id = attempts_.record_unwritten(attempt)) {
      ++counters_.proven_not_run;
      picker_.release(planner);
      record_proven_not_run(*id);
      released.push_back(*id);
    }
  }
  return released;
}

// Fails the requests whose planners have not reconnected in time.
void Dispatch::fail_disconnected(double now) {
  for (std::size_t i = 0; i < links_.size(); ++i) {
    Link& link = links_[i];
    if (link.disconnected_at < 0 || now < link.disconnected_at + options_.reconnect_timeout) continue;
    link.disconnected_at = -1;
    const int planner = static_cast<int>(i);
    fail_lost(attempts_.abandon_attempts_at(planner), planner);
  }
}

// ---- Load.

void Dispatch::on_load_report(int planner, std::uint32_t window, double slot_value, bool is_healthy,
                              double now) {
  picker_.on_load_report(planner, window, slot_value, is_healthy);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

void Dispatch::on_planner_draining(int planner, double now) {
  picker_.on_draining(planner);
  reject_waiting_for(planner, now);
  check_planner_availability(now);
  dispatch_waiting(now);
  schedule_wakeup(now);
}

// Rejects the waiting keyed requests that only this planner may run, without waiting for it to return.
void Dispatch::reject_waiting_for(int planner, double now) {
  WaitQueue& queue = queues_.of_planner(planner);
  std::vector<RequestId> given_up;
  while (const std::optional<RequestId> id = queue.front()) {
    withdraw(*id);
    given_up.push_back(*id);
  }
  for (const RequestId id : given_up) reject(id, retry_after(0, now), false);
}

// Rejects the waiting requests if no planner accepts requests.
void Dispatch::check_planner_availability(double now) {
  if (picker_.any_accepts_requests()) {
    wait_estimator_.on_planner_available();
    return;
  }
  wait_estimator_.on_no_planner(now);
  if (is_starting_up()) return;
  WaitQueue& queue = queues_.shared();
  while (const std::optional<RequestId> id = queue.front())
    reject(*id, retry_after(queue.size(), now), false);
}

}  // namespace damsonspoke::tier
