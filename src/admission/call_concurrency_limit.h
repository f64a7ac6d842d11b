// Adaptive limit on the number of dependency calls in flight.
#pragma once

namespace damsonspoke {

// Additive increase, multiplicative decrease: calls that succeed in their usual time raise the limit up to
// its ceiling, signs of overload lower it.
class CallConcurrencyLimit {
 public:
  explicit CallConcurrencyLimit(double ceiling) : ceiling_(ceiling), limit_(ceiling) {}

  enum class Change { kNone, kLowered, kRestored };
  // Call after a success while calls take their usual time.
  Change raise();
  // Call after a sign that the dependency is overloaded. Lowers the limit at most once per interval, because
  // a decrease takes time to show its effect.
  Change lower(double now);

  [[nodiscard]] bool lowered() const { return limit_ < ceiling_; }
  [[nodiscard]] double ceiling() const { return ceiling_; }
  [[nodiscard]] double value() const { return limit_; }

 private:
  const double ceiling_;
  double limit_;
  double next_decrease_at_ = 0;  // s
};

}  // namespace damsonspoke
