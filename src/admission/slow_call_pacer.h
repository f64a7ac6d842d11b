// Paces dependency calls while the dependency is slow.
#pragma once

namespace damsonspoke {

// While calls take their usual time, learns the mean number of calls in flight. The dependency is known to
// sustain that many, so it gets no more while it is slow. Times are seconds.
class SlowCallPacer {
 public:
  // `ceiling`: the concurrency that is assumed before anything is learned, and that is never exceeded.
  explicit SlowCallPacer(double ceiling) : ceiling_(ceiling) {}

  // Accounts for `seconds` with `in_flight` calls in flight. `usual`: calls took their usual time.
  // `call_seconds`: the duration of recent calls.
  void advance(double seconds, int in_flight, bool usual, double call_seconds);
  void call_started(double now) { last_call_at_ = now; }

  // Mean time between two calls at this pace, if calls take `call_seconds`.
  [[nodiscard]] double interval(double call_seconds) const;
  // Time until the next call may start.
  [[nodiscard]] double delay(double now) const;

 private:
  [[nodiscard]] double usual_concurrency() const;

  const double ceiling_;
  double call_seconds_ = 0;   // in flight while calls took their usual time, decaying
  double usual_seconds_ = 0;  // of such time, decaying
  double credit_ = 0;         // call seconds
  double last_call_at_ = 0;
};

}  // namespace damsonspoke
