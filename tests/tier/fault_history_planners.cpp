// The planners of a history: restarts, sessions, keys and runs.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "fault_history.h"

namespace damsonspoke::tier {

bool History::Planner::awaits_run_of_key(RequestId request, std::uint64_t key_hash) const {
  const auto found = keys.find(key_hash);
  if (key_hash == 0 || found == keys.end()) return false;
  const std::vector<HeldRequest>& duplicates = found->second.duplicates;
  return std::any_of(duplicates.begin(), duplicates.end(),
                     [&](const HeldRequest& held) { return held.request == request; });
}

void History::release(Planner& planner, RequestId request) {
  const auto found = planner.keys.find(requests_[request].key_hash);
  if (found == planner.keys.end() || found->second.request != request ||
      found->second.state != KeyRecord::kReserved)
    return;
  const std::vector<HeldRequest> duplicates = std::move(found->second.duplicates);
  planner.keys.erase(found);
  for (const HeldRequest& held : duplicates) send_answer(planner, held, wt::Result::kRejected);
}

void History::abandon(Planner& planner, const std::vector<RequestId>& requests) {
  for (const RequestId request : requests) {
    if (!planner.started[request]) release(planner, request);
    std::erase_if(planner.queue, [&](const HeldRequest& held) { return held.request == request; });
    if (!planner.started[request]) planner.open.erase(request);
  }
}

void History::start_planner(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  std::map<std::uint64_t, KeyRecord> keys = std::move(planner.keys);
  std::erase_if(keys, [](const auto& one) { return one.second.state == KeyRecord::kReserved; });
  for (auto& [key_hash, one] : keys) {
    if (one.state == KeyRecord::kRunning) one.state = KeyRecord::kUnknown;
    one.duplicates.clear();
  }
  planner = Planner{};
  planner.keys = std::move(keys);
  planner.up = true;
  planner.proves_waiting_duplicates = p % 2 == 1;
  planner.epoch = ++next_epoch_ << 32;  // far apart, like random epochs
  planner.sessions = std::make_unique<ForwarderSessions>(
      ForwarderSessionsOptions{kSessionGraceSeconds, 4096, 8, 64}, planner.epoch);
}

void History::kill(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  if (!planner.up) return;
  trace(fmt::format("p{} dies", p));
  planner.up = false;
  planner.epoch = 0;
  for (const auto& f : forwarders_) {
    if (f->links[p]) f->links[p]->open_at_planner = false;
    break_link(f->links[p]);
  }
  after(0.05 + random_unit(), [this, p] { start_planner(p); });
}

void History::send_answer(Planner& planner, const HeldRequest& held, wt::Result result) {
  planner.open.erase(held.request);
  wt::Answer answer;
  answer.attempt = held.attempt;
  answer.result = result;
  answer.retry_after_us = 100000;
  const std::uint64_t link = planner.sessions->record_answer(held.forwarder, answer);
  if (link != 0 && links_[link]) send_to_forwarder(links_[link], answer);
}

void History::planner_receives(const std::shared_ptr<Link>& link, const wt::Message& message) {
  Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
  if (!planner.up) return;
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    planner_receives_hello(planner, link, *hello);
  } else if (const auto* submit = std::get_if<wt::Submit>(&message)) {
    planner_receives_submit(planner, *link, *submit);
  } else if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
    if (const auto request = planner.sessions->cancel(link->session_id, cancel->attempt))
      abandon(planner, {*request});
  } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
    const ForwarderSessions::FenceResult result =
        planner.sessions->fence(link->session_id, fence->attempt, [&](RequestId request) {
          return planner.started[request] ||
                 (!planner.proves_waiting_duplicates &&
                  planner.awaits_run_of_key(request, requests_[request].key_hash));
        });
    if (result.abandoned) abandon(planner, {*result.abandoned});
    send_to_forwarder(link, result.answer);
  }
}

void History::planner_receives_hello(Planner& planner, const std::shared_ptr<Link>& link,
                                     const wt::Hello& hello) {
  const ForwarderSessions::SessionStart session =
      planner.sessions->open_session(hello.name, hello.epoch, link->number);
  if (session.superseded_link != 0 && links_[session.superseded_link])
    links_[session.superseded_link]->open_at_planner = false;
  abandon(planner, session.abandoned);
  link->session_id = session.forwarder;
  links_[link->number] = link;
  wt::Hello reply_hello;
  reply_hello.is_planner = true;
  reply_hello.epoch = session.planner_epoch;
  reply_hello.window = 8;
  send_to_forwarder(link, reply_hello);
}

