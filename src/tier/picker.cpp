#include "tier/picker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace damsonspoke::tier {
namespace {

constexpr double kForget = 64;  // ends after which counts are halved: a planner is judged by what it does now
constexpr double kTookMemory = 16;  // ends
constexpr double kWorthStep =
    0.25;  // of importance; smaller differences of slots are noise, fullness decides
constexpr double kAllRejected =
    0.95;  // share over which a planner that the others do not resemble serves nobody
constexpr double kLeastSlow = 0.05;  // s; under it nothing is slow, whatever the others do

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

Picker::Picker(PickerOptions terms, std::vector<std::string> names) : terms_(terms) {
  for (std::string& name : names) add(std::move(name), 0);
}

int Picker::add(std::string name, double /*now*/) {
  Planner p;
  p.hash = XXH3_64bits(name.data(), name.size());
  p.name = std::move(name);
  planners_.push_back(std::move(p));
  return static_cast<int>(planners_.size()) - 1;
}
void Picker::remove(int planner) { at(planner).wanted = false; }
void Picker::restore(int planner) { at(planner).wanted = true; }

// A planner that comes up is new to us, whatever it was: nothing of its former life is held against it.
void Picker::up(int planner, std::uint32_t window, double now) {
  Planner& p = at(planner);
  Planner fresh;
  fresh.name = p.name, fresh.hash = p.hash, fresh.wanted = p.wanted, fresh.open = p.open;
  fresh.up = true;
  fresh.window = window;
  fresh.up_since = now;
  p = std::move(fresh);
}
void Picker::down(int planner) { at(planner).up = false; }
void Picker::leaving(int planner) { at(planner).leaving = true; }
void Picker::window(int planner, std::uint32_t window, double slot_worth, bool good) {
  Planner& p = at(planner);
  p.window = window;
  p.slot_worth = slot_worth;
  p.good = good;
}

void Picker::sent(int planner) { ++at(planner).open; }
void Picker::let_go(int planner) { at(planner).open = std::max(0, at(planner).open - 1); }

void Picker::late(int planner, double now) {
  ++at(planner).open;
  ended(planner, AttemptOutcome::kBad, 0, now);
}

void Picker::ended(int planner, AttemptOutcome how, double took, double now) {
  let_go(planner);
  Planner& p = at(planner);
  if (p.ends >= kForget) p.ends /= 2, p.bad /= 2, p.rejected /= 2;
  p.ends += 1;
  p.bad += how == AttemptOutcome::kBad;
  p.rejected += how == AttemptOutcome::kRejected;
  while (!p.rests.empty() && p.rests.front() <= now) p.rests.pop_front();
  if (how == AttemptOutcome::kRejected && terms_.rejection_rest > 0)
    p.rests.push_back(now + terms_.rejection_rest);
  if (how == AttemptOutcome::kServed) {
    p.took += (took - p.took) / (p.took == 0 ? 1 : kTookMemory);
    p.ejected_in_a_row = p.ejected_until < now - terms_.eject_most ? 0 : p.ejected_in_a_row;
  }
  judge(planner, now);
}

// Outliers are told by the others: where all do badly, leaving one out helps nobody. Guards against a planner
// that accepts and never answers, fails or rejections everything, or is many times slower, and so looks
// empty.
void Picker::judge(int planner, double now) {
  Planner& p = at(planner);
  if (!p.up || p.ejected_until > now || p.ends < terms_.judged_over) return;
  std::vector<double> bad, rejected, took;
  int up = 0;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const Planner& other = planners_[i];
    if (!other.up || !other.wanted || other.leaving) continue;
    ++up;
    if (static_cast<int>(i) == planner || other.ends < terms_.judged_over || other.ejected_until > now)
      continue;
    bad.push_back(other.bad / other.ends);
    rejected.push_back(other.rejected / other.ends);
    if (other.took > 0) took.push_back(other.took);
  }
  if (bad.empty()) return;  // nobody to compare with
  const bool fails = p.bad / p.ends - median(bad) > terms_.bad_share;
  const bool refuses =
      p.rejected / p.ends > kAllRejected && median(rejected) < kAllRejected - terms_.bad_share;
  const bool slow = !took.empty() && p.took > std::max(kLeastSlow, terms_.slow_multiple * median(took));
  if (!fails && !refuses && !slow) return;
  if (ejected_now(now) + 1 > terms_.most_ejected * up) return;
  const double longer = std::exp2(std::min(p.ejected_in_a_row, 8));
  p.ejected_until = now + std::min(terms_.eject_most, terms_.eject_for * longer);
  ++p.ejected_in_a_row;
  ++ejections_;
  p.ends = p.bad = p.rejected = p.took = 0;
  p.up_since = p.ejected_until;  // and comes back slowly
}

