// The load that a planner reports: how many attempts each forwarder may have open there, and the value of its
// next free slot, which is the mean priority weight of the requests that it recently rejected for lack of
// capacity. Policy without I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace damsonspoke::tier {

// A decaying mean of the rejected requests' priority weights. Times are seconds on one clock.
class SlotValue {
 public:
  void on_rejected(double priority_weight, double now) {
    decay(now);
    value_ += (priority_weight - value_) / kMeanRequests;
  }
  void on_admitted(double now) {
    decay(now);
    value_ -= value_ / kMeanRequests;
  }
  // In units of priority weight; 0 if nothing was rejected recently.
  [[nodiscard]] double value(double now) {
    decay(now);
    return value_;
  }

 private:
  static constexpr double kMeanRequests = 12;
  // A planner that rejected requests a second ago may have capacity now.
  static constexpr double kDecaySeconds = 1;

  void decay(double now) {
    value_ *= std::exp(-std::max(0.0, now - updated_at_) / kDecaySeconds);
    updated_at_ = now;
  }

  double value_ = 0;
  double updated_at_ = 0;
};

constexpr std::uint32_t kAttemptsPerCore = 24;  // running, queued and in flight
constexpr std::uint32_t kMinWindowAttempts = 4;

// Attempts that each of `links` forwarders may have open at a warm planner: twice the even share, because
// forwarders are not equally busy. The sum may exceed the planner's capacity; it rejects the excess.
[[nodiscard]] inline std::uint32_t warm_window(int cores, std::size_t links) {
  const auto all = kAttemptsPerCore * static_cast<std::uint32_t>(std::max(1, cores));
  const auto even = all / static_cast<std::uint32_t>(std::max<std::size_t>(1, links));
  return std::clamp(2 * even, kMinWindowAttempts, all);
}

}  // namespace damsonspoke::tier
