// What is admitted, held, charged and remembered, and which connections stay.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

Request hinted(Backend& b, RequestId id, double work) {
  Request request = b.request(id);
  request.work_hint = work;
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

constexpr Scenario kScenarios[] = {
    {"pool", pool},
    {"empty_pool", empty_pool},
    {"absurd_size", absurd_size},
    {"finish_check", finish_check},
    {"due", due},
    {"halts", halts},
    {"keyed", keyed},
    {"hints", hints},
    {"told_too_little", told_too_little},
    {"connections", connections},
};

}  // namespace

std::span<const Scenario> intake_scenarios() { return kScenarios; }

}  // namespace damsonspoke::testing
