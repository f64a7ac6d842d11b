#include "tier/picker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kMaxOutcomes =
    64;  // outcomes after which counts are halved: a planner is judged by what it does now
constexpr double kLatencyMeanWeight = 16;  // outcomes
constexpr double kSlotValueTolerance =
    0.25;  // of importance; smaller differences of slots are noise, fullness decides
constexpr double kRejectsAllShare =
    0.95;  // share over which a planner that the others do not resemble serves nobody
constexpr double kMinSlowSeconds = 0.05;  // s; under it nothing is slow, whatever the others do

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

Picker::Picker(PickerOptions options, std::vector<std::string> names) : options_(options) {
  for (std::string& name : names) add(std::move(name), 0);
}

int Picker::add(std::string name, double /*now*/) {
  Planner p;
  p.hash = XXH3_64bits(name.data(), name.size());
  p.name = std::move(name);
  planners_.push_back(std::move(p));
  return static_cast<int>(planners_.size()) - 1;
}
void Picker::remove(int planner) { at(planner).listed = false; }
void Picker::restore(int planner) { at(planner).listed = true; }

// A planner that comes up is new to us, whatever it was: nothing of its former life is held against it.
void Picker::on_link_up(int planner, std::uint32_t window, double now) {
  Planner& p = at(planner);
  Planner fresh;
  fresh.name = p.name, fresh.hash = p.hash, fresh.listed = p.listed, fresh.open = p.open;
  fresh.up = true;
  fresh.window = window;
  fresh.up_since = now;
  p = std::move(fresh);
}
void Picker::on_link_down(int planner) { at(planner).up = false; }
void Picker::on_draining(int planner) { at(planner).leaving = true; }
void Picker::on_load_report(int planner, std::uint32_t window, double slot_value, bool healthy) {
  Planner& p = at(planner);
  p.window = window;
  p.slot_value = slot_value;
  p.healthy = healthy;
}

void Picker::on_attempt_sent(int planner) { ++at(planner).open; }
void Picker::release(int planner) { at(planner).open = std::max(0, at(planner).open - 1); }

void Picker::on_attempt_late(int planner, double now) {
  ++at(planner).open;
  on_attempt_ended(planner, AttemptOutcome::kFailed, 0, now);
}

void Picker::on_attempt_ended(int planner, AttemptOutcome how, double latency, double now) {
  release(planner);
  Planner& p = at(planner);
  if (p.outcomes >= kMaxOutcomes) p.outcomes /= 2, p.failed /= 2, p.rejected /= 2;
  p.outcomes += 1;
  p.failed += how == AttemptOutcome::kFailed;
  p.rejected += how == AttemptOutcome::kRejected;
  while (!p.cooldowns.empty() && p.cooldowns.front() <= now) p.cooldowns.pop_front();
  if (how == AttemptOutcome::kRejected && options_.rejection_cooldown_seconds > 0)
    p.cooldowns.push_back(now + options_.rejection_cooldown_seconds);
  if (how == AttemptOutcome::kSucceeded) {
    p.latency += (latency - p.latency) / (p.latency == 0 ? 1 : kLatencyMeanWeight);
    p.ejected_in_a_row = p.ejected_until < now - options_.max_ejection_seconds ? 0 : p.ejected_in_a_row;
  }
  eject_if_outlier(planner, now);
}

// Outliers are told by the others: where all do badly, leaving one out helps nobody. Guards against a planner
// that accepts and never answers, fails or rejections everything, or is many times slower, and so looks
// empty.
void Picker::eject_if_outlier(int planner, double now) {
  Planner& p = at(planner);
  if (!p.up || p.ejected_until > now || p.outcomes < options_.min_outcomes) return;
  std::vector<double> failed, rejected, latency;
  int up = 0;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const Planner& other = planners_[i];
    if (!other.up || !other.listed || other.leaving) continue;
    ++up;
    if (static_cast<int>(i) == planner || other.outcomes < options_.min_outcomes || other.ejected_until > now)
      continue;
    failed.push_back(other.failed / other.outcomes);
    rejected.push_back(other.rejected / other.outcomes);
    if (other.latency > 0) latency.push_back(other.latency);
  }
  if (failed.empty()) return;  // nobody to compare with
  const bool fails = p.failed / p.outcomes - median(failed) > options_.failure_share_margin;
  const bool refuses = p.rejected / p.outcomes > kRejectsAllShare &&
                       median(rejected) < kRejectsAllShare - options_.failure_share_margin;
  const bool slow =
      !latency.empty() && p.latency > std::max(kMinSlowSeconds, options_.slow_factor * median(latency));
  if (!fails && !refuses && !slow) return;
  if (ejected_count(now) + 1 > options_.max_ejected_share * up) return;
  const double longer = std::exp2(std::min(p.ejected_in_a_row, 8));
  p.ejected_until = now + std::min(options_.max_ejection_seconds, options_.base_ejection_seconds * longer);
  ++p.ejected_in_a_row;
  ++ejections_;
  p.outcomes = p.failed = p.rejected = p.latency = 0;
  p.up_since = p.ejected_until;  // and comes back slowly
}

