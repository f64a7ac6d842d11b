// A forwarder's dispatch without sockets; every action is printed: links, waiting requests, draining, keyed
// requests while the endpoint list changes, forged answers. CTest compares the output with
// tests/traces/tier_NAME.txt. usage: tier_dispatch_traces - NAME
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

// Prints the dispatch's actions.
struct PrintingSink : DispatchSink {
  void send(int planner, Attempt attempt, RequestId request, double remaining_time,
            bool is_lookup_only) override {
    std::printf("  %s request %d as attempt %d to p%d, %.2f s remaining\n",
                is_lookup_only ? "look up" : "send", static_cast<int>(request), static_cast<int>(attempt),
                planner, remaining_time);
  }
  void cancel(int planner, Attempt attempt) override {
    std::printf("  cancel attempt %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void fence(int planner, Attempt attempt) override {
    std::printf("  fence attempt %d at p%d\n", static_cast<int>(attempt), planner);
  }
  void reply(RequestId request, LocalReply kind, double retry_after, bool no_retry) override {
    std::printf("  request %d: %s", static_cast<int>(request),
                kind == LocalReply::kRejected ? "rejected" : "failed");
    if (kind == LocalReply::kRejected)
      std::printf(", retry after %.2f s%s", retry_after, no_retry ? ", no retry elsewhere" : "");
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
        "  answer to attempt %d: %s\n", static_cast<int>(attempt),
        completed ? ("request " + std::to_string(*completed) + " complete").c_str() : "not forwarded");
  };
  const auto run_until = [&](double time) {
    while (sink.next > now && sink.next <= time) {
      now = sink.next;
      sink.next = 0;
      dispatcher.on_timer(now);
    }
    now = time;
  };
  std::printf("no planner is connected\n");
  request(1, 1);
  std::printf("p0 connects with a window of two\n");
  dispatcher.on_link_up(0, 100, 2, now);
  request(2, 1);
  request(3, 1);
  request(4, 1);
  std::printf("the queue is full: a request of higher priority arrives, then one of equal priority\n");
  request(5, 1);
  request(6, 1, 3);
  request(7, 1);
  std::printf("p1 connects: the waiting requests are sent to it\n");
  dispatcher.on_link_up(1, 200, 2, now);
  std::printf("success from the wrong epoch, then from the right one\n");
  answer(0, 99, 1, AnswerKind::kSucceeded);
  answer(0, 100, 1, AnswerKind::kSucceeded);
  std::printf("rejected, and the other planner has no capacity\n");
  answer(0, 100, 2, AnswerKind::kRejected);
  std::printf("rejected, and the other planner has capacity\n");
  answer(1, 200, 3, AnswerKind::kRejected);
  std::printf("rejected by the other planner as well\n");
  answer(0, 100, 5, AnswerKind::kRejected);
  std::printf("rejected without permission to retry\n");
  answer(1, 200, 4, AnswerKind::kRejected, true);
  std::printf("an attempt that is unanswered after half of the remaining time is fenced\n");
  now = 10;
  dispatcher.on_timer(now);
  request(20, 2);
  run_until(11.2);
  answer(0, 100, 7, AnswerKind::kRunning);
  answer(1, 200, 7, AnswerKind::kRunning);
  run_until(12.5);
  std::printf("proven not to have run: retried at the other planner\n");
  now = 20;
  request(21, 2);
  run_until(21.2);
  answer(0, 100, 8, AnswerKind::kNeverRan);
  answer(1, 200, 8, AnswerKind::kNeverRan);
  std::printf("the retry budget is exhausted\n");
  run_until(30);
  request(22, 2);
  answer(0, 100, 10, AnswerKind::kRejected);
  answer(1, 200, 10, AnswerKind::kRejected);
  std::printf(
      "links are lost: unwritten attempts are retried if possible, the others wait for proof, then fail\n");
  request(23, 5);
  request(24, 5);
  dispatcher.on_link_lost(0, {11}, now);
  dispatcher.on_link_lost(1, {}, now);
  request(25, 5);
  run_until(30.9);
  std::printf("p1 reconnects with the same epoch, p0 with a new one\n");
  dispatcher.on_link_up(1, 200, 2, now);
  dispatcher.on_link_up(0, 101, 2, now);
  run_until(33);
  std::printf("links are lost and not reconnected in time\n");
  request(26, 5);
  dispatcher.on_link_lost(0, {}, now);
  dispatcher.on_link_lost(1, {}, now);
  run_until(36);
  std::printf("keyed requests go to their owner only\n");
  dispatcher.on_link_up(0, 101, 1, now);
  for (std::uint64_t key_hash = 1; key_hash <= 4; ++key_hash) request(30 + key_hash, 0.2, 1, key_hash);
  std::printf("callers disconnect; the forwarder drains; requests arrive after the grace period\n");
  dispatcher.on_caller_disconnected(31, now);
  dispatcher.on_caller_disconnected(32, now);
  dispatcher.on_caller_disconnected(33, now);
  dispatcher.on_caller_disconnected(34, now);
  request(40, 5);
  dispatcher.on_drain(2, 0.3, now);
  now += 0.4;
  request(41, 5);
  run_until(39);
  std::printf("open requests at the end: %zu\n", dispatcher.open_requests());
}

