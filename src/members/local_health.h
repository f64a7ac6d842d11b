// Lifeguard's local health multiplier: how likely this member's own faults explain the failures that it
// observes. Its probe and suspicion times grow with it, so that an overloaded or disconnected member does not
// accuse healthy members.
#pragma once

#include <algorithm>

namespace damsonspoke::members {

class LocalHealth {
 public:
  void degrade(int by = 1) { score_ = std::min(score_ + by, kMaxScore); }
  void improve() { score_ = std::max(score_ - 1, 0); }
  // Factor, at least 1, for probe periods and for suspicions that no other member confirms.
  [[nodiscard]] double multiplier() const { return 1 + score_; }
  // From 0 (healthy) to kMaxScore.
  [[nodiscard]] int score() const { return score_; }

  static constexpr int kMaxScore = 8;

 private:
  int score_ = 0;
};

}  // namespace damsonspoke::members
