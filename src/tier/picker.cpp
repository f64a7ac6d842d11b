#include "tier/picker.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kMaxOutcomes = 64;  // then the counts are halved: recent outcomes decide
constexpr double kLatencyMeanOutcomes = 16;
constexpr double kSlotValueTolerance = 0.25;  // of priority weight; below it utilization decides
constexpr double kRejectsAllShare = 0.95;
constexpr double kMinSlowSeconds = 0.05;  // no planner is slow below this latency
constexpr int kMaxEjectionDoublings = 8;
constexpr double kNoCapacityUtilization = 1e9;

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

Picker::Picker(PickerOptions options, const std::vector<std::string>& names) : options_(options) {
  for (const std::string& name : names) add(name);
}

int Picker::add(const std::string& name) {
  Planner planner;
  planner.name = name;
  planner.name_hash = XXH3_64bits(name.data(), name.size());
  planners_.push_back(std::move(planner));
  return static_cast<int>(planners_.size()) - 1;
}

void Picker::on_link_up(int planner, std::uint32_t window, double now) {
  Planner& known = at(planner);
  Planner fresh;
  fresh.name = known.name;
  fresh.name_hash = known.name_hash;
  fresh.is_listed = known.is_listed;
  fresh.open = known.open;
  fresh.is_up = true;
  fresh.window = window;
  fresh.slow_start_from = now;
  known = std::move(fresh);
}

void Picker::on_load_report(int planner, std::uint32_t window, double slot_value, bool is_healthy) {
  Planner& reporter = at(planner);
  reporter.window = window;
  reporter.slot_value = slot_value;
  reporter.is_healthy = is_healthy;
}

void Picker::release(int planner) { at(planner).open = std::max(0, at(planner).open - 1); }

void Picker::on_attempt_late(int planner, double now) {
  ++at(planner).open;
  on_attempt_ended(planner, AttemptOutcome::kFailed, 0, now);
}

void Picker::on_attempt_ended(int planner, AttemptOutcome outcome, double latency, double now) {
  release(planner);
  Planner& owner = at(planner);
  Outcomes& outcomes = owner.outcomes;
  if (outcomes.total >= kMaxOutcomes) {
    outcomes.total /= 2;
    outcomes.failed /= 2;
    outcomes.rejected /= 2;
  }
  outcomes.total += 1;
  if (outcome == AttemptOutcome::kFailed) outcomes.failed += 1;
  if (outcome == AttemptOutcome::kRejected) outcomes.rejected += 1;
  while (!owner.cooldowns.empty() && owner.cooldowns.front() <= now) owner.cooldowns.pop_front();
  if (outcome == AttemptOutcome::kRejected && options_.rejection_cooldown_seconds > 0)
    owner.cooldowns.push_back(now + options_.rejection_cooldown_seconds);
  if (outcome == AttemptOutcome::kSucceeded) {
    const double divisor = outcomes.mean_latency == 0 ? 1 : kLatencyMeanOutcomes;
    outcomes.mean_latency += (latency - outcomes.mean_latency) / divisor;
    if (owner.ejected_until < now - options_.max_ejection_seconds) owner.ejections_in_a_row = 0;
  }
  eject_if_outlier(planner, now);
}

// Returns none if there is no other planner to compare with.
std::optional<Picker::Baseline> Picker::baseline_without(int planner, double now) const {
  Baseline baseline;
  std::vector<double> failed;
  std::vector<double> rejected;
  std::vector<double> latencies;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const Planner& other = planners_[i];
    if (!accepts_requests(static_cast<int>(i))) continue;
    ++baseline.planners_up;
    const bool comparable = static_cast<int>(i) != planner && other.outcomes.total >= options_.min_outcomes &&
                            other.ejected_until <= now;
    if (!comparable) continue;
    failed.push_back(other.outcomes.failed_share());
    rejected.push_back(other.outcomes.rejected_share());
    if (other.outcomes.mean_latency > 0) latencies.push_back(other.outcomes.mean_latency);
  }
  if (failed.empty()) return std::nullopt;
  baseline.failed_share = median(std::move(failed));
  baseline.rejected_share = median(std::move(rejected));
  baseline.latency = median(std::move(latencies));
  return baseline;
}

bool Picker::is_outlier(const Outcomes& outcomes, const Baseline& others) const {
  const bool fails = outcomes.failed_share() - others.failed_share > options_.failure_share_margin;
  const bool rejects_all = outcomes.rejected_share() > kRejectsAllShare &&
                           others.rejected_share < kRejectsAllShare - options_.failure_share_margin;
  const bool slow = others.latency > 0 &&
                    outcomes.mean_latency > std::max(kMinSlowSeconds, options_.slow_factor * others.latency);
  return fails || rejects_all || slow;
}

