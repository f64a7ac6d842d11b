// Prints the trace of one scenario; CTest compares it with tests/traces/NAME.txt.
#include <cstring>

#include "scripted_backend.h"

using namespace damsonspoke;
using damsonspoke::testing::Backend;
using damsonspoke::testing::plain_settings;

namespace {

Request hinted(Backend& b, RequestId id, double work) {
  Request request = b.request(id);
  request.work_hint = work;
  return request;
}
Request of_type(Backend& b, RequestId id, int type) {
  Request request = b.request(id);
  request.route = type;
  return request;
}

// Every way in which a request can end gives its bytes back, once.
void pool() {
  Backend b(plain_settings());
  for (RequestId id = 1; id <= 5; ++id) b.arrives(b.request(id));
  b.pool();
  b.until(0.1);
  b.ends(1);
  b.ends(2, Outcome::kError);
  b.gone(3);  // runs: stopped, its bytes stay until the run is over
  b.pool();
  b.ends(3, Outcome::kCancelled);
  b.ends(4, Outcome::kCancelled);  // stopped by nobody's wish: back in the hold, then started again
  b.pool();
  b.gone(5);
  b.ends(5, Outcome::kCancelled);
  b.until(4.5);  // 4 comes due while it runs
  b.pool();
  b.ends(4, Outcome::kCancelled);
  b.pool();
}

// An empty pool refuses newcomers, though one run may go when none is running.
void empty_pool() {
  AdmissionOptions s = plain_settings();
  s.memory_kb = 200;
  Backend b(s);
  Request large = b.request(1);
  large.size_kb = 40;
  b.arrives(large);
  for (RequestId id = 2; id <= 4; ++id) b.arrives(b.request(id));
  b.until(0.5);
  b.ends(1);
  b.pool();
}

// One request that could never run here is rejected, and those after it find the room as it was.
void absurd_size() {
  Backend b(plain_settings());
  Request absurd = b.request(1);
  absurd.size_kb = 9000;
  b.arrives(absurd);
  for (RequestId id = 2; id <= 4; ++id) b.arrives(b.request(id));
  b.pool();
}

// Nothing learned: held. Learned: a request that cannot be in time is rejected on intake, the important one
// is not.
void finish_check() {
  Backend b(plain_settings());
  for (RequestId id = 1; id <= 6; ++id) b.arrives(b.request(id));
  b.until(0.6);
  for (RequestId id = 1; id <= 4; ++id) b.ends(id);
  b.until(1.2);
  for (RequestId id = 5; id <= 6; ++id) b.ends(id);
  b.learn(1, 0.6);
  for (RequestId id = 7; id <= 14; ++id) b.arrives(b.request(id, 0));
  b.arrives(b.request(15, 1));
  Request hurried = b.request(16, 1);
  hurried.remaining_timeout = 0.5;
  b.arrives(hurried);
}

// The answer owed leaves by the due time, whatever the work does.
void due() {
  AdmissionOptions s = plain_settings();
  for (const Preemption halt : {Preemption::kDrop, Preemption::kOff}) {
    s.preemption = halt;
    Backend b(s);
    Request told = b.request(1);
    told.remaining_timeout = 1.5;
    told.age = 1;
    b.arrives(told);
    Request untold = b.request(2);
    untold.age = 1;
    b.arrives(untold);
    b.arrives(b.request(3));
    b.until(5);
    b.pool();  // with halt off the unfinished runs keep their charge and their cores
  }
}

// A stopped run: dropped work goes back to the hold at its held size, paused work keeps its running bytes.
void halts() {
  AdmissionOptions s = plain_settings();
  for (const Preemption halt : {Preemption::kDrop, Preemption::kPause}) {
    s.preemption = halt;
    Backend b(s);
    for (RequestId id = 1; id <= 3; ++id) b.arrives(b.request(id));
    b.ends(1, Outcome::kCancelled);
    b.pool();
    b.ends(2);
    b.ends(3);
    b.ends(1);
    b.pool();
  }
}

// Keyed: the entry is kept from intake, a repeat joins, what has run is never rejected nor run again.
void keyed() {
  AdmissionOptions s = plain_settings();
  s.routes[0].idempotency = Idempotency::kWithKey;
  s.idempotency_key_kb = 1500;
  Backend b(s);
  Request first = b.request(1);
  first.age = 0.5;
  b.arrives(first);
  Request repeat = b.request(2);
  repeat.duplicate_of = 1;
  b.arrives(repeat);
  b.arrives(b.request(3));
  b.arrives(b.request(4));  // no room for its entry
  b.ends(1, Outcome::kCancelled);
  b.ends(2, Outcome::kError);
  b.until(4.0);
  b.until(4.6);
  b.pool();
  b.arrives(b.request(5));  // the first entry has expired
}

// Calls: a non-retryable request repeats its call only when the last is proven not run.
void calls() {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.dependency_share = 2;
  s.routes[0].calls_dependency = s.routes[1].calls_dependency = true;
  s.routes[0].idempotency = Idempotency::kNonIdempotent;
  s.routes[1].value_without_call = 0.5;
  Backend b(s);
  for (RequestId id = 1; id <= 2; ++id) b.arrives(b.request(id, 0));
  b.needs_call(1);
  b.needs_call(2);  // over the bound: waits off the cores
  b.call_ends(1, Outcome::kRefused);
  b.call_ends(2, Outcome::kTimeout);
  b.ends(2, Outcome::kCancelled);
  b.until(0.6);
  b.call_ends(1, Outcome::kOk);
  b.ends(1);
  b.arrives(b.request(3, 0));
  b.arrives(b.request(4, 0));
  b.arrives(b.request(5, 1));
  b.needs_call(3);
  b.needs_call(4);
  b.needs_call(5);  // slow below: the important one goes before 4
  b.call_ends(3, Outcome::kOk);
  b.gone(4);     // so that its call is not made when the way below is free again
  b.until(2.8);  // 5 is answered without its call when that can no longer be in time
  b.call_ends(5, Outcome::kError);
}

// A part below under one call: calls that return soon follow each other without rest, one that is abandoned
// uses the budget up. No part at all: nothing is called.
void small_part() {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.routes[0].calls_dependency = true;
  for (const double part : {0.4, 0.0}) {
    s.dependency_share = part;
    Backend b(s);
    for (RequestId id = 1; id <= 2; ++id) b.arrives(b.request(id, 0));
    b.needs_call(1);
    b.needs_call(2);
    if (part <= 0) continue;
    b.until(0.02);
    b.call_ends(1, Outcome::kOk);
    b.needs_call(1);  // its next call has room beside that of 2
    b.until(0.6);
    b.call_ends(2, Outcome::kTimeout);
    b.call_ends(1, Outcome::kTimeout);
    b.until(1.6);
  }
}

// A layer below that has just turned slow: the recent calls tell how long the next takes, and who would get a
// turn too late, the less important first, goes on without at once instead of standing in line.
void turning_slow(double apart, double value_without_call, double on) {
  AdmissionOptions s = plain_settings();
  s.dependency = DependencyKind::kShared;
  s.dependency_share = 4;
  for (Route& type : s.routes)
    type.calls_dependency = true, type.latency_objective = 1, type.value_without_call = value_without_call;
  Backend b(s);
  b.quiet(true);
  double now = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    const double takes = id <= 14 ? 0.02 : 0.7;
    b.arrives(b.request(id, 1));
    b.needs_call(id);
    b.until(now += takes);
    b.call_ends(id, Outcome::kOk);
    b.ends(id);
    b.until(now += apart);
  }
  b.until(now += 1);
  b.quiet(false);
  for (RequestId id = 21; id <= 24; ++id) {
    b.arrives(b.request(id, id % 2 == 1 ? 0 : 1));
    b.needs_call(id);
  }
  if (apart > 0) b.until(now += 0.1), b.call_ends(21, Outcome::kOk);
  b.until(now + on);
}
void slow_calls() { turning_slow(0, 0.5, 0.4); }
// Calls go with rests between, so that it gets no more than it bore when well: longer ones where few had
// gone, yet of 5 s at most. Who gets no turn in time is not started.
void paced_calls() { turning_slow(0.1, 0.5, 1), turning_slow(0.1, 0, 1); }
void paced_rarely() { turning_slow(8, 0, 6); }

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

