#include "conns/space_saving.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damsonspoke::conns {

const SpaceSaving::Entry* SpaceSaving::find(const Prefix& key) const {
  const auto found = at_.find(key);
  return found == at_.end() ? nullptr : &entries_[found->second];
}

SpaceSaving::Entry SpaceSaving::insert(const Prefix& key, double nothing) {
  if (const Entry* there = find(key)) return *there;
  std::size_t at = entries_.size();
  double upper = nothing;
  if (at < capacity_) {
    entries_.emplace_back();
  } else {
    const auto least = order_.begin();
    at = least->second;
    upper = std::max(nothing, least->first);
    order_.erase(least);
    at_.erase(entries_[at].key);
  }
  entries_[at] = {key, upper, nothing};
  at_[key] = at;
  order_.insert({upper, at});
  return entries_[at];
}

void SpaceSaving::update(const Prefix& key, double upper, double lower) {
  const auto found = at_.find(key);
  if (found == at_.end()) return;
  Entry& entry = entries_[found->second];
  order_.erase({entry.upper, found->second});
  entry.upper = upper;
  entry.lower = lower;
  order_.insert({upper, found->second});
}

double SpaceSaving::max_absent() const {
  return entries_.size() < capacity_ ? -std::numeric_limits<double>::infinity() : order_.begin()->first;
}

// ---- Rates: a value is the time at which the bucket will be empty.
bool RateSketch::has_capacity(const Prefix& key, double now) const { return wait_seconds(key, now) <= 0; }

double RateSketch::wait_seconds(const Prefix& key, double now) const {
  const SpaceSaving::Entry* seen = entries_.find(key);
  const double empty_at = seen == nullptr ? now : std::max(now, seen->lower);
  return std::max(0.0, empty_at + (1 - burst_) / rate_ - now);
}

void RateSketch::add(const Prefix& key, double now) {
  const SpaceSaving::Entry seen = entries_.insert(key, now);
  entries_.update(key, std::max(now, seen.upper) + 1 / rate_, std::max(now, seen.lower) + 1 / rate_);
}

double RateSketch::max_error(double now) const {
  return std::max(0.0, (entries_.max_absent() - now) * rate_);
}

void RateSketch::reconfigure(double rate, double burst, double now) {
  entries_.transform([&](double value) { return now + (value - now) * rate_ / rate; });
  rate_ = rate, burst_ = burst;
}

// ---- Points: a value is now + half_life * log2(points).
double DecayingScoreSketch::score(const Prefix& key, double now) const {
  const SpaceSaving::Entry* seen = entries_.find(key);
  return seen == nullptr ? 0 : std::exp2((seen->lower - now) / half_life_);
}

void DecayingScoreSketch::add(const Prefix& key, double points, double now) {
  const SpaceSaving::Entry seen = entries_.insert(key, -std::numeric_limits<double>::infinity());
  const auto more = [&](double value) {
    return now + half_life_ * std::log2(std::exp2((value - now) / half_life_) + points);
  };
  entries_.update(key, more(seen.upper), more(seen.lower));
}

void DecayingScoreSketch::reconfigure(double half_life, double now) {
  entries_.transform([&](double value) { return now + (value - now) * half_life / half_life_; });
  half_life_ = half_life;
}

double DecayingScoreSketch::seconds_until(const Prefix& key, double points, double now) const {
  const SpaceSaving::Entry* seen = entries_.find(key);
  if (seen == nullptr) return 0;
  return std::max(0.0, seen->lower - half_life_ * std::log2(points) - now);
}

}  // namespace damsonspoke::conns
