// The retry budget of a fleet over random histories, by seed. CTest compares with
// tests/traces/fleet_CASE.txt. usage: retry_budget - CASE
#include "fleet/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "scenarios.h"

using namespace damsonspoke::fleet;

namespace {

constexpr double kStepSeconds = 0.05;
constexpr double kShare = 0.1;  // of first attempts, the default

// Instances that need far more retries than they may make, some of them with few first attempts of their own,
// in a network that loses and delays leases and splits.
class SimulatedFleet {
 public:
  SimulatedFleet(int count, std::uint64_t seed, bool leases) : random_(seed), leases_(leases) {
    for (int i = 0; i < count; ++i) {
      Instance instance;
      instance.first_attempts_per_second = i % 5 == 0 ? 40 * random_unit() : 4 * random_unit();
      instance.retries_per_second = i % 3 == 0 ? 30 * random_unit() : 0.2;
      instances_.push_back(instance);
    }
  }

  // Leases arrive within `max_delay` seconds; `lost_share` of them is lost.
  void set_network(double lost_share, double max_delay) {
    lost_share_ = lost_share;
    max_delay_ = max_delay;
  }
  void toggle_split() { is_split_ = !is_split_; }

  void step(double now) {
    while (!in_delivery_.empty() && in_delivery_.begin()->first <= now) {
      in_delivery_.begin()->second(now);
      in_delivery_.erase(in_delivery_.begin());
    }
    for (Instance& instance : instances_) make_attempts(instance, now);
    if (!leases_ || now < next_lease_at_) return;
    next_lease_at_ = now + 2;
    for (std::size_t i = 0; i < instances_.size(); ++i) lease_from(i, now);
  }

  [[nodiscard]] const std::vector<double>& first_attempts() const { return first_attempts_; }
  [[nodiscard]] const std::vector<double>& retries() const { return retries_; }

 private:
  struct Instance {
    FleetRetryBudget budget{FleetRetryBudgetOptions()};
    double first_attempts_per_second = 0;
    double retries_per_second = 0;
  };

  double random_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

  void make_attempts(Instance& instance, double now) {
    if (random_unit() < instance.first_attempts_per_second * kStepSeconds) {
      instance.budget.record_first_attempt(now);
      first_attempts_.push_back(now);
    }
    if (random_unit() < instance.retries_per_second * kStepSeconds && instance.budget.try_retry(now))
      retries_.push_back(now);
  }

  void lease_from(std::size_t lender, double now) {
    std::map<std::string, double> wanted;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i != lender && (!is_split_ || lender % 2 == i % 2))
        wanted[std::to_string(i)] = instances_[i].budget.wanted_per_second(now);
    }
    for (const FleetRetryBudget::Lease& lease : instances_[lender].budget.lease(wanted, now)) {
      if (random_unit() < lost_share_) continue;
      const double arrives_at = now + max_delay_ * random_unit();
      Instance& borrower = instances_[std::stoul(lease.to)];
      in_delivery_.emplace(arrives_at,
                           [&borrower, rate = lease.retries_per_second, leased_at = now](double then) {
                             borrower.budget.on_lease(rate, then - leased_at, then);
                           });
    }
  }

  pcg64 random_;
  const bool leases_;
  bool is_split_ = false;
  double next_lease_at_ = 0;
  double lost_share_ = 0.2;
  double max_delay_ = 4;
  std::vector<Instance> instances_;
  std::multimap<double, std::function<void(double)>> in_delivery_;
  std::vector<double> first_attempts_;  // times
  std::vector<double> retries_;
};

double count_between(const std::vector<double>& times, double from, double to) {
  return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                             std::lower_bound(times.begin(), times.end(), from));
}

