// Start, shutdown, overload and health: what callers are told and what is learned.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// Leaving: bad health at once, late newcomers never run, everything is answered before the stop.
void leaving() {
  Backend b(plain_settings());
  b.arrives(b.request(1));
  b.leave(3);
  b.until(0.9);
  b.arrives(b.request(2));
  b.until(1.5);
  Request in_time = b.request(3);
  in_time.age = 0.6;  // read late, but it arrived within the grace
  b.arrives(in_time);
  b.arrives(b.request(4));
  b.until(3);
  b.pool();
}

// Cold: the survivable crowd is counted from the speed floor, so fewer start than there are cores.
void cold() {
  AdmissionOptions s = plain_settings();
  s.cores = 6;
  s.slow_start = true;
  s.slow_start_speed = 0.0;
  s.slow_start_time = 10;
  s.load_feedback = LoadFeedback::kLevel;  // and callers are asked for little until cores idle
  Backend b(s);
  b.gauges.cpu_busy = 0.5;
  for (RequestId id = 1; id <= 7; ++id) b.arrives(b.request(id));
  b.until(0.35);
}

// A burst after a lull: the gauge still tells of idle cores, but only work that has waited for the gauge's
// span makes the run limit grow.
void burst() {
  AdmissionOptions s = plain_settings();
  s.memory_kb = 100000;
  Backend b(s);
  b.gauges.cpu_busy = 0.4;
  b.until(1);
  for (RequestId id = 1; id <= 8; ++id) b.arrives(b.request(id));
  b.until(1.45);
  b.say("(the gauge has seen nothing but waiting work)");
  b.until(2);
}

// Runs that do not end: health bad, newcomers rejected; when one ends, probes bring it back.
void stalled() {
  Backend b(plain_settings());
  b.learn(0, 0.2);
  b.arrives(b.request(1));
  b.arrives(b.request(2));
  b.until(2.0);
  b.arrives(b.request(3));
  b.until(2.4);
  b.ends(1);
  b.ends(2);
  const RequestId id = 10;
  b.until(2.6);
  b.arrives(b.request(id));
  b.until(2.6 + 0.2);
  b.ends(id);
}

// Requests that are stale when they are read: nothing here can be in time, so callers are sent away until
// cores idle.
void drowning() {
  Backend b(plain_settings());
  b.gauges.cpu_busy = 1;
  RequestId id = 1;
  for (int i = 0; i < 12; ++i) {
    Request request = b.request(id++);
    request.age = 3;
    request.remaining_timeout = 0.02;
    b.quiet(i > 0 && i < 11);
    b.arrives(request);
  }
  b.quiet(false);
  b.until(2);
  b.gauges.cpu_busy = 0.1;
  b.until(2.2);
}

// Runs that mostly fail: the same answer, and good probes in a row end it.
void failing() {
  Backend b(plain_settings());
  RequestId id = 1;
  for (int i = 0; i < 9; ++i) {
    b.until(0.1 * i);
    b.quiet(i < 8);
    b.arrives(b.request(id));
    b.ends(id++, Outcome::kError);
  }
  b.until(1.6);
  b.arrives(b.request(id++));
  b.arrives(b.request(id));  // one probe at a time
  for (int i = 0; i < 6; ++i) {
    b.ends(id - 1);
    b.until(1.7 + 0.1 * i);
    id += 2;
    b.arrives(b.request(id - 1));
  }
}

// Bad health that sends all callers away also ends the probes: after a silence it is good again for a while.
void silence() {
  Backend b(plain_settings());
  b.quiet(true);
  for (RequestId id = 1; id <= 9; ++id) {
    b.until(0.1 * static_cast<double>(id));
    b.arrives(b.request(id));
    b.ends(id, Outcome::kError);
  }
  b.until(4);
  b.say("(a probe)");
  b.arrives(b.request(10));
  b.until(5);
}

// Tenants that keep to their parts of what comes are within their shares, though each sends more than an
// even part.
void skewed() {
  AdmissionOptions s = plain_settings();
  s.tenants = {{20}, {20}};
  s.servers = 20;
  Backend b(s);
  b.learn(0, 0.01);
  for (RequestId id = 1; id <= 17; ++id) {
    Request request = b.request(id);
    request.tenant = static_cast<int>(id % 2);
    b.arrives(request);
  }
}

// Most newcomers rejected: callers are asked to stay away longer and not to try elsewhere, but for less long
// while cores idle all the same.
void storm() {
  Backend b(plain_settings());
  b.learn(0, 1.0);
  b.gauges.cpu_busy = 1;
  for (RequestId id = 1; id <= 28; ++id) {
    b.quiet(id > 4 && id < 28);
    b.arrives(b.request(id));
  }
  b.gauges.cpu_busy = 0.5;
  b.until(2.0);
  for (RequestId id = 29; id <= 31; ++id) b.arrives(b.request(id));
}

// One of 300: rejections leave callers free to try elsewhere until requests come that have been, by the wait
// that they tell.
void elsewhere() {
  AdmissionOptions s = plain_settings();
  s.servers = 300;
  Backend b(s);
  b.learn(0, 1.0);
  for (RequestId id = 1; id <= 18; ++id) {
    Request request = b.request(id);
    request.remaining_timeout = id <= 12 || id > 14 ? 2.4 : 3.1 + 0.01 * static_cast<double>(id * id);
    b.arrives(request);
  }
}

// What is announced under pressure means something else for each kind of free value.
void publish_load_feedback() {
  AdmissionOptions s = plain_settings();
  for (const LoadFeedback say :
       {LoadFeedback::kLevel, LoadFeedback::kWeight, LoadFeedback::kCredit, LoadFeedback::kOff}) {
    s.load_feedback = say;
    Backend b(s);
    b.learn(0, 1.0);
    for (RequestId id = 1; id <= 4; ++id) {
      b.quiet(id < 4);
      b.arrives(b.request(id));
    }
    b.until(1.6);
  }
}

// What an earlier life learned: its times are used from the first request on; a few runs that take other
// times outweigh it, and while the backend is cold nothing speaks against it.
void prior() {
  const AdmissionOptions s = plain_settings();
  Backend first(s);
  for (int i = 0; i < 6; ++i) first.learn(0, 0.4);
  LearnedStatistics known = first.learned();
  const auto scaled = [&](double values) {
    LearnedStatistics weak = known;
    double count = 0;
    for (const double n : weak.routes[0].run.bins) count += n;
    for (double& n : weak.routes[0].run.bins) n *= values / count;
    weak.routes[0].run.sum *= values / count;
    return weak;
  };
  for (const bool with : {false, true}) {
    Backend next(s, with ? scaled(4) : LearnedStatistics{});
    next.say("-- %s, and 14 ops at once", with ? "with what was learned" : "without");
    for (RequestId id = 1; id <= 14; ++id) next.arrives(next.request(id));
  }
  Backend same(s, scaled(4)), slower(s, scaled(4));
  for (int i = 0; i < 4; ++i) same.learn(0, 0.5);
  for (int i = 0; i < 4; ++i) slower.learn(0, 1.6);
  AdmissionOptions cold_settings = s;
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
