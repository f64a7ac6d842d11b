// Limits the server to its share of the calls to a shared dependency.
#pragma once

#include <optional>

#include "admission/options.h"

namespace damsonspoke {

// A token bucket of call seconds. The share is the mean number of concurrent calls over a window; the call
// seconds that it allows in one window are the bucket's capacity plus its refill in that time. Each call
// reserves the most it can use, so the share also holds while the dependency is slow, hangs or rejects
// calls. If the dependency is not shared, every reservation is granted.
class CallBudget {
 public:
  explicit CallBudget(const AdmissionOptions& options);

  void refill(double seconds);
  // False if this server's share is 0.
  [[nodiscard]] bool allows_calls() const { return !shared_ || share_ > 0; }
  // Reserves the call seconds that a call with this timeout (s) can use. nullopt if too few are left;
  // seconds_until_available() gives the wait.
  struct Reservation {
    double timeout = 0;   // s, shortened to what the bucket can hold
    double reserved = 0;  // call seconds
  };
  std::optional<Reservation> reserve(double timeout);
  // Time (s) until a call with this timeout can be reserved.
  [[nodiscard]] double seconds_until_available(double timeout) const;
  // Returns the unused part of a reservation when its call ends after `seconds`. The dependency keeps
  // working on an abandoned call for a while, so that time stays charged.
  void release(double reserved, double seconds, bool abandoned);
  // Call seconds that are added per second.
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