// A request that tells its work is judged by it: the long one misses and is rejected at once, the short one
// and the untold one wait, though the three are of one route.
void hints() {
  Backend b(plain_settings());
  for (RequestId id = 1; id <= 2; ++id) b.arrives(hinted(b, id, 0.1));
  b.until(0.6);
  for (RequestId id = 1; id <= 2; ++id) b.ends(id);
  for (RequestId id = 3; id <= 4; ++id) b.arrives(hinted(b, id, 0.1));
  b.arrives(hinted(b, 5, 0.3));
  b.arrives(hinted(b, 6, 0.02));
  b.arrives(b.request(7));
}

// Two requests told a thousandth of their work: an honest one after them is not taken for a thousand times
// its own.
void told_too_little() {
  AdmissionOptions s = plain_settings();
  s.routes[0].latency_objective = 10;
  s.routes[0].timeout = 20;
  Backend b(s);
  for (RequestId id = 1; id <= 2; ++id) b.arrives(hinted(b, id, 0.0006));
  b.until(0.6);
  for (RequestId id = 1; id <= 2; ++id) b.ends(id);
  for (RequestId id = 3; id <= 6; ++id) b.arrives(hinted(b, id, 0.6));
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

// Many callers that seldom return: their idle connections go soon, but stay when reading falls behind, until
// newcomers find room again. A caller that returns keeps its connection.
void connections() {
  AdmissionOptions s = plain_settings();
  s.caller_idle_timeout = 30;
  for (const bool returning : {false, true}) {
    Backend b(s);
    b.say("(%s)", returning ? "one caller returns" : "each op comes from another caller");
    b.gauges.runnable = 2;
    b.quiet(true);
    for (RequestId id = 1; id <= 40; ++id) {
      Request request = b.request(id);
      if (returning) request.caller = 1;
      b.until(0.1 * static_cast<double>(id));
      b.arrives(request);
      b.ends(id);
    }
    b.gauges.runnable = 20;
    b.until(4.5);
    b.gauges.runnable = 2;
    b.until(6);
  }
}

struct Scenario {
  const char* name;
  void (*play)();
};
constexpr Scenario kScenarios[] = {
    {"pool", pool},
    {"empty_pool", empty_pool},
    {"absurd_size", absurd_size},
    {"finish_check", finish_check},
    {"due", due},
    {"halts", halts},
    {"keyed", keyed},
    {"calls", calls},
    {"slow_calls", slow_calls},
    {"paced_calls", paced_calls},
    {"paced_rarely", paced_rarely},
    {"small_part", small_part},
    {"leaving", leaving},
    {"cold", cold},
    {"burst", burst},
    {"stalled", stalled},
    {"drowning", drowning},
    {"failing", failing},
    {"shares", shares},
    {"announce", publish_load_feedback},
    {"silence", silence},
    {"storm", storm},
    {"skewed", skewed},
    {"important_first", important_first},
    {"elsewhere", elsewhere},
    {"further_try", further_try},
    {"hints", hints},
    {"told_too_little", told_too_little},
    {"displaced", displaced},
    {"displaced_few", displaced_few},
    {"displaced_run", displaced_run},
    {"connections", connections},
    {"prior", prior},
};

}  // namespace

int main(int argc, char** argv) {
  for (const Scenario& scenario : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], scenario.name) == 0) {
      scenario.play();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: decision_traces SCENARIO\n");
  return 2;
}
