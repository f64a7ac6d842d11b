// A history's event loop, callers, faults and checks.
#include "fault_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {

History::History(std::uint64_t seed, int requests, bool print_trace)
    : random_(seed), max_requests_(requests), print_trace_(print_trace) {
  for (int p = 0; p < kPlanners; ++p) {
    planners_.push_back(std::make_unique<Planner>());
    start_planner(p);
  }
  for (int f = 0; f < kForwarders; ++f) forwarders_.push_back(std::make_unique<Forwarder>(*this, f));
  for (int f = 0; f < kForwarders; ++f) {
    for (int p = 0; p < kPlanners; ++p) at(random_unit() * 0.05, [this, f, p] { connect(f, p); });
  }
  at(0.02, [this] { next_request(); });
  at(0.5 + random_unit(), [this] { inject_fault(); });
  at(0.3 + random_unit(), [this] { change_endpoint_list(); });
}

std::string History::run() {
  while (!events_.empty() && violation_.empty() && now_ < kMaxHistorySeconds) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.action();
    check_open_attempts();
  }
  if (violation_.empty()) {
    for (const auto& [id, request] : requests_) {
      if (request.answers == 0 && !request.caller_disconnected)
        fail(fmt::format("request {} was never answered", id));
    }
  }
  return violation_;
}

History::Totals History::totals() const {
  Totals sums;
  for (const auto& [id, request] : requests_) {
    ++sums.requests;
    sums.succeeded += request.succeeded;
    sums.rejected += request.rejected;
    sums.failed += request.failed;
  }
  for (const auto& forwarder : forwarders_) {
    const DispatchCounters& counters = forwarder->dispatch.counters();
    sums.retries += static_cast<int>(counters.retries);
    sums.fences += static_cast<int>(counters.fences);
    sums.proven_not_run += static_cast<int>(counters.proven_not_run);
    sums.stale_answers += static_cast<int>(counters.stale_answers);
    sums.unprovable_attempts += static_cast<int>(counters.unprovable_attempts);
    sums.key_lookups += static_cast<int>(counters.key_lookups);
    sums.key_lookup_hits += static_cast<int>(counters.key_lookup_hits);
  }
  return sums;
}

double History::random_unit() { return random_() / 4294967296.0; }

void History::at(double time, std::function<void()> action) {
  events_.push({time, next_event_++, std::move(action)});
}

