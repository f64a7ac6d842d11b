// The links of a history, and the messages that forwarders receive.
#include <fmt/format.h>

#include <algorithm>

#include "fault_history.h"

namespace damsonspoke::tier {

void History::connect(int f, int p) {
  Forwarder& forwarder = *forwarders_[static_cast<std::size_t>(f)];
  if (!planners_[static_cast<std::size_t>(p)]->up)
    return after(0.05 + random_unit() * 0.1, [this, f, p] { connect(f, p); });
  auto link = std::make_shared<Link>();
  link->forwarder = f;
  link->planner = p;
  link->number = ++next_link_;
  forwarder.links[p] = link;
  wt::Hello hello;
  hello.epoch = static_cast<std::uint64_t>(f) + 1;
  hello.name = fmt::format("f{}", f);
  send_to_planner(link, hello);
}

double History::delay() {
  return 0.0002 + (random_() % 20 == 0 ? random_unit() * 0.15 : random_unit() * 0.002);
}

void History::send_to_planner(const std::shared_ptr<Link>& link, const wt::Message& message,
                              Attempt attempt) {
  if (!link || !link->open_at_forwarder) return fail("a frame was sent on a link that is down");
  const int number = link->frames_sent++;
  if (attempt != 0) link->submits.emplace_back(number, attempt);
  link->last_arrival_at_planner = std::max(link->last_arrival_at_planner, now_ + delay());
  at(link->last_arrival_at_planner, [this, link, number, message] {
    if (!link->open_at_planner || number >= link->delivered_frames) return;
    link->frames_received = number + 1;
    planner_receives(link, message);
  });
}

void History::send_to_forwarder(const std::shared_ptr<Link>& link, const wt::Message& message) {
  link->last_arrival_at_forwarder = std::max(link->last_arrival_at_forwarder, now_ + delay());
  at(link->last_arrival_at_forwarder, [this, link, message] {
    if (link->open_at_forwarder) forwarder_receives(link, message);
  });
}

void History::break_link(const std::shared_ptr<Link>& link) {
  if (!link || !link->open_at_forwarder) return;
  trace(fmt::format("link of f{} and p{} breaks", link->forwarder, link->planner));
  link->open_at_forwarder = false;
  const int frames_in_flight = static_cast<int>(random_() % 6);
  link->delivered_frames =
      std::max(link->frames_received, link->frames_sent - static_cast<int>(random_() % 4));
  const int written = std::min(link->frames_sent, link->delivered_frames + frames_in_flight);
  std::vector<Attempt> unwritten;
  for (const auto& [number, attempt] : link->submits) {
    if (number >= written) unwritten.push_back(attempt);
  }
  after(random_unit() * 0.6, [this, link] { close_at_planner(link); });
  const int f = link->forwarder, p = link->planner;
  forwarders_[static_cast<std::size_t>(f)]->dispatch.on_link_lost(p, unwritten, now_);
  after(0.02 + random_unit() * (random_() % 4 == 0 ? 2 : 0.2), [this, f, p] { connect(f, p); });
}

void History::break_at_planner_first(const std::shared_ptr<Link>& link) {
  if (!link || !link->open_at_forwarder || !link->open_at_planner) return;
  trace(fmt::format("p{} loses the link of f{}", link->planner, link->forwarder));
  close_at_planner(link);
  after(random_unit() * kForwarderSilenceTimeoutSeconds, [this, link] { break_link(link); });
}

void History::close_at_planner(const std::shared_ptr<Link>& link) {
  if (!link->open_at_planner) return;
  link->open_at_planner = false;
  Planner& planner = *planners_[static_cast<std::size_t>(link->planner)];
  if (!planner.up) return;
  planner.sessions->on_link_lost(link->number, now_);
  links_[link->number] = nullptr;
  const int p = link->planner;
  const std::uint64_t epoch = planner.epoch;
  after(0.8, [this, p, epoch] {
    Planner& later = *planners_[static_cast<std::size_t>(p)];
    if (later.up && later.epoch == epoch) abandon(later, later.sessions->take_expired(now_));
  });
}

void History::forwarder_receives(const std::shared_ptr<Link>& link, const wt::Message& message) {
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
    const std::optional<RequestId> completed = forwarder.dispatch.on_answer(
        p, epoch_of_[link->number], answer->attempt, kind, answer->retry_after_us * 1e-6, false, now_);
    if (completed) record_reply(*completed, kind == AnswerKind::kSucceeded ? 'a' : 'f');
  }
}

}  // namespace damsonspoke::tier
