#include "tier/dispatch.h"

#include <xxhash.h>

#include <algorithm>

namespace damsonspoke::tier {
namespace {

constexpr double kTick = 0.05;       // s; between looks while requests wait or planners are away
constexpr double kStopMargin = 0.2;  // s before the stop; what is owed leaves by then
constexpr double kFenceAgain =
    0.05;  // s; until a late attempt is looked at again that has nowhere else to go

}  // namespace

Dispatch::Dispatch(DispatchOptions terms, std::size_t routes, const std::vector<std::string>& planners,
                   DispatchSink& host, std::function<double()> chance, double now)
    : terms_(terms),
      host_(host),
      chance_(std::move(chance)),
      picker_(terms.picker, {}),
      outlook_(terms.outlook, routes, now),
      retries_(terms.retry_share, terms.retry_burst),
      homes_of_keys_(terms.homes),
      line_(terms.queue_requests, terms.line_bytes) {
  set_planners(planners, now);
}

int Dispatch::position(const std::string& name, double now) {
  for (std::size_t i = 0; i < picker_.size(); ++i) {
    if (picker_.name(static_cast<int>(i)) == name) return static_cast<int>(i);
  }
  homes_.emplace_back(terms_.queue_requests, terms_.line_bytes);
  links_.emplace_back();
  return picker_.add(name, now);
}

void Dispatch::set_planners(const std::vector<std::string>& names, double now) {
  std::vector<std::pair<int, std::string>> list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(position(name, now), name);
  for (std::size_t i = 0; i < picker_.size(); ++i) {
    const int planner = static_cast<int>(i);
    const bool wanted =
        std::any_of(list.begin(), list.end(), [&](const auto& one) { return one.first == planner; });
    wanted ? picker_.restore(planner) : picker_.remove(planner);
  }
  homes_of_keys_.list(list, now);
  ++lists_;
  look_at_planners(now);
  // Keyed requests that wait find their way anew: where they were to run they may run no longer.
  std::vector<RequestId> waiting;
  for (WaitQueue& line : homes_) {
    while (const std::optional<RequestId> id = line.next()) line.leave(*id), waiting.push_back(*id);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const RequestId id : waiting) {
    find_way(requests_.at(id), now);
    wait_or_refuse(id, now);
  }
  pump(now);
  wake(now);
}

void Dispatch::former_planners(const std::vector<std::string>& names, double until, double now) {
  std::vector<std::pair<int, std::string>> list;
  for (const std::string& name : names) {
    const std::size_t known = picker_.size();
    const int planner = position(name, now);
    if (static_cast<std::size_t>(planner) >= known) picker_.remove(planner);
    list.emplace_back(planner, name);
  }
  homes_of_keys_.former(list, until);
}

bool Dispatch::done_with(int planner, double now) const {
  return !picker_.wanted(planner) && fence_.open_at(planner) == 0 &&
         !homes_of_keys_.may_be_asked(planner, now);
}

std::size_t Dispatch::waiting() const {
  std::size_t count = line_.size();
  for (const WaitQueue& line : homes_) count += line.size();
  return count;
}

// ---- Requests.
void Dispatch::on_request(const ForwardedRequest& what, double now) {
  Request request;
  request.what = what;
  if (what.idempotency_key_hash != 0) find_way(request, now);
  request.due = now + std::max(0.0, what.remaining_time - terms_.due_margin);
  if (leaving()) request.due = std::min(request.due, std::max(now, stop_at_ - kStopMargin));
  requests_[what.id] = request;
  due_.insert({request.due, what.id});
  if (leaving() && now > leave_at_ + grace_) {
    refuse(what.id, terms_.outlook.most_come_back, false, now);
  } else {
    wait_or_refuse(what.id, now);
  }
  pump(now);
  wake(now);
}

// Refused at once where no planner is there, or where it could not be in time any more.
void Dispatch::wait_or_refuse(RequestId id, double now) {
  Request& request = requests_.at(id);
  WaitQueue& line = line_of(request);
  if (request.what.idempotency_key_hash != 0 && !request.asking() && !request.way.may_run)
    return refuse(id, outlook_.come_back(0, now, chance_()), false, now);
  const std::size_t ahead = line.ahead(request.what.priority_weight);
  const bool alone =
      request.what.idempotency_key_hash != 0 ? request.home < 0 || !home_answers(request) : !picker_.any_up();
  if (alone || request.due - now < terms_.least_left ||
      !outlook_.in_time(static_cast<std::size_t>(request.what.route), ahead, request.due - now, now))
    return refuse(id, outlook_.come_back(ahead, now, chance_()), false, now);
  const std::optional<RequestId> goes =
      line.enter(id, request.what.priority_weight, request.what.caller, request.what.bytes);
  if (!goes) return;
  ++counts_.evicted;
  refuse(*goes, outlook_.come_back(line.size(), now, chance_()), false, now);
}

// A keyed request's results are remembered by one planner: its key belongs there whether that is up or not.
// Guards against a repeat that runs a second time at a planner that has not heard of the first.
void Dispatch::find_way(Request& request, double now) {
  request.way = homes_of_keys_.way(request.what.idempotency_key_hash, now);
  request.asked = 0;
  request.way_of = lists_;
  next_step(request);
}
// Where a planner has to be asked first that is on no list any more, and is not there, nothing is known of
// the key, and it runs nowhere.
void Dispatch::next_step(Request& request) {
  request.home = request.asking() ? request.way.ask[request.asked] : request.way.home;
}
bool Dispatch::home_answers(const Request& request) const {
  return request.asking() ? picker_.answers(request.home) : picker_.takes_requests(request.home);
}
int Dispatch::room_at_home(int planner, double now) const {
  return picker_.wanted(planner) ? picker_.credits(planner, now) : picker_.asking_room(planner, now);
}

// Its former home does not know it: on to the next, and then to where it runs, if it may by now.
void Dispatch::not_known(RequestId id, double now) {
  Request& request = requests_.at(id);
  fences_.erase({request.fence_at, id});
  request.fence_at = -1;
  if (request.way_of != lists_) {  // asked by an old list: nothing may follow from it any more
    find_way(request, now);
    return wait_or_refuse(id, now);
  }
  ++request.asked;
  next_step(request);
  wait_or_refuse(id, now);
}

WaitQueue& Dispatch::line_of(const Request& request) {
  return request.home >= 0 ? homes_[static_cast<std::size_t>(request.home)] : line_;
}

bool Dispatch::send(RequestId id, int planner, double now) {
  Request& request = requests_.at(id);
  const Link& link = links_[static_cast<std::size_t>(planner)];
  const double left = request.due - now;
  const std::uint64_t step =
      terms_.number_steps <= 1
          ? 1
          : static_cast<std::uint64_t>(chance_() * static_cast<double>(terms_.number_steps)) + 1;
  const Attempt attempt = fence_.begin(id, planner, link.epoch, step);
  picker_.sent(planner);
  request.sent = now;
  ++(request.tries++ == 0 ? counts_.first_tries : counts_.second_tries);
  if (request.tries == 1) retries_.first_try();
  request.fence_at = now + terms_.try_share * left;
  fences_.insert({request.fence_at, id});
  if (request.asking()) ++counts_.asked;
  host_.send(planner, attempt, id, left - terms_.hop, request.asking());
  return true;
}

// Waiting requests go out while there is room, the more important first; those that would come too late are
// told.
bool Dispatch::pump_line(WaitQueue& line, std::optional<int> only, double now) {
  bool any = false;
  while (const std::optional<RequestId> id = line.next()) {
    const Request& request = requests_.at(*id);
    const std::optional<int> to = only ? (room_at_home(*only, now) > 0 ? only : std::nullopt)
                                       : picker_.pick(terms_.by_key ? request.what.subject : 0, now, chance_);
    if (!to) break;
    line.leave(*id);
    any = true;
    const bool late =
        request.due - now < terms_.least_left ||
        !outlook_.in_time(static_cast<std::size_t>(request.what.route), 0, request.due - now, now);
    if (late) {
      refuse(*id, outlook_.come_back(line.size(), now, chance_()), false, now);
    } else {
      send(*id, *to, now);
    }
  }
  return any;
}

void Dispatch::pump(double now) {
  for (std::size_t i = 0; i < homes_.size(); ++i) pump_line(homes_[i], static_cast<int>(i), now);
  pump_line(line_, std::nullopt, now);
}

void Dispatch::on_caller_gone(RequestId id, double now) {
  if (!requests_.contains(id)) return;
  if (const std::optional<Attempt> attempt = fence_.in_hand(id)) {
    const AttemptRecord seen = *fence_.find(*attempt);
    if (seen.standing != AttemptState::kDisconnected) host_.cancel(seen.planner, *attempt);
    picker_.let_go(seen.planner);
  }
  over(id);
  pump(now);
  wake(now);
}

// ---- The ways in which a request is over.
void Dispatch::over(RequestId id) {
  const auto found = requests_.find(id);
  due_.erase({found->second.due, id});
  fences_.erase({found->second.fence_at, id});
  line_of(found->second).leave(id);
  fence_.let_go(id);
  requests_.erase(found);
}
void Dispatch::refuse(RequestId id, double retry_after, bool no_retry, double) {
  ++counts_.refused_here;
  over(id);
  host_.reply(id, LocalAnswer::kRejected, retry_after, no_retry);
}
void Dispatch::fail(RequestId id) {
  over(id);
  host_.reply(id, LocalAnswer::kFailed, 0, false);
}

// A request whose attempt is proven never to have run: another planner, where one has room, the budget allows
// it and the key does not forbid it; else it is told at once.
void Dispatch::again_or_refuse(RequestId id, int not_this, double retry_after, bool no_retry, double now) {
  Request& request = requests_.at(id);
  fences_.erase({request.fence_at, id});
  request.fence_at = -1;
  const bool may = request.what.idempotency_key_hash == 0 && !no_retry &&
                   request.due - now >= terms_.least_left && !leaving();
  if (may) {
    const std::optional<int> to =
        picker_.pick(terms_.by_key ? request.what.subject : 0, now, chance_, not_this);
    if (to && outlook_.in_time(static_cast<std::size_t>(request.what.route), 0, request.due - now, now) &&
        retries_.take()) {
      send(id, *to, now);
      return;
    }
  }
  refuse(id, retry_after > 0 ? retry_after : outlook_.come_back(waiting(), now, chance_()), no_retry, now);
}

// ---- Planners.
std::optional<RequestId> Dispatch::on_answer(int planner, std::uint64_t epoch, Attempt attempt,
                                             AnswerKind how, double retry_after, bool no_retry, double now) {
  const AttemptRecord* seen = fence_.find(attempt);
  const bool ours = seen != nullptr && seen->planner == planner && seen->epoch == epoch;
  if (ours && how == AnswerKind::kRunning) return std::nullopt;  // it goes on; its end will be told
  const std::optional<RequestId> id = fence_.answered(planner, epoch, attempt);
  if (!id) {
    ++counts_.dropped_answers;
    return std::nullopt;
  }
  const Request& request = requests_.at(*id);
  const double took = now - request.sent;
  outlook_.room_came_free(now);
  std::optional<RequestId> passed_on;
  switch (how) {
    case AnswerKind::kSucceeded:
      picker_.ended(planner, AttemptOutcome::kServed, took, now);
      outlook_.served(static_cast<std::size_t>(request.what.route), took);
      counts_.known += request.asking();
      over(*id);
      passed_on = id;
      break;
    case AnswerKind::kFailed:
    case AnswerKind::kForgotten:
      picker_.ended(planner, AttemptOutcome::kBad, took, now);
      over(*id);
      passed_on = id;
      break;
    case AnswerKind::kRejected:
      picker_.ended(planner, AttemptOutcome::kRejected, took, now);
      again_or_refuse(*id, planner, retry_after, no_retry, now);
      break;
    case AnswerKind::kNeverRan:
      ++counts_.proven;
      picker_.let_go(planner);
      again_or_refuse(*id, planner, 0, false, now);
      break;
    case AnswerKind::kNotKnown:
      picker_.let_go(planner);
      // Said to one that was to run there, it is no answer of this protocol's: nothing ran, and nothing is
      // known.
      request.asking() ? not_known(*id, now) : again_or_refuse(*id, planner, 0, false, now);
      break;
    case AnswerKind::kRunning: break;
  }
  pump(now);
  wake(now);
  return passed_on;
}

void Dispatch::on_link_up(int planner, std::uint64_t epoch, std::uint32_t window, double now) {
  Link& link = links_[static_cast<std::size_t>(planner)];
  link = {true, epoch, -1};
  picker_.up(planner, window, now);
  AttemptLedger::Reconnection back = fence_.link_up(planner, epoch);
  for (const Attempt attempt : back.to_fence) host_.fence(planner, attempt);
  // What its former life held is over: nobody will ever prove anything of it.
  for (const RequestId id : back.lost) {
    ++counts_.lost;
    picker_.let_go(planner);
    fail(id);
  }
  counts_.fences += back.to_fence.size();
  look_at_planners(now);
  pump(now);
  wake(now);
}

void Dispatch::on_link_lost(int planner, const std::vector<Attempt>& unwritten, double now) {
  Link& link = links_[static_cast<std::size_t>(planner)];
  link.up = false;
  picker_.down(planner);
  const std::vector<Attempt> adrift = fence_.link_lost(planner);
  std::vector<RequestId> free;
  for (const Attempt attempt : unwritten) {
    const AttemptRecord* seen = fence_.find(attempt);
    if (seen == nullptr || seen->planner != planner) continue;
    if (const std::optional<RequestId> id = fence_.never_written(attempt)) {
      ++counts_.proven;
      picker_.let_go(planner);
      free.push_back(*id);
    }
  }
  counts_.adrift += adrift.size() - free.size();
  if (fence_.open_at(planner) > 0) link.lost_at = now;
  look_at_planners(now);
  for (const RequestId id : free) again_or_refuse(id, planner, 0, false, now);
  // Keyed requests that wait for it, and all where nobody is left: told at once, not held.
  WaitQueue& mine = homes_[static_cast<std::size_t>(planner)];
  while (const std::optional<RequestId> id = mine.next())
    refuse(*id, outlook_.come_back(0, now, chance_()), false, now);
  pump(now);
  wake(now);
}

void Dispatch::on_window(int planner, std::uint32_t window, double slot_worth, bool good, double now) {
  picker_.window(planner, window, slot_worth, good);
  pump(now);
  wake(now);
}

void Dispatch::on_no_more(int planner, double now) {
  picker_.leaving(planner);
  WaitQueue& mine = homes_[static_cast<std::size_t>(planner)];
  while (const std::optional<RequestId> id = mine.next())
    refuse(*id, outlook_.come_back(0, now, chance_()), false, now);
  look_at_planners(now);
  pump(now);
  wake(now);
}

void Dispatch::look_at_planners(double now) {
  if (picker_.any_up()) return outlook_.some_planner(now);
  outlook_.no_planner(now);
  while (const std::optional<RequestId> id = line_.next())
    refuse(*id, outlook_.come_back(line_.size(), now, chance_()), false, now);
}

// ---- Time.
// A planner that has not answered in its share of the time is asked for proof, if another one could take the
// request. Guards against a planner that accepts and never answers, and one that has turned slow with a long
// line.
void Dispatch::fence_late(double now) {
  while (!fences_.empty() && fences_.begin()->first <= now) {
    const RequestId id = fences_.begin()->second;
    fences_.erase(fences_.begin());
    Request& request = requests_.at(id);
    request.fence_at = -1;
    const std::optional<Attempt> attempt = fence_.in_hand(id);
    if (!attempt) continue;
    const AttemptRecord* seen = fence_.find(*attempt);
    const bool elsewhere =
        request.what.idempotency_key_hash == 0 && picker_.pick(0, now, chance_, seen->planner).has_value();
    if (!elsewhere) {
      if (request.due - now > 2 * kFenceAgain) {
        request.fence_at = now + kFenceAgain;
        fences_.insert({request.fence_at, id});
      }
      continue;
    }
    const int planner = seen->planner;
    if (!fence_.ask(*attempt)) continue;
    ++counts_.fences;
    picker_.late(planner, now);
    host_.fence(planner, *attempt);
  }
}

void Dispatch::on_timer(double now) {
  for (std::size_t i = 0; i < links_.size(); ++i) {
    Link& link = links_[i];
    if (link.lost_at < 0 || now < link.lost_at + terms_.link_patience) continue;
    link.lost_at = -1;
    for (const RequestId id : fence_.give_up(static_cast<int>(i))) {
      ++counts_.lost;
      picker_.let_go(static_cast<int>(i));
      fail(id);
    }
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const RequestId id = due_.begin()->second;
    ++counts_.overdue;
    const std::optional<Attempt> attempt = fence_.in_hand(id);
    if (!attempt) {
      refuse(id, outlook_.come_back(waiting(), now, chance_()), false, now);
      continue;
    }
    const AttemptRecord seen = *fence_.find(*attempt);
    if (seen.standing != AttemptState::kDisconnected) host_.cancel(seen.planner, *attempt);
    picker_.ended(seen.planner, AttemptOutcome::kBad, now - requests_.at(id).sent, now);
    fail(id);
  }
  fence_late(now);
  pump(now);
  wake(now);
}

void Dispatch::on_drain(double time_left, double grace, double now) {
  leave_at_ = now;
  stop_at_ = now + time_left;
  grace_ = grace;
  due_.clear();
  for (auto& [id, request] : requests_) {
    request.due = std::min(request.due, std::max(now, stop_at_ - kStopMargin));
    due_.insert({request.due, id});
  }
  wake(now);
}

void Dispatch::wake(double now) {
  outlook_.busy(fence_.open() > 0, now);
  double next = -1;
  const auto sooner = [&](double at) { next = next < 0 ? at : std::min(next, at); };
  if (!due_.empty()) sooner(due_.begin()->first);
  if (!fences_.empty()) sooner(fences_.begin()->first);
  for (const Link& link : links_) {
    if (link.lost_at >= 0) sooner(link.lost_at + terms_.link_patience);
  }
  if (waiting() > 0) sooner(now + kTick);
  if (next >= 0) host_.schedule_wakeup(std::max(next, now));
}

}  // namespace damsonspoke::tier
