// This server's share of a shared dependency.
#pragma once

#include <optional>

#include "admission/options.h"

namespace damsonspoke {

// A token bucket in call seconds: the share is a mean number of concurrent calls over a window, so what may
// be used at once and what flows in add up to it. Each call reserves what it may use at most. Protects the
// dependency while it is slow, hangs or rejects. Where the dependency is not shared everything is granted.
class CallBudget {
 public:
  explicit CallBudget(const AdmissionOptions& options);

  void refill(double seconds);
  // False where this server has no share at all.
  [[nodiscard]] bool allows_calls() const { return !shared_ || share_ > 0; }
  // Reserves what a call with this timeout (s) may use. None: it has to wait, see seconds_until_available().
  struct Reservation {
    double timeout = 0;   // s, shortened to what the budget can hold
    double reserved = 0;  // call seconds
  };
  std::optional<Reservation> reserve(double timeout);
  // s until a call with this timeout can be reserved.
  [[nodiscard]] double seconds_until_available(double timeout) const;
  // A call ended that had reserved so much and took so long (s). An abandoned one goes on for a while.
  void release(double reserved, double seconds, bool abandoned);
  // Call seconds that flow in each second.
  [[nodiscard]] double refill_rate() const;

  [[nodiscard]] bool shared() const { return shared_; }

 private:
  [[nodiscard]] double reservation_for(double timeout) const;

  const bool shared_;
  const double share_;
  const double abandoned_call_time_;  // s
  const double capacity_;             // call seconds
  double available_;
};

}  // namespace damsonspoke