// A planner that accepts requests and never answers, rejects everything or is many times slower than the
// others would otherwise look idle and attract requests. It is compared with the others, because ejecting it
// gains nothing if all perform badly.
void Picker::eject_if_outlier(int planner, double now) {
  Planner& suspect = at(planner);
  if (!suspect.is_up || suspect.ejected_until > now || suspect.outcomes.total < options_.min_outcomes) return;
  const std::optional<Baseline> others = baseline_without(planner, now);
  if (!others || !is_outlier(suspect.outcomes, *others)) return;
  if (ejected_count(now) + 1 > options_.max_ejected_share * others->planners_up) return;
  const double factor = std::exp2(std::min(suspect.ejections_in_a_row, kMaxEjectionDoublings));
  suspect.ejected_until =
      now + std::min(options_.max_ejection_seconds, options_.base_ejection_seconds * factor);
  ++suspect.ejections_in_a_row;
  ++ejections_;
  suspect.outcomes = {};
  suspect.slow_start_from = suspect.ejected_until;
}

int Picker::ejected_count(double now) const {
  return static_cast<int>(std::count_if(planners_.begin(), planners_.end(), [&](const Planner& planner) {
    return planner.is_up && planner.is_listed && planner.ejected_until > now;
  }));
}

// The part of the window that slow start allows.
double Picker::effective_window(const Planner& planner, double now) const {
  if (planner.window == 0) return 0;
  const double progress =
      options_.slow_start_seconds <= 0 ? 1 : (now - planner.slow_start_from) / options_.slow_start_seconds;
  const double first = options_.initial_window_share;
  const double share = std::clamp(first + (1 - first) * progress, first, 1.0);
  return std::max(1.0, share * planner.window);
}

// Rejected attempts keep using capacity during their cooldown. A cold or full planner that rejects
// immediately would otherwise also free its capacity immediately, and many forwarders could flood it within
// its windows.
int Picker::free_capacity(int planner, double now) const {
  if (!accepts_requests(planner) || is_ejected(planner, now)) return 0;
  const Planner& candidate = at(planner);
  const auto& cooldowns = candidate.cooldowns;
  const auto cooling = cooldowns.end() - std::upper_bound(cooldowns.begin(), cooldowns.end(), now);
  return std::max(
      0, static_cast<int>(effective_window(candidate, now)) - candidate.open - static_cast<int>(cooling));
}

int Picker::lookup_capacity(int planner, double now) const {
  if (!is_reachable(planner)) return 0;
  return std::max(0, static_cast<int>(effective_window(at(planner), now)) - at(planner).open);
}

bool Picker::accepts_requests(int planner) const {
  const Planner& candidate = at(planner);
  return candidate.is_up && candidate.is_listed && !candidate.is_draining;
}

bool Picker::any_accepts_requests() const {
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    if (accepts_requests(static_cast<int>(i))) return true;
  }
  return false;
}

// The utilization of the effective window with one more attempt.
double Picker::utilization(int planner, double now) const {
  const double window = effective_window(at(planner), now);
  return window <= 0 ? kNoCapacityUtilization : (at(planner).open + 1) / window;
}

// A healthy planner comes before an unhealthy one; then the one whose next free slot has the lower value,
// because the request displaces less important requests there; then the less utilized one.
bool Picker::is_better(int a, int b, double now) const {
  const Planner& first = at(a);
  const Planner& second = at(b);
  if (first.is_healthy != second.is_healthy) return first.is_healthy;
  if (std::abs(first.slot_value - second.slot_value) > kSlotValueTolerance)
    return first.slot_value < second.slot_value;
  return utilization(a, now) < utilization(b, now);
}

// The planner with the highest hash of key and name among those within their load bound; if there is none,
// the least utilized planner.
std::optional<int> Picker::pick_by_key(std::uint64_t key, double now,
                                       const std::vector<int>& candidates) const {
  double open = 1;
  double windows = 0;
  for (const int planner : candidates) {
    open += at(planner).open;
    windows += effective_window(at(planner), now);
  }
  std::optional<int> best;
  std::optional<int> least_utilized;
  std::uint64_t best_rank = 0;
  for (const int planner : candidates) {
    const std::array<std::uint64_t, 2> pair = {key, at(planner).name_hash};
    const std::uint64_t rank = XXH3_64bits(pair.data(), sizeof pair);
    if (!least_utilized || utilization(planner, now) < utilization(*least_utilized, now))
      least_utilized = planner;
    const double bound = std::ceil(options_.load_bound * open * effective_window(at(planner), now) / windows);
    if (at(planner).open + 1 > bound) continue;
    if (best && rank <= best_rank) continue;
    best = planner;
    best_rank = rank;
  }
  return best ? best : least_utilized;
}

std::optional<int> Picker::pick(std::uint64_t key, double now, const std::function<double()>& random,
                                std::optional<int> exclude) {
  std::vector<int> candidates;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (planner != exclude.value_or(-1) && free_capacity(planner, now) > 0) candidates.push_back(planner);
  }
  if (candidates.empty()) return std::nullopt;
  if (key != 0) return pick_by_key(key, now, candidates);
  if (candidates.size() == 1) return candidates.front();
  const auto draw = [&](std::size_t count) {
    return std::min(count - 1, static_cast<std::size_t>(random() * static_cast<double>(count)));
  };
  const std::size_t first = draw(candidates.size());
  std::size_t second = draw(candidates.size() - 1);
  if (second >= first) ++second;
  return is_better(candidates[second], candidates[first], now) ? candidates[second] : candidates[first];
}

}  // namespace damsonspoke::tier
