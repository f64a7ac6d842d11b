// Which request runs first, and which queued request is preempted by another.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A request on this route with default values otherwise.
Request request_on_route(ScriptedBackend& server, RequestId id, int route) {
  Request request = server.request(id);
  request.route = route;
  return request;
}

// Two routes, the second with a higher priority weight. The first run of each takes the given time. Then
// `cheap` requests arrive on the first route, then `important` ones on the second.
void queue_two_routes(double priority_weight, double first_run_seconds, double second_run_seconds, int cheap,
                      int important) {
  AdmissionOptions settings = default_options();
  settings.routes = {settings.routes[0], settings.routes[0]};
  settings.routes[0].priority_weight = 1;
  settings.routes[1].priority_weight = priority_weight;
  ScriptedBackend server(settings);
  for (RequestId id = 1; id <= 2; ++id)
    server.send_request(request_on_route(server, id, static_cast<int>(id) - 1));
  server.advance_to(first_run_seconds);
  server.finish_run(1);
  server.advance_to(second_run_seconds);
  server.finish_run(2);
  for (RequestId id = 3; id < 3 + static_cast<RequestId>(cheap); ++id)
    server.send_request(request_on_route(server, id, 0));
  for (RequestId id = 100; id < 100 + static_cast<RequestId>(important); ++id)
    server.send_request(request_on_route(server, id, 1));
}

// If the queue is full, a request with a higher weight preempts the latest request with a lower weight. A
// request preempts none of the same or a higher weight.
void preempted_requests() { queue_two_routes(3, 0.1, 0.1, 16, 16); }
// A request does not preempt two requests that together have a higher weight, however long its own run
// takes.
void preemption_by_total_weight() { queue_two_routes(1.5, 0.05, 0.5, 12, 8); }

// A request that has run is not preempted, even if it is queued again and has the lowest weight, because it
// must not be rejected.
void started_runs_not_preempted() {
  AdmissionOptions settings = default_options();
  settings.routes = {settings.routes[0], settings.routes[0]};
  settings.routes[0].priority_weight = 1;
  settings.routes[1].priority_weight = 3;
  settings.routes[1].latency_objective = 0.6;
  ScriptedBackend server(settings);
  for (RequestId id = 1; id <= 2; ++id)
    server.send_request(request_on_route(server, id, static_cast<int>(id) - 1));
  server.advance_to(0.1);
  server.finish_run(2);
  server.advance_to(0.4);
  server.finish_run(1);
  for (RequestId id = 3; id <= 4; ++id) server.send_request(request_on_route(server, id, 0));
  for (RequestId id = 100; id <= 107; ++id) server.send_request(request_on_route(server, id, 1));
  server.finish_run(3, Outcome::kCancelled);
  for (RequestId id = 108; id <= 116; ++id) server.send_request(request_on_route(server, id, 1));
}

// Of the queued requests the important one starts first, although it arrived last.
void important_first() {
  ScriptedBackend server(default_options());
  for (const int route : {0, 1}) server.learn_run_time(route, 0.3);
  for (RequestId id = 1; id <= 5; ++id) server.send_request(server.request(id, id == 5 ? 1 : 0));
  server.advance_to(0.9);
  server.finish_run(1);
}

// A marked retry has spent a part of its latency objective, so a queue that is short enough for a first
// attempt is too long for it.
void marked_retry() {
  ScriptedBackend server(default_options());
  server.learn_run_time(1, 0.5);
  for (RequestId id = 1; id <= 4; ++id) server.send_request(server.request(id, 1));
  Request retry = server.request(5, 1);
  retry.is_retry = true;
  server.send_request(retry);
  server.send_request(server.request(6, 1));
  retry.id = 7;
  retry.remaining_timeout = 3.9;  // of the 4 s that its caller waits: hardly any time is spent
  server.send_request(retry);
}

// Under shortage a tenant over its quota is rejected first, and so is a caller that holds most of the queued
// bytes.
void shares() {
  AdmissionOptions settings = default_options();
  settings.tenants = {{0}, {10}};
  settings.routes[0].latency_objective = 20;
  settings.routes[0].timeout = 20;
  ScriptedBackend server(settings);
  server.learn_run_time(0, 0.5);  // uses one of the six requests that tenant 0 may send at once
  for (RequestId id = 1; id <= 9; ++id) {
    Request request = server.request(id);
    request.tenant = id == 9 ? 1 : 0;
    server.send_request(request);
  }
  for (RequestId id = 1; id <= 5; ++id) server.finish_run(id);
  server.finish_run(9);
  server.send_request(server.request(10));  // idle capacity is free for every tenant
  settings.tenants.clear();
  ScriptedBackend contended(settings);
  for (RequestId id = 1; id <= 8; ++id) {
    Request request = contended.request(id);
    request.caller = id == 4 || id == 8 ? 2 : 1;
    contended.set_quiet(id < 5);
    contended.send_request(request);
  }
}

constexpr Scenario kScenarios[] = {
    {"shares", shares},
    {"important_first", important_first},
    {"marked_retry", marked_retry},
    {"preempted_requests", preempted_requests},
    {"preemption_by_total_weight", preemption_by_total_weight},
    {"started_runs_not_preempted", started_runs_not_preempted},
};

}  // namespace

std::span<const Scenario> priority_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
