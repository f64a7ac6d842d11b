// The links of a history, and what forwarders hear on them.
#include <fmt/format.h>

#include <algorithm>

#include "fault_history.h"

namespace damsonspoke::tier {

void History::connect(int f, int p) {
  Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(f)];
  if (!planners_[static_cast<std::size_t>(p)]->up)
    return after(0.05 + chance() * 0.1, [this, f, p] { connect(f, p); });
  auto link = std::make_shared<Link>();
  link->forwarder = f;
  link->planner = p;
  link->number = ++next_link_;
  forwarder.links[p] = link;
  wt::Hello hello;
  hello.epoch = static_cast<std::uint64_t>(f) + 1;
  hello.name = fmt::format("f{}", f);
  out(link, hello);
}

double History::delay() { return 0.0002 + (random_() % 20 == 0 ? chance() * 0.15 : chance() * 0.002); }

void History::out(const std::shared_ptr<Link>& link, const wt::Message& message, Attempt attempt) {
  if (!link || !link->here) return fail("a frame was sent on a link that is down");
  const int number = link->sent_out++;
  if (attempt != 0) link->submits.emplace_back(number, attempt);
  link->last_out = std::max(link->last_out, now_ + delay());
  at(link->last_out, [this, link, number, message] {
    if (!link->there || number >= link->cut_out) return;
    link->heard_out = number + 1;
    planner_hears(link, message);
  });
}

void History::in(const std::shared_ptr<Link>& link, const wt::Message& message) {
  link->last_in = std::max(link->last_in, now_ + delay());
  at(link->last_in, [this, link, message] {
    if (link->here) forwarder_hears(link, message);
  });
}

void History::break_link(const std::shared_ptr<Link>& link) {
  if (!link || !link->here) return;
  note(fmt::format("link of f{} and p{} breaks", link->forwarder, link->planner));
  link->here = false;
  const int under_way = static_cast<int>(random_() % 6);
  link->cut_out = std::max(link->heard_out, link->sent_out - static_cast<int>(random_() % 4));
  const int written = std::min(link->sent_out, link->cut_out + under_way);
  std::vector<Attempt> unwritten;
  for (const auto& [number, attempt] : link->submits) {
    if (number >= written) unwritten.push_back(attempt);
  }
  after(chance() * 0.6, [this, link] { planner_loses(link); });
  const int f = link->forwarder, p = link->planner;
  forwarders_[static_cast<std::size_t>(f)]->dispatch.on_link_lost(p, unwritten, now_);
  after(0.02 + chance() * (random_() % 4 == 0 ? 2 : 0.2), [this, f, p] { connect(f, p); });
}

void History::lose_at_planner(const std::shared_ptr<Link>& link) {
  if (!link || !link->here || !link->there) return;
  note(fmt::format("p{} loses the link of f{}", link->planner, link->forwarder));
  planner_loses(link);
  after(chance() * kForwarderSilenceSeconds, [this, link] { break_link(link); });
}

void History::planner_loses(const std::shared_ptr<Link>& link) {
  if (!link->there) return;
  link->there = false;
  Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
  if (!planner.up) return;
  planner.holdings->on_link_lost(link->number, now_);
  links_[link->number] = nullptr;
  const int p = link->planner;
  const std::uint64_t epoch = planner.epoch;
  after(0.8, [this, p, epoch] {
    Planner& later = *planners_[static_cast<std::size_t>(p)];
    if (later.up && later.epoch == epoch) gone(later, later.holdings->take_expired(now_));
  });
}

void History::forwarder_hears(const std::shared_ptr<Link>& link, const wt::Message& message) {
  Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(link->forwarder)];
  const int p = link->planner;
  if (const auto* hello = std::get_if<wt::Hello>(&message)) {
    epoch_of_[link->number] = hello->epoch;
    forwarder.window[p] = hello->window;
    forwarder.dispatch.on_link_up(p, hello->epoch, hello->window, now_);
  } else if (const auto* answer = std::get_if<wt::Answer>(&message)) {
    AnswerKind kind = AnswerKind::kFailed;
    if (answer->result == wt::Result::kSucceeded) kind = AnswerKind::kSucceeded;
    if (answer->result == wt::Result::kRejected) kind = AnswerKind::kRejected;
    if (answer->result == wt::Result::kNeverRan) kind = AnswerKind::kNeverRan;
    if (answer->result == wt::Result::kRunning) kind = AnswerKind::kRunning;
    if (answer->result == wt::Result::kOutcomeEvicted) kind = AnswerKind::kOutcomeEvicted;
    if (answer->result == wt::Result::kKeyUnknown) kind = AnswerKind::kKeyUnknown;
    const std::optional<RequestId> over = forwarder.dispatch.on_answer(
        p, epoch_of_[link->number], answer->attempt, kind, answer->retry_after_us * 1e-6, false, now_);
    if (over) answered(*over, kind == AnswerKind::kSucceeded ? 'a' : 'f');
  }
}

}  // namespace damsonspoke::tier
