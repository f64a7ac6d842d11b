// What is admitted, held, charged and remembered, and which connections stay.
#include "decision_scenarios.h"
#include "scripted_backend.h"

namespace damsonspoke::testing {
namespace {

// A request that tells how many seconds of work it is.
Request hinted(Backend& server, RequestId id, double work_seconds) {
  Request request = server.request(id);
  request.work_hint = work_seconds;
  return request;
}

// Every way in which a request can end gives its bytes back, once.
void pool() {
  Backend server(plain_settings());
  for (RequestId id = 1; id <= 5; ++id) server.arrives(server.request(id));
  server.pool();
  server.until(0.1);
  server.ends(1);
  server.ends(2, Outcome::kError);
  server.gone(3);  // runs: stopped, its bytes stay until the run is over
  server.pool();
  server.ends(3, Outcome::kCancelled);
  server.ends(4, Outcome::kCancelled);  // stopped by nobody's wish: back in the hold, then started again
  server.pool();
  server.gone(5);
  server.ends(5, Outcome::kCancelled);
  server.until(4.5);  // 4 comes due while it runs
  server.pool();
  server.ends(4, Outcome::kCancelled);
  server.pool();
}

// An empty pool refuses newcomers, though one run may go when none is running.
void empty_pool() {
  AdmissionOptions settings = plain_settings();
  settings.memory_kb = 200;
  Backend server(settings);
  Request large = server.request(1);
  large.size_kb = 40;
  server.arrives(large);
  for (RequestId id = 2; id <= 4; ++id) server.arrives(server.request(id));
  server.until(0.5);
  server.ends(1);
  server.pool();
}

// One request that could never run here is rejected, and those after it find the room as it was.
void absurd_size() {
  Backend server(plain_settings());
  Request absurd = server.request(1);
  absurd.size_kb = 9000;
  server.arrives(absurd);
  for (RequestId id = 2; id <= 4; ++id) server.arrives(server.request(id));
  server.pool();
}

// Nothing learned: held. Learned: a request that cannot be in time is rejected on intake, the important one
// is not.
void finish_check() {
  Backend server(plain_settings());
  for (RequestId id = 1; id <= 6; ++id) server.arrives(server.request(id));
  server.until(0.6);
  for (RequestId id = 1; id <= 4; ++id) server.ends(id);
  server.until(1.2);
  for (RequestId id = 5; id <= 6; ++id) server.ends(id);
  server.learn(1, 0.6);
  for (RequestId id = 7; id <= 14; ++id) server.arrives(server.request(id, 0));
  server.arrives(server.request(15, 1));
  Request hurried = server.request(16, 1);
  hurried.remaining_timeout = 0.5;
  server.arrives(hurried);
}

// The answer owed leaves by the due time, whatever the work does.
void due() {
  AdmissionOptions settings = plain_settings();
  for (const Preemption halt : {Preemption::kDrop, Preemption::kOff}) {
    settings.preemption = halt;
    Backend server(settings);
    Request told = server.request(1);
    told.remaining_timeout = 1.5;
    told.age = 1;
    server.arrives(told);
    Request untold = server.request(2);
    untold.age = 1;
    server.arrives(untold);
    server.arrives(server.request(3));
    server.until(5);
    server.pool();  // with halt off the unfinished runs keep their charge and their cores
  }
}

// A stopped run: dropped work goes back to the hold at its held size, paused work keeps its running bytes.
void halts() {
  AdmissionOptions settings = plain_settings();
  for (const Preemption halt : {Preemption::kDrop, Preemption::kPause}) {
    settings.preemption = halt;
    Backend server(settings);
    for (RequestId id = 1; id <= 3; ++id) server.arrives(server.request(id));
    server.ends(1, Outcome::kCancelled);
    server.pool();
    server.ends(2);
    server.ends(3);
    server.ends(1);
    server.pool();
  }
}

// Keyed: the entry is kept from intake, a repeat joins, what has run is never rejected nor run again.
void keyed() {
  AdmissionOptions settings = plain_settings();
  settings.routes[0].idempotency = Idempotency::kWithKey;
  settings.idempotency_key_kb = 1500;
  Backend server(settings);
  Request first = server.request(1);
  first.age = 0.5;
  server.arrives(first);
  Request repeat = server.request(2);
  repeat.duplicate_of = 1;
  server.arrives(repeat);
  server.arrives(server.request(3));
  server.arrives(server.request(4));  // no room for its entry
  server.ends(1, Outcome::kCancelled);
  server.ends(2, Outcome::kError);
  server.until(4.0);
  server.until(4.6);
  server.pool();
  server.arrives(server.request(5));  // the first entry has expired
}

// A request that tells its work is judged by it: the long one misses and is rejected at once, the short one
// and the untold one wait, though the three are of one route.
void hints() {
  Backend server(plain_settings());
  for (RequestId id = 1; id <= 2; ++id) server.arrives(hinted(server, id, 0.1));
  server.until(0.6);
  for (RequestId id = 1; id <= 2; ++id) server.ends(id);
  for (RequestId id = 3; id <= 4; ++id) server.arrives(hinted(server, id, 0.1));
  server.arrives(hinted(server, 5, 0.3));
  server.arrives(hinted(server, 6, 0.02));
  server.arrives(server.request(7));
}

// Two requests told a thousandth of their work: an honest one after them is not taken for a thousand times
// its own.
void told_too_little() {
  AdmissionOptions settings = plain_settings();
  settings.routes[0].latency_objective = 10;
  settings.routes[0].timeout = 20;
  Backend server(settings);
  for (RequestId id = 1; id <= 2; ++id) server.arrives(hinted(server, id, 0.0006));
  server.until(0.6);
  for (RequestId id = 1; id <= 2; ++id) server.ends(id);
  for (RequestId id = 3; id <= 6; ++id) server.arrives(hinted(server, id, 0.6));
}

// Many callers that seldom return: their idle connections go soon, but stay when reading falls behind, until
// newcomers find room again. A caller that returns keeps its connection.
void connections() {
  AdmissionOptions settings = plain_settings();
  settings.caller_idle_timeout = 30;
  for (const bool returning : {false, true}) {
    Backend server(settings);
    server.say("(%s)", returning ? "one caller returns" : "each op comes from another caller");
    server.gauges.runnable = 2;
    server.quiet(true);
    for (RequestId id = 1; id <= 40; ++id) {
      Request request = server.request(id);
      if (returning) request.caller = 1;
      server.until(0.1 * static_cast<double>(id));
      server.arrives(request);
      server.ends(id);
    }
    server.gauges.runnable = 20;
    server.until(4.5);
    server.gauges.runnable = 2;
    server.until(6);
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