// Guards against requests that keep waiting for a planner that drains or disconnects: they are rejected
// immediately.
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
  std::printf("two requests are sent, one with a key and one without wait\n");
  request(1, 0, 0);
  request(2, 0, 0);
  request(3, 1, 0);
  request(4, 0, 0);
  std::printf("a planner answers an attempt of the other planner\n");
  const bool accepted = dispatcher
                            .on_answer(dispatcher.attempts().find(1)->planner == 0 ? 1 : 0, 7, 1,
                                       AnswerKind::kSucceeded, 0, false, 0)
                            .has_value();
  std::printf("  accepted: %s\n", accepted ? "yes" : "no");
  std::printf("both planners drain\n");
  dispatcher.on_planner_draining(0, 0.1);
  dispatcher.on_planner_draining(1, 0.1);
  request(5, 0, 0.1);
  std::printf("both reconnect and are full; both links are lost while a keyed request waits\n");
  dispatcher.on_link_up(0, 8, 1, 0.2);
  dispatcher.on_link_up(1, 8, 1, 0.2);
  request(6, 0, 0.2);
  request(7, 0, 0.2);
  request(8, 1, 0.2);
  dispatcher.on_link_lost(0, {}, 0.3);
  dispatcher.on_link_lost(1, {}, 0.3);
  std::printf("the owner of a key is removed from the list: the next keyed request goes to the new owner\n");
  dispatcher.on_timer(5);
  dispatcher.on_link_up(0, 8, 4, 6);
  dispatcher.on_link_up(1, 8, 4, 6);
  request(9, 1, 6);
  dispatcher.set_planners(
      {dispatcher.attempts().find(*dispatcher.attempts().current_attempt(9))->planner == 0 ? "p1" : "p0"}, 6);
  request(10, 1, 6);
  std::printf(
      "capacity is freed twice a second: a request with 1 s remaining can't finish behind four others\n");
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
  std::printf("the forwarder drains; a request arrives within the grace period\n");
  dispatcher.on_drain(2, 0.3, 7);
  request(11, 0, 7.1);
  dispatcher.on_timer(8.79);
  std::printf("just before the stop margin: open requests %zu\n", dispatcher.open_requests());
  dispatcher.on_timer(8.81);
  std::printf("within the stop margin: open requests %zu\n", dispatcher.open_requests());
}

