// The planners of a history: lives, sessions, keys and runs.
#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "fault_history.h"

namespace damsonspoke::tier {

void History::release(Planner& planner, RequestId request) {
  const auto found = planner.memory.find(requests_[request].mark);
  if (found == planner.memory.end() || found->second.request != request ||
      found->second.state != Memory::kReserved)
    return;
  const std::vector<Held> waits = std::move(found->second.waits);
  planner.memory.erase(found);
  for (const Held& held : waits) tell(planner, held, wt::Result::kRejected);
}

void History::gone(Planner& planner, const std::vector<RequestId>& requests) {
  for (const RequestId request : requests) {
    if (!planner.started[request]) release(planner, request);
    std::erase_if(planner.line, [&](const Held& held) { return held.request == request; });
    if (!planner.started[request]) planner.open.erase(request);
  }
}

void History::begin_life(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  std::map<std::uint64_t, Memory> kept = std::move(planner.memory);
  std::erase_if(kept, [](const auto& one) { return one.second.state == Memory::kReserved; });
  for (auto& [mark, one] : kept) {
    if (one.state == Memory::kRunning) one.state = Memory::kUnknown;
    one.waits.clear();
  }
  planner = Planner{};
  planner.memory = std::move(kept);
  planner.up = true;
  planner.epoch = ++next_epoch_ << 32;  // far apart, as random ones are
  planner.holdings = std::make_unique<ForwarderSessions>(
      ForwarderSessionsOptions{kSessionGraceSeconds, 4096, 8, 64}, planner.epoch);
}

void History::kill(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  if (!planner.up) return;
  note(fmt::format("p{} dies", p));
  planner.up = false;
  planner.epoch = 0;
  for (const auto& f : forwarders_) {
    if (f->links[p]) f->links[p]->there = false;
    break_link(f->links[p]);
  }
  after(0.05 + chance(), [this, p] { begin_life(p); });
}

void History::tell(Planner& planner, const Held& held, wt::Result result) {
  planner.open.erase(held.request);
  wt::Answer answer;
  answer.attempt = held.attempt;
  answer.result = result;
  answer.retry_after_us = 100000;
  const std::uint64_t link = planner.holdings->record_answer(held.forwarder, answer);
  if (link != 0 && links_[link]) in(links_[link], answer);
}

void History::planner_hears(const std::shared_ptr<Link>& link, const wt::Message& message) {
  Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
  if (!planner.up) return;
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    planner_hears_hello(planner, link, *hello);
  } else if (const auto* submit = std::get_if<wt::Submit>(&message)) {
    planner_hears_submit(planner, *link, *submit);
  } else if (const auto* cancel = std::get_if<wt::Cancel>(&message)) {
    if (const auto request = planner.holdings->cancel(link->known_as, cancel->attempt))
      gone(planner, {*request});
  } else if (const auto* fence = std::get_if<wt::Fence>(&message)) {
    const ForwarderSessions::FenceResult result = planner.holdings->fence(
        link->known_as, fence->attempt, [&](RequestId request) { return planner.started[request]; });
    if (result.abandoned) gone(planner, {*result.abandoned});
    in(link, result.answer);
  }
}

void History::planner_hears_hello(Planner& planner, const std::shared_ptr<Link>& link,
                                  const wt::Hello& hello) {
  const ForwarderSessions::SessionStart session =
      planner.holdings->open_session(hello.name, hello.epoch, link->number);
  if (session.superseded_link != 0 && links_[session.superseded_link])
    links_[session.superseded_link]->there = false;
  gone(planner, session.abandoned);
  link->known_as = session.forwarder;
  links_[link->number] = link;
  wt::Hello mine;
  mine.is_planner = true;
  mine.epoch = session.planner_epoch;
  mine.window = 8;
  in(link, mine);
}