int Picker::ejected_count(double now) const {
  return static_cast<int>(std::count_if(planners_.begin(), planners_.end(), [&](const Planner& p) {
    return p.up && p.listed && p.ejected_until > now;
  }));
}

double Picker::effective_window(const Planner& p, double now) const {
  const double grown =
      options_.slow_start_seconds <= 0 ? 1 : (now - p.up_since) / options_.slow_start_seconds;
  const double share = std::clamp(options_.initial_window_share + (1 - options_.initial_window_share) * grown,
                                  options_.initial_window_share, 1.0);
  return p.window == 0 ? 0 : std::max(1.0, share * p.window);
}

// Guards against a planner that is cold, or full, and rejections at once: its room would come free at once
// too, and many forwarders together would send it a flood that no window bounds.
int Picker::rejections_cooling_down(const Planner& p, double now) {
  return static_cast<int>(p.cooldowns.end() - std::upper_bound(p.cooldowns.begin(), p.cooldowns.end(), now));
}

int Picker::free_capacity(int planner, double now) const {
  const Planner& p = at(planner);
  if (!p.up || !p.listed || p.leaving || p.ejected_until > now) return 0;
  return std::max(0, static_cast<int>(effective_window(p, now)) - p.open - rejections_cooling_down(p, now));
}
int Picker::lookup_capacity(int planner, double now) const {
  const Planner& p = at(planner);
  return is_reachable(planner) ? std::max(0, static_cast<int>(effective_window(p, now)) - p.open) : 0;
}
bool Picker::has_capacity(int planner, double now) const { return free_capacity(planner, now) > 0; }

bool Picker::accepts_requests(int planner) const {
  const Planner& p = at(planner);
  return p.up && p.listed && !p.leaving;
}
bool Picker::any_accepts_requests() const {
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    if (accepts_requests(static_cast<int>(i))) return true;
  }
  return false;
}
int Picker::total_free_capacity(double now) const {
  int room = 0;
  for (std::size_t i = 0; i < planners_.size(); ++i) room += free_capacity(static_cast<int>(i), now);
  return room;
}

double Picker::utilization(int planner, double now) const {
  const double whole = effective_window(at(planner), now);
  return whole <= 0 ? 1e9 : (at(planner).open + 1) / whole;
}

// A sound planner before one that says it is not; then the one whose next slot is worth less to the others
// (it turns nobody of worth away); then the emptier one.
bool Picker::is_better(int a, int b, double now) const {
  const Planner &of_a = at(a), &of_b = at(b);
  if (of_a.healthy != of_b.healthy) return of_a.healthy;
  if (std::abs(of_a.slot_value - of_b.slot_value) > kSlotValueTolerance)
    return of_a.slot_value < of_b.slot_value;
  return utilization(a, now) < utilization(b, now);
}

// The highest of a hash of key and planner; the next one where it has more than its share.
std::optional<int> Picker::pick_by_key(std::uint64_t key, double now, const std::vector<int>& from) const {
  double open = 1, whole = 0;
  for (const int i : from) open += at(i).open, whole += effective_window(at(i), now);
  std::optional<int> best, fallback;
  std::uint64_t best_rank = 0;
  for (const int i : from) {
    const std::uint64_t pair[2] = {key, at(i).hash};
    const std::uint64_t rank = XXH3_64bits(pair, sizeof pair);
    if (!fallback || utilization(i, now) < utilization(*fallback, now)) fallback = i;
    const double bound = std::ceil(options_.load_bound * open * effective_window(at(i), now) / whole);
    if (at(i).open + 1 > bound) continue;
    if (!best || rank > best_rank) best = i, best_rank = rank;
  }
  return best ? best : fallback;
}

std::optional<int> Picker::pick(std::uint64_t key, double now, const std::function<double()>& random,
                                std::optional<int> exclude) {
  std::vector<int> from;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (planner != exclude.value_or(-1) && has_capacity(planner, now)) from.push_back(planner);
  }
  if (from.empty()) return std::nullopt;
  if (key != 0) return pick_by_key(key, now, from);
  if (from.size() == 1) return from.front();
  const auto draw = [&](std::size_t of) {
    return std::min(of - 1, static_cast<std::size_t>(random() * static_cast<double>(of)));
  };
  const std::size_t first = draw(from.size());
  std::size_t second = draw(from.size() - 1);
  if (second >= first) ++second;
  return is_better(from[second], from[first], now) ? from[second] : from[first];
}

}  // namespace damsonspoke::tier