// Keyed requests while the endpoint list changes.
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
        "  answer to attempt %d: %s\n", static_cast<int>(attempt),
        completed ? ("request " + std::to_string(*completed) + " complete").c_str() : "not forwarded");
  };
  std::printf("one request runs at p1, one waits for it; then p1 is removed from the list\n");
  request(1, moved_key);
  request(2, moved_key);
  dispatcher.set_planners({"p0"}, now = 0.1);
  std::printf("p1 may be disconnected with open attempts: %s\n",
              dispatcher.can_disconnect(1, 99) ? "yes" : "no");
  std::printf("p1 completes the first request and does not know the second: no moved key may run yet\n");
  answer(1, 1, AnswerKind::kSucceeded);
  answer(1, 2, AnswerKind::kKeyUnknown);
  std::printf("a key that has not moved, and a request without a key, go to p0\n");
  request(3, unmoved_key);
  request(4, 0);
  answer(0, 3, AnswerKind::kSucceeded);
  answer(0, 4, AnswerKind::kSucceeded);
  std::printf("all forwarders have the list: the former owner is asked and knows the key\n");
  now = 3;
  request(5, moved_key);
  answer(1, 5, AnswerKind::kSucceeded);
  std::printf("the former owner does not know the key: the request runs at p0\n");
  request(6, moved_key);
  answer(1, 6, AnswerKind::kKeyUnknown);
  answer(0, 7, AnswerKind::kSucceeded);
  std::printf("a rejected lookup does not show whether the key is known\n");
  request(7, moved_key);
  answer(1, 8, AnswerKind::kRejected);
  std::printf("a lookup according to a superseded list is repeated according to the current one\n");
  request(8, moved_key);
  dispatcher.set_planners({"p0", "p2"}, now = 3.1);
  answer(1, 9, AnswerKind::kKeyUnknown);
  answer(0, 10, AnswerKind::kKeyUnknown);
  answer(1, 11, AnswerKind::kKeyUnknown);
  std::printf("p1 may be disconnected: %s, later: %s\n", dispatcher.can_disconnect(1, now) ? "yes" : "no",
              dispatcher.can_disconnect(1, 13) ? "yes" : "no");
  std::printf("a former owner is not connected: no planner may run the request\n");
  now = 6;
  dispatcher.on_link_lost(1, {}, now);
  request(9, moved_key);
  answer(0, 12, AnswerKind::kKeyUnknown);
  std::printf(
      "the retention has expired; an unexpected answer to a lookup that was not sent is treated as a "
      "rejection\n");
  now = 30;
  dispatcher.on_link_up(2, 7, 1, now);
  request(10, moved_key);
  answer(2, 13, AnswerKind::kKeyUnknown);
  std::printf("open requests at the end: %zu\n", dispatcher.open_requests());
}

struct AttemptCollector : DispatchSink {
  void send(int, Attempt attempt, RequestId, double, bool) override { sent.push_back(attempt); }
  void cancel(int, Attempt) override {}
  void fence(int, Attempt) override {}
  void reply(RequestId, LocalReply, double, bool) override {}
  void schedule_wakeup(double) override {}
  std::vector<Attempt> sent;
};
// Guards against a faulty planner that answers attempts it has not received: while four attempts are in
// flight, it guesses the next 100 attempt numbers.
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
    std::printf("steps of at most %d: %s of 4000 forged answers were accepted, %s of the valid ones\n",
                static_cast<int>(max_step), accepted_forged == 0 ? "none" : "some",
                accepted_valid == 4000 ? "all" : "not all");
  }
}

// Guards against requests that are rejected in the milliseconds between listening and the first planner's
// hello: they wait up to a quarter of a second, counted from the first request; after that, and after a
// planner is lost, requests without a planner are rejected immediately.
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
    std::printf("the third request has no time left\n");
    dispatcher.on_timer(5.03);
    if (connects) {
      dispatcher.on_link_up(0, 100, 2, 5.1);
      dispatcher.on_link_up(1, 200, 2, 5.11);
    }
    std::printf("the startup wait is over\n");
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
