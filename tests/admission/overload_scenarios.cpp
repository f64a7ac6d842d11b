// Start, shutdown, overload and health: the signals to callers, and what the controller learns.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// Graceful shutdown: the server is unhealthy at once, requests that arrive after the grace period never run,
// and every request is answered before the stop.
void graceful_shutdown() {
  ScriptedBackend server(default_options());
  server.send_request(server.request(1));
  server.begin_drain(3);
  server.advance_to(0.9);
  server.send_request(server.request(2));
  server.advance_to(1.5);
  Request in_time = server.request(3);
  in_time.age = 0.6;  // read late, but it arrived within the grace period
  server.send_request(in_time);
  server.send_request(server.request(4));
  server.advance_to(3);
  server.print_pool();
}

// During slow start the survivable concurrency follows from the lower bound of the speed, so fewer requests
// start than there are cores.
void slow_start_limits() {
  AdmissionOptions settings = default_options();
  settings.cores = 6;
  settings.slow_start = true;
  settings.slow_start_speed = 0.0;
  settings.slow_start_time = 10;
  settings.load_feedback = LoadFeedback::kLevel;  // callers are asked for little load until cores idle
  ScriptedBackend server(settings);
  server.gauges.cpu_busy = 0.5;
  for (RequestId id = 1; id <= 7; ++id) server.send_request(server.request(id));
  server.advance_to(0.35);
}

// A burst after an idle time: the gauge still shows idle cores, but the run limit grows only once requests
// have been queued for the gauge's whole window.
void burst() {
  AdmissionOptions settings = default_options();
  settings.memory_kb = 100000;
  ScriptedBackend server(settings);
  server.gauges.cpu_busy = 0.4;
  server.advance_to(1);
  for (RequestId id = 1; id <= 8; ++id) server.send_request(server.request(id));
  server.advance_to(1.45);
  server.print("(soon the gauge window covers only time with queued work)");
  server.advance_to(2);
}

// Runs that do not end: the server becomes unhealthy and rejects new requests. After a run has ended, probe
// requests make it healthy again.
void stalled() {
  ScriptedBackend server(default_options());
  server.learn_run_time(0, 0.2);
  server.send_request(server.request(1));
  server.send_request(server.request(2));
  server.advance_to(2.0);
  server.send_request(server.request(3));
  server.advance_to(2.4);
  server.finish_run(1);
  server.finish_run(2);
  const RequestId id = 10;
  server.advance_to(2.6);
  server.send_request(server.request(id));
  server.advance_to(2.6 + 0.2);
  server.finish_run(id);
}

// Requests are stale when they are read, so none can finish in time: the server is unhealthy until cores
// idle.
void stale_requests() {
  ScriptedBackend server(default_options());
  server.gauges.cpu_busy = 1;
  RequestId id = 1;
  for (int i = 0; i < 12; ++i) {
    Request request = server.request(id++);
    request.age = 3;
    request.remaining_timeout = 0.02;
    server.set_quiet(i > 0 && i < 11);
    server.send_request(request);
  }
  server.set_quiet(false);
  server.advance_to(2);
  server.gauges.cpu_busy = 0.1;
  server.advance_to(2.2);
}

// Most runs fail: the server is unhealthy until several probe requests in a row succeed.
void failing() {
  ScriptedBackend server(default_options());
  RequestId id = 1;
  for (int i = 0; i < 9; ++i) {
    server.advance_to(0.1 * i);
    server.set_quiet(i < 8);
    server.send_request(server.request(id));
    server.finish_run(id++, Outcome::kError);
  }
  server.advance_to(1.6);
  server.send_request(server.request(id++));
  server.send_request(server.request(id));  // one probe at a time
  for (int i = 0; i < 6; ++i) {
    server.finish_run(id - 1);
    server.advance_to(1.7 + 0.1 * i);
    id += 2;
    server.send_request(server.request(id - 1));
  }
}

// If an unhealthy server gets no requests at all, none can show its recovery. So after a time without
// requests it is published as healthy for a while.
void health_without_traffic() {
  ScriptedBackend server(default_options());
  server.set_quiet(true);
  for (RequestId id = 1; id <= 9; ++id) {
    server.advance_to(0.1 * static_cast<double>(id));
    server.send_request(server.request(id));
    server.finish_run(id, Outcome::kError);
  }
  server.advance_to(4);
  server.print("(a probe request)");
  server.send_request(server.request(10));
  server.advance_to(5);
}

