// A forwarder's dispatch without sockets, told act by act: links, waiting, leaving, keyed requests while the
// list of planners changes, forged answers. CTest compares with tests/traces/tier_NAME.txt. usage:
// tier_dispatch - NAME
#include <cmath>
#include <cstdio>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "scenarios.h"
#include "tier/dispatch.h"

using namespace damsonspoke;
using namespace damsonspoke::tier;

namespace {

// ---- A forwarder's acts, told one by one.
struct PrintingSink : DispatchSink {
  void send(int planner, Attempt attempt, RequestId request, double remaining_time,
            bool is_lookup_only) override {
    std::printf("  %s op %d as %d to p%d, %.2f s left\n", is_lookup_only ? "ask about" : "send",
                static_cast<int>(request), static_cast<int>(attempt), planner, remaining_time);
  }
  void cancel(int planner, Attempt attempt) override {
    std::printf("  cancel %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void fence(int planner, Attempt attempt) override {
    std::printf("  fence %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void reply(RequestId request, LocalReply kind, double retry_after, bool no_retry) override {
    std::printf("  op %d: %s", static_cast<int>(request),
                kind == LocalReply::kRejected ? "nacked" : "failed");
    if (kind == LocalReply::kRejected)
      std::printf(", back in %.2f s%s", retry_after, no_retry ? ", nowhere else" : "");
    std::printf("\n");
  }
  void schedule_wakeup(double time) override { next = time; }
  double next = 0;
};

void dispatch() {
  PrintingSink sink;
  DispatchOptions options;
  options.picker.slow_start_seconds = 0;
  options.retry_burst = 3;
  options.retry_share = 0;
  options.max_waiting_requests = 2;
  Dispatch dispatcher(
      options, 1, {"p0", "p1"}, sink, [] { return 0.5; }, 0);
  double now = 0;
  const auto request = [&](RequestId id, double remaining_time, double priority_weight = 1,
                           std::uint64_t key_hash = 0) {
    ForwardedRequest details;
    details.id = id;
    details.remaining_time = remaining_time;
    details.priority_weight = priority_weight;
    details.idempotency_key_hash = key_hash;
    details.bytes = 10;
    dispatcher.on_request(details, now);
  };
  const auto answer = [&](int planner, std::uint64_t epoch, Attempt attempt, AnswerKind kind,
                          bool no_retry = false) {
    const auto completed = dispatcher.on_answer(planner, epoch, attempt, kind, 0.3, no_retry, now);
    std::printf(
        "  answer to %d: %s\n", static_cast<int>(attempt),
        completed ? ("op " + std::to_string(*completed) + " is over").c_str() : "nothing is passed on");
  };
  const auto run_until = [&](double time) {
    while (sink.next > now && sink.next <= time) {
      now = sink.next;
      sink.next = 0;
      dispatcher.on_timer(now);
    }
    now = time;
  };
  std::printf("no planner yet\n");
  request(1, 1);
  std::printf("one comes up, with room for two\n");
  dispatcher.on_link_up(0, 100, 2, now);
  request(2, 1);
  request(3, 1);
  request(4, 1);
  std::printf("a more important one finds the line full, then an equal one\n");
  request(5, 1);
  request(6, 1, 3);
  request(7, 1);
  std::printf("the other comes up: who waits goes there\n");
  dispatcher.on_link_up(1, 200, 2, now);
  std::printf("acked, by the wrong life, by the right one\n");
  answer(0, 99, 1, AnswerKind::kSucceeded);
  answer(0, 100, 1, AnswerKind::kSucceeded);
  std::printf("nacked, and the other has no room\n");
  answer(0, 100, 2, AnswerKind::kRejected);
  std::printf("nacked, the other has room\n");
  answer(1, 200, 3, AnswerKind::kRejected);
  std::printf("nacked there as well\n");
  answer(0, 100, 5, AnswerKind::kRejected);
  std::printf("nacked, and nowhere else\n");
  answer(1, 200, 4, AnswerKind::kRejected, true);
  std::printf("a planner that does not answer in half of the time is asked for proof\n");
  now = 10;
  dispatcher.on_timer(now);
  request(20, 2);
  run_until(11.2);
  answer(0, 100, 7, AnswerKind::kRunning);
  answer(1, 200, 7, AnswerKind::kRunning);
  run_until(12.5);
  std::printf("proven: tried elsewhere\n");
  now = 20;
  request(21, 2);
  run_until(21.2);
  answer(0, 100, 8, AnswerKind::kNeverRan);
  answer(1, 200, 8, AnswerKind::kNeverRan);
  std::printf("the budget of second tries is used up\n");
  run_until(30);
  request(22, 2);
  answer(0, 100, 10, AnswerKind::kRejected);
  answer(1, 200, 10, AnswerKind::kRejected);
  std::printf(
      "a link is lost: what never left goes elsewhere if it may, the rest waits for proof, then fails\n");
  request(23, 5);
  request(24, 5);
  dispatcher.on_link_lost(0, {11}, now);
  dispatcher.on_link_lost(1, {}, now);
  request(25, 5);
  run_until(30.9);
  std::printf("back in the same life, and the other in a new one\n");
  dispatcher.on_link_up(1, 200, 2, now);
  dispatcher.on_link_up(0, 101, 2, now);
  run_until(33);
  std::printf("lost, and not back in time\n");
  request(26, 5);
  dispatcher.on_link_lost(0, {}, now);
  dispatcher.on_link_lost(1, {}, now);
  run_until(36);
  std::printf("keyed ops go to one planner or nowhere\n");
  dispatcher.on_link_up(0, 101, 1, now);
  for (std::uint64_t key_hash = 1; key_hash <= 4; ++key_hash) request(30 + key_hash, 0.2, 1, key_hash);
  std::printf("callers go; the notice to leave; late comers\n");
  dispatcher.on_caller_disconnected(31, now);
  dispatcher.on_caller_disconnected(32, now);
  dispatcher.on_caller_disconnected(33, now);
  dispatcher.on_caller_disconnected(34, now);
  request(40, 5);
  dispatcher.on_drain(2, 0.3, now);
  now += 0.4;
  request(41, 5);
  run_until(39);
  std::printf("open at the end: %zu\n", dispatcher.open_requests());
}

// What waits for a planner that goes: told at once.
void waiting() {
  PrintingSink sink;
  DispatchOptions options;
  options.picker.slow_start_seconds = 0;
  Dispatch dispatcher(
      options, 1, {"p0", "p1"}, sink, [] { return 0.5; }, 0);
  const auto request = [&](RequestId id, std::uint64_t key_hash, double now) {
    ForwardedRequest details;
    details.id = id;
    details.remaining_time = 5;
    details.idempotency_key_hash = key_hash;
    details.bytes = 10;
    dispatcher.on_request(details, now);
  };
  dispatcher.on_link_up(0, 7, 1, 0);
  dispatcher.on_link_up(1, 7, 1, 0);
  std::printf("two go, a keyed one and a plain one wait\n");
  request(1, 0, 0);
  request(2, 0, 0);
  request(3, 1, 0);
  request(4, 0, 0);
  std::printf("a planner answers what the other was given\n");
  const bool accepted = dispatcher
                            .on_answer(dispatcher.attempts().find(1)->planner == 0 ? 1 : 0, 7, 1,
                                       AnswerKind::kSucceeded, 0, false, 0)
                            .has_value();
  std::printf("  believed: %s\n", accepted ? "yes" : "no");
  std::printf("both leave\n");
  dispatcher.on_planner_draining(0, 0.1);
  dispatcher.on_planner_draining(1, 0.1);
  request(5, 0, 0.1);
  std::printf("back, and full; a link is lost under a keyed one that waits\n");
  dispatcher.on_link_up(0, 8, 1, 0.2);
  dispatcher.on_link_up(1, 8, 1, 0.2);
  request(6, 0, 0.2);
  request(7, 0, 0.2);
  request(8, 1, 0.2);
  dispatcher.on_link_lost(0, {}, 0.3);
  dispatcher.on_link_lost(1, {}, 0.3);
  std::printf("a keyed one whose planner is no longer wanted goes to the other\n");
  dispatcher.on_timer(5);
  dispatcher.on_link_up(0, 8, 4, 6);
  dispatcher.on_link_up(1, 8, 4, 6);
  request(9, 1, 6);
  dispatcher.set_planners(
      {dispatcher.attempts().find(*dispatcher.attempts().current_attempt(9))->planner == 0 ? "p1" : "p0"}, 6);
  request(10, 1, 6);
  std::printf("room comes free twice a second: four ahead leave no time for one of a second\n");
  Dispatch slow(
      options, 1, {"p0"}, sink, [] { return 0.5; }, 0);
  slow.on_link_up(0, 9, 1, 0);
  for (RequestId id = 1; id <= 12; ++id) {
    ForwardedRequest details;
    details.id = 100 + id;
    details.remaining_time = 20;
    details.bytes = 10;
    slow.on_request(details, 0);
  }
  for (Attempt attempt = 1; attempt <= 8; ++attempt)
    slow.on_answer(0, 9, attempt, AnswerKind::kSucceeded, 0, false, 0.5 * static_cast<double>(attempt));
  ForwardedRequest late;
  late.id = 200;
  late.remaining_time = 1;
  late.bytes = 10;
  slow.on_request(late, 4.1);
  std::printf("the notice to leave, and one that comes in its grace\n");
  dispatcher.on_drain(2, 0.3, 7);
  request(11, 0, 7.1);
  dispatcher.on_timer(8.79);
  std::printf("just before the stop's margin: open %zu\n", dispatcher.open_requests());
  dispatcher.on_timer(8.81);
  std::printf("and behind it: open %zu\n", dispatcher.open_requests());
}

// Keyed requests while the list changes, told one by one.
void key_migration() {
  PrintingSink sink;
  DispatchOptions options;
  options.picker.slow_start_seconds = 0;
  options.key_ownership = {2, 10};
  Dispatch dispatcher(
      options, 1, {"p0", "p1"}, sink, [] { return 0.5; }, 0);
  dispatcher.on_link_up(0, 7, 1, 0);
  dispatcher.on_link_up(1, 7, 1, 0);
  KeyOwnership before({2, 10});
  before.set_planners({{0, "p0"}, {1, "p1"}}, 0);
  std::uint64_t unmoved_key = 0, moved_key = 0;  // keys of p0 and p1
  for (std::uint64_t key_hash = 1; unmoved_key == 0 || moved_key == 0; ++key_hash)
    (before.route(key_hash, 0).owner == 0 ? unmoved_key : moved_key) = key_hash;
  double now = 0;
  const auto request = [&](RequestId id, std::uint64_t key_hash, double remaining_time = 1) {
    ForwardedRequest details;
    details.id = id;
    details.remaining_time = remaining_time;
    details.idempotency_key_hash = key_hash;
    details.bytes = 10;
    dispatcher.on_request(details, now);
  };
  const auto answer = [&](int planner, Attempt attempt, AnswerKind kind) {
    const auto completed = dispatcher.on_answer(planner, 7, attempt, kind, 0.3, false, now);
    std::printf(
        "  answer to %d: %s\n", static_cast<int>(attempt),
        completed ? ("op " + std::to_string(*completed) + " is over").c_str() : "nothing is passed on");
  };
  std::printf("one runs at p1, one waits for it; then p1 is taken off the list\n");
  request(1, moved_key);
  request(2, moved_key);
  dispatcher.set_planners({"p0"}, now = 0.1);
  std::printf("whether p1 could be let go of with those open, whenever: %s\n",
              dispatcher.can_disconnect(1, 99) ? "yes" : "no");
  std::printf("p1 answers the first, and that it does not know the second: nothing new may run yet\n");
  answer(1, 1, AnswerKind::kSucceeded);
  answer(1, 2, AnswerKind::kKeyUnknown);
  std::printf("a key that stays, and plain ones, go to p0\n");
  request(3, unmoved_key);
  request(4, 0);
  answer(0, 3, AnswerKind::kSucceeded);
  answer(0, 4, AnswerKind::kSucceeded);
  std::printf("all have the list: asked first, and known\n");
  now = 3;
  request(5, moved_key);
  answer(1, 5, AnswerKind::kSucceeded);
  std::printf("asked first, not known, run at p0\n");
  request(6, moved_key);
  answer(1, 6, AnswerKind::kKeyUnknown);
  answer(0, 7, AnswerKind::kSucceeded);
  std::printf("a plain nack is no answer to the question\n");
  request(7, moved_key);
  answer(1, 8, AnswerKind::kRejected);
  std::printf("asked by a list that is no longer in force: asked anew\n");
  request(8, moved_key);
  dispatcher.set_planners({"p0", "p2"}, now = 3.1);
  answer(1, 9, AnswerKind::kKeyUnknown);
  answer(0, 10, AnswerKind::kKeyUnknown);
  answer(1, 11, AnswerKind::kKeyUnknown);
  std::printf("whether p1 can be let go of: %s, later: %s\n",
              dispatcher.can_disconnect(1, now) ? "yes" : "no",
              dispatcher.can_disconnect(1, 13) ? "yes" : "no");
  std::printf("who would have to be asked is not there: nobody may run it\n");
  now = 6;
  dispatcher.on_link_lost(1, {}, now);
  request(9, moved_key);
  answer(0, 12, AnswerKind::kKeyUnknown);
  std::printf(
      "nothing can be remembered any more; what is said to a question that was none counts for nothing\n");
  now = 30;
  dispatcher.on_link_up(2, 7, 1, now);
  request(10, moved_key);
  answer(2, 13, AnswerKind::kKeyUnknown);
  std::printf("open at the end: %zu\n", dispatcher.open_requests());
}

// A planner acks the numbers after the last that it has read, while the next four are on their way to it.
struct AttemptCollector : DispatchSink {
  void send(int, Attempt attempt, RequestId, double, bool) override { sent.push_back(attempt); }
  void cancel(int, Attempt) override {}
  void fence(int, Attempt) override {}
  void reply(RequestId, LocalReply, double, bool) override {}
  void schedule_wakeup(double) override {}
  std::vector<Attempt> sent;
};
void forged_answers() {
  for (const std::uint64_t max_step : {1, 1 << 24}) {
    AttemptCollector sink;
    DispatchOptions options;
    options.picker.slow_start_seconds = 0;
    options.max_attempt_step = max_step;
    pcg64 random(9);
    Dispatch dispatcher(
        options, 1, {"p0"}, sink, [&] { return std::ldexp(static_cast<double>(random() >> 11), -53); }, 0);
    dispatcher.on_link_up(0, 7, 8, 0);
    const auto answer = [&](Attempt attempt) {
      return dispatcher.on_answer(0, 7, attempt, AnswerKind::kSucceeded, 0, false, 0).has_value();
    };
    int accepted_forged = 0, accepted_valid = 0;
    Attempt read = 0;
    for (RequestId id = 1; id <= 4000; ++id) {
      ForwardedRequest request;
      request.id = id;
      request.remaining_time = 1;
      dispatcher.on_request(request, 0);
      if (id % 4 != 0) continue;
      for (Attempt guess = read + 1; guess <= read + 100; ++guess) accepted_forged += answer(guess);
      for (const Attempt attempt : sink.sent) accepted_valid += answer(read = attempt);
      sink.sent.clear();
    }
    std::printf("steps of at most %d: %s of 4000 false answers were believed, %s of the true ones\n",
                static_cast<int>(max_step), accepted_forged == 0 ? "none" : "some",
                accepted_valid == 4000 ? "all" : "not all");
  }
}

// Guards against requests that are rejected in the milliseconds between listening and the first planner's
// hello: they wait for it a quarter of a second, counted from the first of them; after that, and once a
// planner is lost, requests without a planner are rejected at once, as ever.
void startup() {
  DispatchOptions options;
  options.picker.slow_start_seconds = 0;
  options.startup_wait = 0.25;
  for (const bool connects : {true, false}) {
    PrintingSink sink;
    Dispatch dispatcher(
        options, 1, {"p0", "p1"}, sink, [] { return 0.5; }, 0);
    const auto request = [&](RequestId id, double remaining_time, double now, std::uint64_t key_hash = 0) {
      ForwardedRequest details;
      details.id = id;
      details.remaining_time = remaining_time;
      details.idempotency_key_hash = key_hash;
      details.bytes = 10;
      dispatcher.on_request(details, now);
    };
    std::printf("-- planners connect: %s\n", connects ? "yes" : "no");
    request(1, 1, 5);
    request(2, 1, 5, 77);
    request(3, 0.04, 5);
    std::printf("the third has no time left\n");
    dispatcher.on_timer(5.03);
    if (connects) {
      dispatcher.on_link_up(0, 100, 2, 5.1);
      dispatcher.on_link_up(1, 200, 2, 5.11);
    }
    std::printf("a quarter of a second is over\n");
    dispatcher.on_timer(5.26);
    std::printf("later\n");
    if (connects) {
      dispatcher.on_link_lost(0, {}, 6);
      dispatcher.on_link_lost(1, {}, 6);
    }
    request(4, 1, 6);
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"dispatch", dispatch},
                       {"waiting", waiting},
                       {"key_migration", key_migration},
                       {"forged_answers", forged_answers},
                       {"startup", startup}});
}
