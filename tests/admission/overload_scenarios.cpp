// Start, shutdown, overload and health: what callers are told and what is learned.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// Leaving: bad health at once, late newcomers never run, everything is answered before the stop.
void leaving() {
  Backend server(plain_settings());
  server.arrives(server.request(1));
  server.leave(3);
  server.until(0.9);
  server.arrives(server.request(2));
  server.until(1.5);
  Request in_time = server.request(3);
  in_time.age = 0.6;  // read late, but it arrived within the grace
  server.arrives(in_time);
  server.arrives(server.request(4));
  server.until(3);
  server.pool();
}

// Cold: the survivable crowd is counted from the speed floor, so fewer start than there are cores.
void cold() {
  AdmissionOptions settings = plain_settings();
  settings.cores = 6;
  settings.slow_start = true;
  settings.slow_start_speed = 0.0;
  settings.slow_start_time = 10;
  settings.load_feedback = LoadFeedback::kLevel;  // and callers are asked for little until cores idle
  Backend server(settings);
  server.gauges.cpu_busy = 0.5;
  for (RequestId id = 1; id <= 7; ++id) server.arrives(server.request(id));
  server.until(0.35);
}

// A burst after a lull: the gauge still tells of idle cores, but only work that has waited for the gauge's
// span makes the run limit grow.
void burst() {
  AdmissionOptions settings = plain_settings();
  settings.memory_kb = 100000;
  Backend server(settings);
  server.gauges.cpu_busy = 0.4;
  server.until(1);
  for (RequestId id = 1; id <= 8; ++id) server.arrives(server.request(id));
  server.until(1.45);
  server.say("(the gauge has seen nothing but waiting work)");
  server.until(2);
}

// Runs that do not end: health bad, newcomers rejected; when one ends, probes bring it back.
void stalled() {
  Backend server(plain_settings());
  server.learn(0, 0.2);
  server.arrives(server.request(1));
  server.arrives(server.request(2));
  server.until(2.0);
  server.arrives(server.request(3));
  server.until(2.4);
  server.ends(1);
  server.ends(2);
  const RequestId id = 10;
  server.until(2.6);
  server.arrives(server.request(id));
  server.until(2.6 + 0.2);
  server.ends(id);
}

// Requests that are stale when they are read: nothing here can be in time, so callers are sent away until
// cores idle.
void drowning() {
  Backend server(plain_settings());
  server.gauges.cpu_busy = 1;
  RequestId id = 1;
  for (int i = 0; i < 12; ++i) {
    Request request = server.request(id++);
    request.age = 3;
    request.remaining_timeout = 0.02;
    server.quiet(i > 0 && i < 11);
    server.arrives(request);
  }
  server.quiet(false);
  server.until(2);
  server.gauges.cpu_busy = 0.1;
  server.until(2.2);
}

// Runs that mostly fail: the same answer, and good probes in a row end it.
void failing() {
  Backend server(plain_settings());
  RequestId id = 1;
  for (int i = 0; i < 9; ++i) {
    server.until(0.1 * i);
    server.quiet(i < 8);
    server.arrives(server.request(id));
    server.ends(id++, Outcome::kError);
  }
  server.until(1.6);
  server.arrives(server.request(id++));
  server.arrives(server.request(id));  // one probe at a time
  for (int i = 0; i < 6; ++i) {
    server.ends(id - 1);
    server.until(1.7 + 0.1 * i);
    id += 2;
    server.arrives(server.request(id - 1));
  }
}

// Bad health that sends all callers away also ends the probes: after a silence it is good again for a while.
void silence() {
  Backend server(plain_settings());
  server.quiet(true);
  for (RequestId id = 1; id <= 9; ++id) {
    server.until(0.1 * static_cast<double>(id));
    server.arrives(server.request(id));
    server.ends(id, Outcome::kError);
  }
  server.until(4);
  server.say("(a probe)");
  server.arrives(server.request(10));
  server.until(5);
}

