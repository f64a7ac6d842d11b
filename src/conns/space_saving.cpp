#include "conns/space_saving.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damsonspoke::conns {

const SpaceSaving::Entry* SpaceSaving::find(const Prefix& key) const {
  const auto found = at_.find(key);
  return found == at_.end() ? nullptr : &entries_[found->second];
}

SpaceSaving::Entry SpaceSaving::enter(const Prefix& key, double nothing) {
  if (const Entry* there = find(key)) return *there;
  std::size_t at = entries_.size();
  double high = nothing;
  if (at < most_) {
    entries_.emplace_back();
  } else {
    const auto least = order_.begin();
    at = least->second;
    high = std::max(nothing, least->first);
    order_.erase(least);
    at_.erase(entries_[at].key);
  }
  entries_[at] = {key, high, nothing};
  at_[key] = at;
  order_.insert({high, at});
  return entries_[at];
}

void SpaceSaving::set(const Prefix& key, double high, double low) {
  const auto found = at_.find(key);
  if (found == at_.end()) return;
  Entry& entry = entries_[found->second];
  order_.erase({entry.high, found->second});
  entry.high = high;
  entry.low = low;
  order_.insert({high, found->second});
}

double SpaceSaving::least() const {
  return entries_.size() < most_ ? -std::numeric_limits<double>::infinity() : order_.begin()->first;
}

// ---- Rates: a value is the time at which the bucket will be empty.
bool RateSketch::room(const Prefix& key, double now) const { return room_in(key, now) <= 0; }

double RateSketch::room_in(const Prefix& key, double now) const {
  const SpaceSaving::Entry* seen = seen_.find(key);
  const double empty_at = seen == nullptr ? now : std::max(now, seen->low);
  return std::max(0.0, empty_at + (1 - burst_) / rate_ - now);
}

void RateSketch::take(const Prefix& key, double now) {
  const SpaceSaving::Entry seen = seen_.enter(key, now);
  seen_.set(key, std::max(now, seen.high) + 1 / rate_, std::max(now, seen.low) + 1 / rate_);
}

double RateSketch::error(double now) const { return std::max(0.0, (seen_.least() - now) * rate_); }

void RateSketch::reset(double rate, double burst, double now) {
  seen_.remap([&](double value) { return now + (value - now) * rate_ / rate; });
  rate_ = rate, burst_ = burst;
}

// ---- Points: a value is now + half_life * log2(points).
double FadingSketch::points(const Prefix& key, double now) const {
  const SpaceSaving::Entry* seen = seen_.find(key);
  return seen == nullptr ? 0 : std::exp2((seen->low - now) / half_life_);
}

void FadingSketch::add(const Prefix& key, double points, double now) {
  const SpaceSaving::Entry seen = seen_.enter(key, -std::numeric_limits<double>::infinity());
  const auto more = [&](double value) {
    return now + half_life_ * std::log2(std::exp2((value - now) / half_life_) + points);
  };
  seen_.set(key, more(seen.high), more(seen.low));
}

void FadingSketch::reset(double half_life, double now) {
  seen_.remap([&](double value) { return now + (value - now) * half_life / half_life_; });
  half_life_ = half_life;
}

double FadingSketch::falls_to(const Prefix& key, double points, double now) const {
  const SpaceSaving::Entry* seen = seen_.find(key);
  if (seen == nullptr) return 0;
  return std::max(0.0, seen->low - half_life_ * std::log2(points) - now);
}

}  // namespace damsonspoke::conns