// Checks each window of 10 s and the whole run: the retries are at most the share of the first attempts in
// the window and in the preceding averaging time, plus one accumulated retry per instance.
bool stays_within_budget(int count, std::uint64_t seed) {
  SimulatedFleet fleet(count, seed, true);
  for (int tick = 0; tick < 1200; ++tick) {
    if (tick % 200 == 150) fleet.toggle_split();
    fleet.step(tick * kStepSeconds);
  }
  for (int from = 0; from < 50; ++from) {
    const double retries = count_between(fleet.retries(), from, from + 10);
    const double first_attempts = count_between(fleet.first_attempts(), from - 10, from + 10);
    if (retries > kShare * first_attempts + count) return false;
  }
  return static_cast<double>(fleet.retries().size()) <=
         kShare * static_cast<double>(fleet.first_attempts().size()) + count;
}

void retry_share() {
  bool holds = true;
  for (const int count : {3, 30, 300}) {
    const std::uint64_t seeds = count > 100 ? 1 : 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) holds &= stays_within_budget(count, seed);
  }
  say("the retries of the fleet stay within their share of first attempts despite lost or late leases and "
      "splits",
      holds);
}

void say_leases_help() {
  SimulatedFleet without_leases(30, 5, false);
  SimulatedFleet with_leases(30, 5, true);
  with_leases.set_network(0, 0.3);
  for (int tick = 0; tick < 1200; ++tick) {
    without_leases.step(tick * kStepSeconds);
    with_leases.step(tick * kStepSeconds);
  }
  const std::size_t alone = without_leases.retries().size();
  const std::size_t together = with_leases.retries().size();
  if (std::getenv("FLEET_TRACE") != nullptr)
    std::fprintf(stderr, "%zu alone, %zu with leases\n", alone, together);
  say("instances that need more retries get the unused budget of others",
      static_cast<double>(together) > 1.2 * static_cast<double>(alone));
}

void say_lender_keeps_a_part() {
  FleetRetryBudget lender{FleetRetryBudgetOptions()};
  for (int i = 0; i < 100; ++i) lender.record_first_attempt(i * 0.1);
  const double own = lender.own_per_second(10);
  const std::vector<FleetRetryBudget::Lease> leases = lender.lease({{"x", 100}}, 10);
  const double leased = lender.leased_per_second(10);
  say("a lender keeps a part of its budget", !leases.empty() && leased > 0.5 * own && leased < 0.8 * own);
  say("the leased part returns to the lender later",
      lender.leased_per_second(17.9) > 0 && lender.leased_per_second(18.1) == 0);
}

void say_late_leases_are_ignored() {
  FleetRetryBudget borrower{FleetRetryBudgetOptions()};
  borrower.on_lease(100, 3.5, 0);
  borrower.on_lease(std::nan(""), 0, 0);
  int retries = 0;
  for (int i = 0; i < 20; ++i) retries += borrower.try_retry(0.1 * i) ? 1 : 0;
  say("a lease that is late or not a number is ignored", retries == 0);
}

void say_leased_retries_are_not_used() {
  FleetRetryBudget lender{FleetRetryBudgetOptions()};
  FleetRetryBudget idle{FleetRetryBudgetOptions()};
  int lender_retries = 0;
  bool has_leased = false;
  double now = 0;
  for (int i = 0; i < 2000; ++i) {
    now = i * 0.01;
    lender.record_first_attempt(now);
    idle.record_first_attempt(now);
    if (i == 1000) has_leased = !lender.lease({{"x", 1000}}, now).empty();
    if (i >= 1100 && i < 1700) lender_retries += lender.try_retry(now) ? 1 : 0;
  }
  int saved_retries = 0;
  while (idle.try_retry(now)) ++saved_retries;
  say("a lender does not use what it has leased", has_leased && lender_retries < 35);
  say("at most one second of the budget accumulates", saved_retries > 5 && saved_retries < 12);
}

void leases() {
  say_leases_help();
  say_lender_keeps_a_part();
  say_late_leases_are_ignored();
  say_leased_retries_are_not_used();
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused, {{"retry_share", retry_share}, {"leases", leases}});
}