// Tenants whose shares of the requests equal their shares of the quotas are within their quotas, although
// each sends more to this server than its even part.
void uneven_tenants() {
  AdmissionOptions settings = default_options();
  settings.tenants = {{20}, {20}};
  settings.servers = 20;
  ScriptedBackend server(settings);
  server.learn_run_time(0, 0.01);
  for (RequestId id = 1; id <= 17; ++id) {
    Request request = server.request(id);
    request.tenant = static_cast<int>(id % 2);
    server.send_request(request);
  }
}

// Most requests are rejected: callers get a longer Retry-After and no retry elsewhere, but a shorter
// Retry-After while cores idle nevertheless.
void retry_storm() {
  ScriptedBackend server(default_options());
  server.learn_run_time(0, 1.0);
  server.gauges.cpu_busy = 1;
  for (RequestId id = 1; id <= 28; ++id) {
    server.set_quiet(id > 4 && id < 28);
    server.send_request(server.request(id));
  }
  server.gauges.cpu_busy = 0.5;
  server.advance_to(2.0);
  for (RequestId id = 29; id <= 31; ++id) server.send_request(server.request(id));
}

// One of 300 servers: callers may retry elsewhere until requests arrive whose timeouts show that they are
// retries from other servers.
void large_fleet_retry_storm() {
  AdmissionOptions settings = default_options();
  settings.servers = 300;
  ScriptedBackend server(settings);
  server.learn_run_time(0, 1.0);
  for (RequestId id = 1; id <= 18; ++id) {
    Request request = server.request(id);
    request.remaining_timeout = id <= 12 || id > 14 ? 2.4 : 3.1 + 0.01 * static_cast<double>(id * id);
    server.send_request(request);
  }
}

// The value of the load feedback under overload depends on the form of the feedback.
void load_feedback() {
  AdmissionOptions settings = default_options();
  for (const LoadFeedback say :
       {LoadFeedback::kLevel, LoadFeedback::kWeight, LoadFeedback::kCredit, LoadFeedback::kOff}) {
    settings.load_feedback = say;
    ScriptedBackend server(settings);
    server.learn_run_time(0, 1.0);
    for (RequestId id = 1; id <= 4; ++id) {
      server.set_quiet(id < 4);
      server.send_request(server.request(id));
    }
    server.advance_to(1.6);
  }
}

// A prior from an earlier incarnation: its run times are used from the first request on. A few runs with
// different times replace it, but not during slow start.
void prior() {
  const AdmissionOptions settings = default_options();
  ScriptedBackend first(settings);
  for (int i = 0; i < 6; ++i) first.learn_run_time(0, 0.4);
  LearnedStatistics known = first.learned();
  const auto scaled = [&](double values) {
    LearnedStatistics weak = known;
    double count = 0;
    for (const double bin : weak.routes[0].run.bins) count += bin;
    for (double& bin : weak.routes[0].run.bins) bin *= values / count;
    weak.routes[0].run.sum *= values / count;
    return weak;
  };
  for (const bool has_prior : {false, true}) {
    ScriptedBackend next(settings, has_prior ? scaled(4) : LearnedStatistics{});
    next.print("-- %s learned statistics, 14 requests at once", has_prior ? "with" : "without");
    for (RequestId id = 1; id <= 14; ++id) next.send_request(next.request(id));
  }
  ScriptedBackend same(settings, scaled(4)), slower(settings, scaled(4));
  for (int i = 0; i < 4; ++i) same.learn_run_time(0, 0.5);
  for (int i = 0; i < 4; ++i) slower.learn_run_time(0, 1.6);
  AdmissionOptions cold_settings = settings;
  cold_settings.slow_start = true;
  cold_settings.slow_start_speed = 0.2;
  cold_settings.slow_start_time = 100;
  ScriptedBackend cold(cold_settings, scaled(4));
  for (int i = 0; i < 4; ++i) cold.learn_run_time(0, 1.6);
  std::printf("under pressure: warm %d, in slow start %d\n", same.learned().under_pressure,
              cold.learned().under_pressure);
}

constexpr Scenario kScenarios[] = {
    {"graceful_shutdown", graceful_shutdown},
    {"slow_start_limits", slow_start_limits},
    {"burst", burst},
    {"stalled", stalled},
    {"stale_requests", stale_requests},
    {"failing", failing},
    {"load_feedback", load_feedback},
    {"health_without_traffic", health_without_traffic},
    {"retry_storm", retry_storm},
    {"uneven_tenants", uneven_tenants},
    {"large_fleet_retry_storm", large_fleet_retry_storm},
    {"prior", prior},
};

}  // namespace

std::span<const Scenario> overload_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