void History::planner_receives_submit(Planner& planner, const Link& link, const wt::Submit& submit) {
  if (planner.sessions->submit(link.session_id, submit.attempt, submit.request, 0) !=
      ForwarderSessions::SubmitResult::kAccepted)
    return;
  const HeldRequest held{submit.request, link.session_id, submit.attempt, now_ + submit.remaining_us * 1e-6};
  if (planner.open.contains(submit.request)) return send_answer(planner, held, wt::Result::kFailed);
  if (planner.behavior == PlannerBehavior::kRejections)
    return send_answer(planner, held, wt::Result::kRejected);
  if (requests_[held.request].key_hash != 0) {
    if (!reserve_key(planner, held, submit.is_lookup_only)) return;
  } else if (submit.is_lookup_only) {
    fail(fmt::format("request {} has no key and was looked up", held.request));
  }
  planner.open[held.request] = held;
  planner.queue.push_back(held);
  start_queued_runs(link.planner);
}

bool History::reserve_key(Planner& planner, const HeldRequest& held, bool is_lookup_only) {
  const std::uint64_t key_hash = requests_[held.request].key_hash;
  const auto known = planner.keys.find(key_hash);
  const bool is_expired = known != planner.keys.end() && known->second.state > KeyRecord::kRunning &&
                          now_ >= known->second.admitted + kKeyWindowSeconds;
  if (known != planner.keys.end() && !is_expired) {
    if (known->second.state == KeyRecord::kEnded) {
      send_answer(planner, held, wt::Result::kSucceeded);
    } else if (known->second.state == KeyRecord::kUnknown) {
      send_answer(planner, held, wt::Result::kUnknown);
    } else {
      planner.open[held.request] = held;
      known->second.duplicates.push_back(held);
    }
    return false;
  }
  if (is_lookup_only) {
    send_answer(planner, held, wt::Result::kKeyUnknown);
    return false;
  }
  planner.keys[key_hash] = {held.request, now_, KeyRecord::kReserved, {}};
  return true;
}

void History::start_queued_runs(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  while (planner.behavior != PlannerBehavior::kSilent && planner.running < kCores && !planner.queue.empty()) {
    const HeldRequest held = planner.queue.front();
    planner.queue.pop_front();
    if (now_ > held.deadline) {
      release(planner, held.request);
      send_answer(planner, held, wt::Result::kRejected);
      continue;
    }
    start_run(p, held);
  }
}

void History::start_run(int p, const HeldRequest& held) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  planner.started[held.request] = true;
  ++planner.running;
  if (++requests_[held.request].runs > 1) fail(fmt::format("request {} ran twice", held.request));
  if (const std::uint64_t key_hash = requests_[held.request].key_hash; key_hash != 0) {
    KeyRecord& record = planner.keys.at(key_hash);
    record.state = KeyRecord::kRunning;
    const auto before = last_run_admitted_at_.find(key_hash);
    if (before != last_run_admitted_at_.end() && record.admitted < before->second + kKeyWindowSeconds)
      fail(fmt::format("key {} ran twice within its window", key_hash));
    last_run_admitted_at_[key_hash] = record.admitted;
    check_run_of_rejected_repeats(held.request);
  }
  if (requests_[held.request].rejected)
    fail(fmt::format("request {} ran after it was rejected", held.request));
  trace(fmt::format("p{} runs request {}", p, held.request));
  const std::uint64_t epoch = planner.epoch;
  const double run_seconds =
      -std::log(1 - random_unit()) * 0.02 * (planner.behavior == PlannerBehavior::kSlow ? 10 : 1);
  after(run_seconds, [this, p, epoch, held] { end_run(p, epoch, held); });
}

void History::end_run(int p, std::uint64_t epoch, const HeldRequest& held) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  if (planner.epoch != epoch) return;
  --planner.running;
  const bool succeeded = random_() % 50 != 0;
  send_answer(planner, held, succeeded ? wt::Result::kSucceeded : wt::Result::kFailed);
  if (const std::uint64_t key_hash = requests_[held.request].key_hash; key_hash != 0) {
    KeyRecord& record = planner.keys.at(key_hash);
    record.state = succeeded ? KeyRecord::kEnded : KeyRecord::kUnknown;
    for (const HeldRequest& duplicate : std::exchange(record.duplicates, {}))
      send_answer(planner, duplicate, succeeded ? wt::Result::kSucceeded : wt::Result::kUnknown);
  }
  start_queued_runs(p);
}

}  // namespace damsonspoke::tier
