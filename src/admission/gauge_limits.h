// Thresholds of the gauge of busy cores.
#pragma once

namespace damsonspoke {

inline constexpr double kIdleCpuShare = 0.85;       // share of the cores
inline constexpr double kSaturatedCpuShare = 0.97;  // share of the cores

// A negative `cpu_busy` means that the gauge is unknown.
inline bool cores_idle(double cpu_busy) { return cpu_busy >= 0 && cpu_busy < kIdleCpuShare; }
inline bool cores_saturated(double cpu_busy) { return cpu_busy > kSaturatedCpuShare; }

}  // namespace damsonspoke
