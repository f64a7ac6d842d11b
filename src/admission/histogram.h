// A small histogram of durations in which older values decay.
#pragma once

#include <array>

#include "admission/learned_statistics.h"

namespace damsonspoke {

// Values are seconds. The upper end of each bin is twice that of the bin before. When the count reaches
// kMaxCount, all counts are halved.
class DurationHistogram {
 public:
  void add(double seconds);
  [[nodiscard]] bool empty() const { return count_ <= 0; }
  [[nodiscard]] double mean() const { return empty() ? 0 : sum_ / count_; }
  // The upper end of the bin that holds the quantile; `share` from 0 to 1.
  [[nodiscard]] double quantile(double share) const;
  [[nodiscard]] LearnedDurations snapshot() const { return {{bins_.begin(), bins_.end()}, sum_}; }
  // Loads a snapshot into an empty histogram. A snapshot with another number of bins is ignored.
  void restore(const LearnedDurations& snapshot);

 private:
  static constexpr int kBins = 13;
  static constexpr double kFirstBinSeconds = 0.005;
  static constexpr double kMaxCount = 64;

  std::array<double, kBins> bins_{};
  double count_ = 0;
  double sum_ = 0;
};

}  // namespace damsonspoke
