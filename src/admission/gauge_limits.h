// What the gauge of busy cores means to the decisions.
#pragma once

namespace damsonspoke {

inline constexpr double kIdleCpuShare = 0.85;       // share of the cores
inline constexpr double kSaturatedCpuShare = 0.97;  // share of the cores

// `cpu_busy` negative: not known.
inline bool cores_idle(double cpu_busy) { return cpu_busy >= 0 && cpu_busy < kIdleCpuShare; }
inline bool cores_saturated(double cpu_busy) { return cpu_busy > kSaturatedCpuShare; }

}  // namespace damsonspoke
