// The pace of dependency calls while the dependency is slow.
#pragma once

namespace damsonspoke {

// While calls take their usual time it learns how many are in flight on the mean: the dependency is known to
// bear so many, and while it is slow it gets no more. Times are seconds.
class SlowCallPacer {
 public:
  // `ceiling`: the concurrency that is assumed before anything is learned, and never exceeded.
  explicit SlowCallPacer(double ceiling) : ceiling_(ceiling) {}

  // `seconds` have passed with so many calls in flight. `usual`: calls took their usual time; `call_seconds`:
  // how long the last calls took.
  void advance(double seconds, int in_flight, bool usual, double call_seconds);
  void call_started(double now) { last_call_at_ = now; }

  // Mean time between two calls at that pace.
  [[nodiscard]] double interval(double call_seconds) const;
  // Time until the next call may start.
  [[nodiscard]] double delay(double now) const;

 private:
  [[nodiscard]] double usual_concurrency() const;

  const double ceiling_;
  double call_seconds_ = 0;   // in flight while calls took their usual time, fading
  double usual_seconds_ = 0;  // that passed meanwhile, fading
  double credit_ = 0;         // call seconds
  double last_call_at_ = 0;
};

}  // namespace damsonspoke