int Picker::ejected_now(double now) const {
  return static_cast<int>(std::count_if(planners_.begin(), planners_.end(), [&](const Planner& p) {
    return p.up && p.wanted && p.ejected_until > now;
  }));
}

double Picker::effective(const Planner& p, double now) const {
  const double grown = terms_.slow_start <= 0 ? 1 : (now - p.up_since) / terms_.slow_start;
  const double share =
      std::clamp(terms_.first_share + (1 - terms_.first_share) * grown, terms_.first_share, 1.0);
  return p.window == 0 ? 0 : std::max(1.0, share * p.window);
}

// Guards against a planner that is cold, or full, and rejections at once: its room would come free at once
// too, and many forwarders together would send it a flood that no window bounds.
int Picker::resting(const Planner& p, double now) {
  return static_cast<int>(p.rests.end() - std::upper_bound(p.rests.begin(), p.rests.end(), now));
}

int Picker::credits(int planner, double now) const {
  const Planner& p = at(planner);
  if (!p.up || !p.wanted || p.leaving || p.ejected_until > now) return 0;
  return std::max(0, static_cast<int>(effective(p, now)) - p.open - resting(p, now));
}
int Picker::asking_room(int planner, double now) const {
  const Planner& p = at(planner);
  return answers(planner) ? std::max(0, static_cast<int>(effective(p, now)) - p.open) : 0;
}
bool Picker::takes(int planner, double now) const { return credits(planner, now) > 0; }

bool Picker::takes_requests(int planner) const {
  const Planner& p = at(planner);
  return p.up && p.wanted && !p.leaving;
}
bool Picker::any_up() const {
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    if (takes_requests(static_cast<int>(i))) return true;
  }
  return false;
}
int Picker::room(double now) const {
  int room = 0;
  for (std::size_t i = 0; i < planners_.size(); ++i) room += credits(static_cast<int>(i), now);
  return room;
}

double Picker::use(int planner, double now) const {
  const double whole = effective(at(planner), now);
  return whole <= 0 ? 1e9 : (at(planner).open + 1) / whole;
}

// A sound planner before one that says it is not; then the one whose next slot is worth less to the others
// (it turns nobody of worth away); then the emptier one.
bool Picker::better(int a, int b, double now) const {
  const Planner &of_a = at(a), &of_b = at(b);
  if (of_a.good != of_b.good) return of_a.good;
  if (std::abs(of_a.slot_worth - of_b.slot_worth) > kWorthStep) return of_a.slot_worth < of_b.slot_worth;
  return use(a, now) < use(b, now);
}

// The highest of a hash of key and planner; the next one where it has more than its share.
std::optional<int> Picker::by_key(std::uint64_t key, double now, const std::vector<int>& from) const {
  double open = 1, whole = 0;
  for (const int i : from) open += at(i).open, whole += effective(at(i), now);
  std::optional<int> best, fallback;
  std::uint64_t best_rank = 0;
  for (const int i : from) {
    const std::uint64_t pair[2] = {key, at(i).hash};
    const std::uint64_t rank = XXH3_64bits(pair, sizeof pair);
    if (!fallback || use(i, now) < use(*fallback, now)) fallback = i;
    const double bound = std::ceil(terms_.bounded_load * open * effective(at(i), now) / whole);
    if (at(i).open + 1 > bound) continue;
    if (!best || rank > best_rank) best = i, best_rank = rank;
  }
  return best ? best : fallback;
}

std::optional<int> Picker::pick(std::uint64_t key, double now, const std::function<double()>& chance,
                                std::optional<int> not_this) {
  std::vector<int> from;
  for (std::size_t i = 0; i < planners_.size(); ++i) {
    const int planner = static_cast<int>(i);
    if (planner != not_this.value_or(-1) && takes(planner, now)) from.push_back(planner);
  }
  if (from.empty()) return std::nullopt;
  if (key != 0) return by_key(key, now, from);
  if (from.size() == 1) return from.front();
  const auto draw = [&](std::size_t of) {
    return std::min(of - 1, static_cast<std::size_t>(chance() * static_cast<double>(of)));
  };
  const std::size_t first = draw(from.size());
  std::size_t second = draw(from.size() - 1);
  if (second >= first) ++second;
  return better(from[second], from[first], now) ? from[second] : from[first];
}

}  // namespace damsonspoke::tier