// Tenants that keep to their parts of what comes are within their shares, though each sends more than an
// even part.
void skewed() {
  AdmissionOptions settings = plain_settings();
  settings.tenants = {{20}, {20}};
  settings.servers = 20;
  Backend server(settings);
  server.learn(0, 0.01);
  for (RequestId id = 1; id <= 17; ++id) {
    Request request = server.request(id);
    request.tenant = static_cast<int>(id % 2);
    server.arrives(request);
  }
}

// Most newcomers rejected: callers are asked to stay away longer and not to try elsewhere, but for less long
// while cores idle all the same.
void storm() {
  Backend server(plain_settings());
  server.learn(0, 1.0);
  server.gauges.cpu_busy = 1;
  for (RequestId id = 1; id <= 28; ++id) {
    server.quiet(id > 4 && id < 28);
    server.arrives(server.request(id));
  }
  server.gauges.cpu_busy = 0.5;
  server.until(2.0);
  for (RequestId id = 29; id <= 31; ++id) server.arrives(server.request(id));
}

// One of 300: rejections leave callers free to try elsewhere until requests come that have been, by the wait
// that they tell.
void elsewhere() {
  AdmissionOptions settings = plain_settings();
  settings.servers = 300;
  Backend server(settings);
  server.learn(0, 1.0);
  for (RequestId id = 1; id <= 18; ++id) {
    Request request = server.request(id);
    request.remaining_timeout = id <= 12 || id > 14 ? 2.4 : 3.1 + 0.01 * static_cast<double>(id * id);
    server.arrives(request);
  }
}

// What is announced under pressure means something else for each kind of free value.
void publish_load_feedback() {
  AdmissionOptions settings = plain_settings();
  for (const LoadFeedback say :
       {LoadFeedback::kLevel, LoadFeedback::kWeight, LoadFeedback::kCredit, LoadFeedback::kOff}) {
    settings.load_feedback = say;
    Backend server(settings);
    server.learn(0, 1.0);
    for (RequestId id = 1; id <= 4; ++id) {
      server.quiet(id < 4);
      server.arrives(server.request(id));
    }
    server.until(1.6);
  }
}

// What an earlier life learned: its times are used from the first request on; a few runs that take other
// times outweigh it, and while the backend is cold nothing speaks against it.
void prior() {
  const AdmissionOptions settings = plain_settings();
  Backend first(settings);
  for (int i = 0; i < 6; ++i) first.learn(0, 0.4);
  LearnedStatistics known = first.learned();
  const auto scaled = [&](double values) {
    LearnedStatistics weak = known;
    double count = 0;
    for (const double bin : weak.routes[0].run.bins) count += bin;
    for (double& bin : weak.routes[0].run.bins) bin *= values / count;
    weak.routes[0].run.sum *= values / count;
    return weak;
  };
  for (const bool with : {false, true}) {
    Backend next(settings, with ? scaled(4) : LearnedStatistics{});
    next.say("-- %s, and 14 ops at once", with ? "with what was learned" : "without");
    for (RequestId id = 1; id <= 14; ++id) next.arrives(next.request(id));
  }
  Backend same(settings, scaled(4)), slower(settings, scaled(4));
  for (int i = 0; i < 4; ++i) same.learn(0, 0.5);
  for (int i = 0; i < 4; ++i) slower.learn(0, 1.6);
  AdmissionOptions cold_settings = settings;
  cold_settings.slow_start = true;
  cold_settings.slow_start_speed = 0.2;
  cold_settings.slow_start_time = 100;
  Backend cold(cold_settings, scaled(4));
  for (int i = 0; i < 4; ++i) cold.learn(0, 1.6);
  std::printf("troubled: warm %d, cold %d\n", same.learned().under_pressure, cold.learned().under_pressure);
}

constexpr Scenario kScenarios[] = {
    {"leaving", leaving},
    {"cold", cold},
    {"burst", burst},
    {"stalled", stalled},
    {"drowning", drowning},
    {"failing", failing},
    {"announce", publish_load_feedback},
    {"silence", silence},
    {"storm", storm},
    {"skewed", skewed},
    {"elsewhere", elsewhere},
    {"prior", prior},
};

}  // namespace

std::span<const Scenario> overload_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