void History::after(double delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

void History::trace(const std::string& action) {
  if (print_trace_) std::printf("%8.4f  %s\n", now_, action.c_str());
}

void History::fail(const std::string& reason) {
  if (violation_.empty()) violation_ = reason;
}

void History::check_open_attempts() {
  for (const auto& f : forwarders_) {
    for (int p = 0; p < kPlanners; ++p) {
      if (f->dispatch.picker().open_attempts(p) != f->dispatch.attempts().open_attempts_at(p))
        fail(fmt::format("open attempts of f{} at p{}: picker counts {}, ledger counts {}", f->number, p,
                         f->dispatch.picker().open_attempts(p), f->dispatch.attempts().open_attempts_at(p)));
    }
  }
}

void History::next_request() {
  if (static_cast<int>(requests_.size()) >= max_requests_) return;
  const RequestId id = requests_.size() + 1;
  ForwardedRequest request;
  request.id = id;
  request.caller = random_() % 5;
  request.subject = random_() % 3 == 0 ? 1 + random_() % 4 : 0;
  request.idempotency_key_hash = random_() % 5 == 0 ? 1 + random_() % 12 : 0;
  requests_[id].key_hash = request.idempotency_key_hash;
  request.idempotency_window = kKeyWindowSeconds;
  request.priority_weight = random_() % 4 == 0 ? 3 : 1;
  request.remaining_time = 0.1 + random_unit() * 1.2;
  request.bytes = 100;
  requests_[id].deadline = now_ + request.remaining_time;
  const int f = static_cast<int>(random_() % kForwarders);
  requests_[id].forwarder = f;
  requests_[id].arrived_at = now_;
  trace(fmt::format("request {} at f{}", id, f));
  Dispatch& dispatch = forwarders_[static_cast<std::size_t>(f)]->dispatch;
  dispatch.on_request(request, now_);
  if (random_() % 40 == 0) {
    after(random_unit() * 0.3, [this, id, &dispatch] {
      if (requests_[id].answers > 0) return;
      trace(fmt::format("caller of request {} disconnects", id));
      requests_[id].caller_disconnected = true;
      dispatch.on_caller_disconnected(id, now_);
    });
  }
  after(-std::log(1 - random_unit()) / 150, [this] { next_request(); });
}

void History::record_reply(RequestId id, char outcome) {
  ObservedRequest& request = requests_[id];
  trace(fmt::format("request {} is answered {}", id, outcome));
  request.succeeded = outcome == 'a';
  request.rejected = outcome == 'n';
  request.failed = outcome == 'f';
  if (++request.answers > 1) fail(fmt::format("request {} was answered twice", id));
  if (request.caller_disconnected)
    fail(fmt::format("request {} was answered after its caller had disconnected", id));
  if (now_ > request.deadline + 1e-6) fail(fmt::format("request {} was answered late", id));
  if (outcome == 'n' && request.runs > 0) fail(fmt::format("request {} was rejected but had run", id));
  if (outcome == 'n' && request.key_hash != 0) check_rejected_repeat(id);
  if (outcome == 'a' && request.runs == 0 && !last_run_admitted_at_.contains(request.key_hash))
    fail(fmt::format("request {} succeeded but had not run", id));
}

void History::check_rejected_repeat(RequestId id) {
  const ObservedRequest& repeat = requests_[id];
  for (const RequestId run : runs_of_key_[repeat.key_hash]) {
    const ObservedRequest& original = requests_[run];
    if (original.forwarder == repeat.forwarder && repeat.arrived_at < original.arrived_at + kKeyWindowSeconds)
      fail(fmt::format("request {} was rejected, but request {} of its key had run", id, run));
  }
  rejections_of_key_[repeat.key_hash].push_back(id);
}

void History::check_run_of_rejected_repeats(RequestId id) {
  const ObservedRequest& original = requests_[id];
  for (const RequestId rejected : rejections_of_key_[original.key_hash]) {
    const ObservedRequest& repeat = requests_[rejected];
    if (original.forwarder == repeat.forwarder && repeat.arrived_at > original.arrived_at)
      fail(fmt::format("request {} runs, but request {} of its key was rejected", id, rejected));
  }
  runs_of_key_[original.key_hash].push_back(id);
}

void History::inject_fault() {
  const int p = static_cast<int>(random_() % kPlanners);
  switch (random_() % 9) {
    case 0: kill(p); break;
    case 1: {
      const bool all = random_() % 3 == 0;
      for (int i = 0; i < kPlanners; ++i) {
        if (all || i == p) kill(i);
      }
      break;
    }
    case 2: planners_[static_cast<std::size_t>(p)]->behavior = PlannerBehavior::kSilent; break;
    case 3: planners_[static_cast<std::size_t>(p)]->behavior = PlannerBehavior::kRejections; break;
    case 4: planners_[static_cast<std::size_t>(p)]->behavior = PlannerBehavior::kSlow; break;
    case 5:
      for (const auto& planner : planners_) planner->behavior = PlannerBehavior::kNormal;
      for (int i = 0; i < kPlanners; ++i) start_queued_runs(i);
      break;
    case 6: break_at_planner_first(forwarders_[random_() % kForwarders]->links[p]); break;
    default: break_link(forwarders_[random_() % kForwarders]->links[p]);
  }
  if (static_cast<int>(requests_.size()) < max_requests_)
    after(random_unit() * 0.3, [this] { inject_fault(); });
}

void History::change_endpoint_list() {
  std::vector<std::string> names;
  while (names.empty()) {
    for (int p = 0; p < kPlanners; ++p) {
      if (random_() % 3 != 0)
        names.push_back(std::string("p1 p2 p3 p4").substr(3 * static_cast<std::size_t>(p), 2));
    }
  }
  for (const auto& f : forwarders_) {
    after(random_unit() * kReloadSpreadSeconds, [this, &f, names] {
      trace(fmt::format("f{} gets an endpoint list of {} planners, the first is {}", f->number, names.size(),
                        names.front()));
      f->dispatch.set_planners(names, now_);
    });
  }
  if (static_cast<int>(requests_.size()) < max_requests_)
    after(kReloadSpreadSeconds + random_unit() * 4, [this] { change_endpoint_list(); });
}

}  // namespace damsonspoke::tier
