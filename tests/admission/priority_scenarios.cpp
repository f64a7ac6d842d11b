// Which request goes first, and which loses its place to another.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

Request of_type(Backend& b, RequestId id, int type) {
  Request request = b.request(id);
  request.route = type;
  return request;
}

// Two routes, the second worth more, of which one run each was seen to take so long; then `cheap` requests of
// the first, then `dear` ones of the second.
void line_of_two(double priority_weight, double first_takes, double second_takes, int cheap, int dear) {
  AdmissionOptions s = plain_settings();
  s.routes = {s.routes[0], s.routes[0]};
  s.routes[0].priority_weight = 1;
  s.routes[1].priority_weight = priority_weight;
  Backend b(s);
  for (RequestId id = 1; id <= 2; ++id) b.arrives(of_type(b, id, static_cast<int>(id) - 1));
  b.until(first_takes);
  b.ends(1);
  b.until(second_takes);
  b.ends(2);
  for (RequestId id = 3; id < 3 + static_cast<RequestId>(cheap); ++id) b.arrives(of_type(b, id, 0));
  for (RequestId id = 100; id < 100 + static_cast<RequestId>(dear); ++id) b.arrives(of_type(b, id, 1));
}

// Where the line is full, a request that is worth more takes the place of the cheap one that came last; cheap
// ones displace nobody, nor does anything its like.
void displaced() { line_of_two(3, 0.1, 0.1, 16, 16); }
// It takes no place of two that are worth more together, however long its own run.
void displaced_few() { line_of_two(1.5, 0.05, 0.5, 12, 8); }

// What has run is not displaced, though it waits again and is worth least: it may not be rejected.
void displaced_run() {
  AdmissionOptions s = plain_settings();
  s.routes = {s.routes[0], s.routes[0]};
  s.routes[0].priority_weight = 1;
  s.routes[1].priority_weight = 3;
  s.routes[1].latency_objective = 0.6;
  Backend b(s);
  for (RequestId id = 1; id <= 2; ++id) b.arrives(of_type(b, id, static_cast<int>(id) - 1));
  b.until(0.1);
  b.ends(2);
  b.until(0.4);
  b.ends(1);
  for (RequestId id = 3; id <= 4; ++id) b.arrives(of_type(b, id, 0));
  for (RequestId id = 100; id <= 107; ++id) b.arrives(of_type(b, id, 1));
  b.ends(3, Outcome::kCancelled);
  for (RequestId id = 108; id <= 116; ++id) b.arrives(of_type(b, id, 1));
}

// Of the held requests the important one starts first, though it came last.
void important_first() {
  Backend b(plain_settings());
  for (const int type : {0, 1}) b.learn(type, 0.3);
  for (RequestId id = 1; id <= 5; ++id) b.arrives(b.request(id, id == 5 ? 1 : 0));
  b.until(0.9);
  b.ends(1);
}

// A marked further try has spent part of its target: the same line is too long for it.
void further_try() {
  Backend b(plain_settings());
  b.learn(1, 0.5);
  for (RequestId id = 1; id <= 4; ++id) b.arrives(b.request(id, 1));
  Request again = b.request(5, 1);
  again.is_retry = true;
  b.arrives(again);
  b.arrives(b.request(6, 1));
  again.id = 7;
  again.remaining_timeout = 3.9;  // of 4 s of its client's patience: next to nothing is spent
  b.arrives(again);
}

// Under shortage a tenant over its quota, or one caller that holds most of the bytes, loses room first.
void shares() {
  AdmissionOptions s = plain_settings();
  s.tenants = {{0}, {10}};
  s.routes[0].latency_objective = s.routes[0].timeout = 20;
  Backend b(s);
  b.learn(0, 0.5);  // takes one of the six that tenant 0 may send at once
  for (RequestId id = 1; id <= 9; ++id) {
    Request request = b.request(id);
    request.tenant = id == 9 ? 1 : 0;
    b.arrives(request);
  }
  for (RequestId id = 1; id <= 5; ++id) b.ends(id);
  b.ends(9);
  b.arrives(b.request(10));  // idle room is free for anyone
  s.tenants.clear();
  Backend c(s);
  for (RequestId id = 1; id <= 8; ++id) {
    Request request = c.request(id);
    request.caller = id == 4 || id == 8 ? 2 : 1;
    c.quiet(id < 5);
    c.arrives(request);
  }
}

constexpr Scenario kScenarios[] = {
    {"shares", shares},       {"important_first", important_first}, {"further_try", further_try},
    {"displaced", displaced}, {"displaced_few", displaced_few},     {"displaced_run", displaced_run},
};

}  // namespace

std::span<const Scenario> priority_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
