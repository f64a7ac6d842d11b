// What the gauge of busy cores means to the decisions.
#pragma once

namespace damsonspoke {

inline constexpr double kIdleCoresBelow = 0.85;  // share of the cores
inline constexpr double kFullCoresAbove = 0.97;  // share of the cores

// `cpu_busy` negative: not known.
inline bool cores_idle(double cpu_busy) { return cpu_busy >= 0 && cpu_busy < kIdleCoresBelow; }
inline bool cores_full(double cpu_busy) { return cpu_busy > kFullCoresAbove; }

}  // namespace damsonspoke