void History::planner_hears_submit(Planner& planner, const Link& link, const wt::Submit& submit) {
  if (planner.holdings->submit(link.known_as, submit.attempt, submit.request, 0) !=
      ForwarderSessions::SubmitResult::kAccepted)
    return;
  const Held held{submit.request, link.known_as, submit.attempt, now_ + submit.remaining_us * 1e-6};
  if (planner.open.contains(submit.request)) return tell(planner, held, wt::Result::kFailed);
  if (planner.manner == Manner::kRejections) return tell(planner, held, wt::Result::kRejected);
  if (requests_[held.request].mark != 0) {
    if (!reserve_key(planner, held, submit.is_lookup_only)) return;
  } else if (submit.is_lookup_only) {
    fail(fmt::format("op {} has no key and was asked about", held.request));
  }
  planner.open[held.request] = held;
  planner.line.push_back(held);
  run_more(link.planner);
}

bool History::reserve_key(Planner& planner, const Held& held, bool is_lookup_only) {
  const std::uint64_t mark = requests_[held.request].mark;
  const auto known = planner.memory.find(mark);
  const bool over = known != planner.memory.end() && known->second.state > Memory::kRunning &&
                    now_ >= known->second.admitted + kKeyWindowSeconds;
  if (known != planner.memory.end() && !over) {
    if (known->second.state == Memory::kEnded) {
      tell(planner, held, wt::Result::kSucceeded);
    } else if (known->second.state == Memory::kUnknown) {
      tell(planner, held, wt::Result::kUnknown);
    } else {
      planner.open[held.request] = held;
      known->second.waits.push_back(held);
    }
    return false;
  }
  if (is_lookup_only) {
    tell(planner, held, wt::Result::kKeyUnknown);
    return false;
  }
  planner.memory[mark] = {held.request, now_, Memory::kReserved, {}};
  return true;
}

void History::run_more(int p) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  while (planner.manner != Manner::kMute && planner.running < kCores && !planner.line.empty()) {
    const Held held = planner.line.front();
    planner.line.pop_front();
    if (now_ > held.due) {
      release(planner, held.request);
      tell(planner, held, wt::Result::kRejected);
      continue;
    }
    start_run(p, held);
  }
}

void History::start_run(int p, const Held& held) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  planner.started[held.request] = true;
  ++planner.running;
  if (++requests_[held.request].runs > 1) fail(fmt::format("op {} ran twice", held.request));
  if (const std::uint64_t mark = requests_[held.request].mark; mark != 0) {
    Memory& memory = planner.memory.at(mark);
    memory.state = Memory::kRunning;
    const auto before = ran_.find(mark);
    if (before != ran_.end() && memory.admitted < before->second + kKeyWindowSeconds)
      fail(fmt::format("key {} ran twice within its window", mark));
    ran_[mark] = memory.admitted;
  }
  if (requests_[held.request].rejected) fail(fmt::format("op {} ran after it was nacked", held.request));
  note(fmt::format("p{} runs op {}", p, held.request));
  const std::uint64_t epoch = planner.epoch;
  const double takes = -std::log(1 - chance()) * 0.02 * (planner.manner == Manner::kSlow ? 10 : 1);
  after(takes, [this, p, epoch, held] { end_run(p, epoch, held); });
}

void History::end_run(int p, std::uint64_t epoch, const Held& held) {
  Planner& planner = *planners_[static_cast<std::size_t>(p)];
  if (planner.epoch != epoch) return;
  --planner.running;
  const bool good = random_() % 50 != 0;
  tell(planner, held, good ? wt::Result::kSucceeded : wt::Result::kFailed);
  if (const std::uint64_t mark = requests_[held.request].mark; mark != 0) {
    Memory& memory = planner.memory.at(mark);
    memory.state = good ? Memory::kEnded : Memory::kUnknown;
    for (const Held& wait : std::exchange(memory.waits, {}))
      tell(planner, wait, good ? wt::Result::kSucceeded : wt::Result::kUnknown);
  }
  run_more(p);
}

}  // namespace damsonspoke::tier
