// Which request goes first, and which loses its place to another.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A request of the route, all else plain.
Request of_route(Backend& server, RequestId id, int route) {
  Request request = server.request(id);
  request.route = route;
  return request;
}

// Two routes, the second worth more, of which one run each was seen to take so long; then `cheap` requests of
// the first, then `dear` ones of the second.
void line_of_two(double priority_weight, double first_takes, double second_takes, int cheap, int dear) {
  AdmissionOptions settings = plain_settings();
  settings.routes = {settings.routes[0], settings.routes[0]};
  settings.routes[0].priority_weight = 1;
  settings.routes[1].priority_weight = priority_weight;
  Backend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.arrives(of_route(server, id, static_cast<int>(id) - 1));
  server.until(first_takes);
  server.ends(1);
  server.until(second_takes);
  server.ends(2);
  for (RequestId id = 3; id < 3 + static_cast<RequestId>(cheap); ++id)
    server.arrives(of_route(server, id, 0));
  for (RequestId id = 100; id < 100 + static_cast<RequestId>(dear); ++id)
    server.arrives(of_route(server, id, 1));
}

// Where the line is full, a request that is worth more takes the place of the cheap one that came last; cheap
// ones displace nobody, nor does anything its like.
void displaced() { line_of_two(3, 0.1, 0.1, 16, 16); }
// It takes no place of two that are worth more together, however long its own run.
void displaced_few() { line_of_two(1.5, 0.05, 0.5, 12, 8); }

// What has run is not displaced, though it waits again and is worth least: it may not be rejected.
void displaced_run() {
  AdmissionOptions settings = plain_settings();
  settings.routes = {settings.routes[0], settings.routes[0]};
  settings.routes[0].priority_weight = 1;
  settings.routes[1].priority_weight = 3;
  settings.routes[1].latency_objective = 0.6;
  Backend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.arrives(of_route(server, id, static_cast<int>(id) - 1));
  server.until(0.1);
  server.ends(2);
  server.until(0.4);
  server.ends(1);
  for (RequestId id = 3; id <= 4; ++id) server.arrives(of_route(server, id, 0));
  for (RequestId id = 100; id <= 107; ++id) server.arrives(of_route(server, id, 1));
  server.ends(3, Outcome::kCancelled);
  for (RequestId id = 108; id <= 116; ++id) server.arrives(of_route(server, id, 1));
}

// Of the held requests the important one starts first, though it came last.
void important_first() {
  Backend server(plain_settings());
  for (const int route : {0, 1}) server.learn(route, 0.3);
  for (RequestId id = 1; id <= 5; ++id) server.arrives(server.request(id, id == 5 ? 1 : 0));
  server.until(0.9);
  server.ends(1);
}

// A marked further try has spent part of its target: the same line is too long for it.
void further_try() {
  Backend server(plain_settings());
  server.learn(1, 0.5);
  for (RequestId id = 1; id <= 4; ++id) server.arrives(server.request(id, 1));
  Request again = server.request(5, 1);
  again.is_retry = true;
  server.arrives(again);
  server.arrives(server.request(6, 1));
  again.id = 7;
  again.remaining_timeout = 3.9;  // of 4 s of its client's patience: next to nothing is spent
  server.arrives(again);
}

// Under shortage a tenant over its quota, or one caller that holds most of the bytes, loses room first.
void shares() {
  AdmissionOptions settings = plain_settings();
  settings.tenants = {{0}, {10}};
  settings.routes[0].latency_objective = 20;
  settings.routes[0].timeout = 20;
  Backend server(settings);
  server.learn(0, 0.5);  // takes one of the six that tenant 0 may send at once
  for (RequestId id = 1; id <= 9; ++id) {
    Request request = server.request(id);
    request.tenant = id == 9 ? 1 : 0;
    server.arrives(request);
  }
  for (RequestId id = 1; id <= 5; ++id) server.ends(id);
  server.ends(9);
  server.arrives(server.request(10));  // idle room is free for anyone
  settings.tenants.clear();
  Backend crowded(settings);
  for (RequestId id = 1; id <= 8; ++id) {
    Request request = crowded.request(id);
    request.caller = id == 4 || id == 8 ? 2 : 1;
    crowded.quiet(id < 5);
    crowded.arrives(request);
  }
}

constexpr Scenario kScenarios[] = {
    {"shares", shares},       {"important_first", important_first}, {"further_try", further_try},
    {"displaced", displaced}, {"displaced_few", displaced_few},     {"displaced_run", displaced_run},
};

}  // namespace

std::span<const Scenario> priority_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
