// What a planner tells of itself: how many attempts each forwarder may have open there, and what its next
// free slot would fetch, which is the importance of what it has just refused for want of room. Pure policy.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace damsonspoke::tier {

class SlotValue {
 public:
  void on_rejected(double priority_weight, double now) {
    fade(now);
    value_ += (priority_weight - value_) / kMemory;
  }
  void on_admitted(double now) {
    fade(now);
    value_ -= value_ / kMemory;
  }
  double value(double now) {
    fade(now);
    return value_;
  }

 private:
  static constexpr double kMemory = 12;  // newcomers
  static constexpr double kFade = 1;     // s; who refused a moment ago may have room now
  void fade(double now) {
    value_ *= std::exp(-std::max(0.0, now - at_) / kFade);
    at_ = now;
  }
  double value_ = 0, at_ = 0;
};

// A planner's attempts in all, and the even part of each link. The parts may add up to more than the whole by
// the least part: what comes too much the module refuses, as it would at a relay.
constexpr std::uint32_t kAttemptsPerCore = 24;  // running, held and on their way
constexpr std::uint32_t kMinWindow = 4;
inline std::uint32_t warm_window(int cores, std::size_t links) {
  const auto all = kAttemptsPerCore * static_cast<std::uint32_t>(std::max(1, cores));
  const auto part = all / static_cast<std::uint32_t>(std::max<std::size_t>(1, links));
  // Twice the even part: forwarders are not equally busy.
  return std::clamp(2 * part, kMinWindow, all);
}

}  // namespace damsonspoke::tier
