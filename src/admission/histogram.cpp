#include "admission/histogram.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace damsonspoke {

void DurationHistogram::add(double seconds) {
  const int bin =
      seconds <= kFirstBinSeconds ? 0 : static_cast<int>(std::log2(seconds / kFirstBinSeconds)) + 1;
  bins_[static_cast<std::size_t>(std::min(bin, kBins - 1))] += 1;
  count_ += 1;
  sum_ += seconds;
  if (count_ < kMaxCount) return;
  for (double& n : bins_) n /= 2;
  count_ /= 2;
  sum_ /= 2;
}

double DurationHistogram::quantile(double share) const {
  double seen = 0;
  for (int bin = 0; bin < kBins; ++bin) {
    seen += bins_[static_cast<std::size_t>(bin)];
    if (seen >= share * count_) return kFirstBinSeconds * std::exp2(bin);
  }
  return kFirstBinSeconds * std::exp2(kBins - 1);
}

void DurationHistogram::restore(const LearnedDurations& snapshot) {
  if (snapshot.bins.size() != bins_.size()) return;
  std::copy(snapshot.bins.begin(), snapshot.bins.end(), bins_.begin());
  for (const double n : bins_) count_ += n;
  sum_ = snapshot.sum;
}

}  // namespace damsonspoke
