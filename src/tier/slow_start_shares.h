// A cold planner's attempts, handed out to its forwarders: what they may have open there sums to its budget
// at any time, however many they are, while links come and go and while they have not heard of a smaller part
// yet. Where there are fewer attempts than links, parts of one go round, so that nobody waits for ever. Pure
// policy.
//
// A cold server falls under the sum of what is sent to it; no sender knows the others, the receiver knows
// them all.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace damsonspoke::tier {

struct SlowStartSharesOptions {
  double settle_seconds =
      0.25;  // s after which a smaller part has surely been heard, and what was sent before it is here
  double rotation_seconds = 0.25;  // s that a part which goes round stays; at least settle_seconds
};

class SlowStartShares {
 public:
  using Link = std::uint64_t;
  explicit SlowStartShares(SlowStartSharesOptions options = {}) : options_(options) {}

  void add(Link link) { links_[link].gone = false; }
  // Its part is free once what it has open here has ended, and what was on its way has come.
  void remove(Link link, double now);

  // New parts for this budget (attempts; fractions are rounded down). `open`: how many a link has open here.
  void rebalance(double now, double budget, const std::function<std::size_t(Link)>& open);
  std::uint32_t share(Link link) const;
  std::size_t size() const { return links_.size(); }
  void clear() { links_.clear(); }

 private:
  struct Held {
    std::uint32_t part = 0;
    std::uint32_t before = 0;  // what it may still act on
    double lowered_at = -1e9;
    double raised_at = -1e9;  // by one over the even part
    bool gone = false;
  };
  std::uint64_t charge(const Held& held, std::size_t open, double now) const;

  const SlowStartSharesOptions options_;
  std::map<Link, Held> links_;  // in the order in which they came
};

// So many attempts may be open at a planner that began this long ago (s), cold: its share of speed then, of
// all that it takes when it is warm. The settings tell speed and time.
double slow_start_budget(int cores, double slow_start_speed, double slow_start_seconds, double age);

}  // namespace damsonspoke::tier
