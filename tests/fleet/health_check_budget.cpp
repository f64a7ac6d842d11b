// The health check budget of a fleet over random histories of faults, by seed. CTest compares with
// tests/traces/fleet_CASE.txt. usage: health_check_budget - CASE
#include "fleet/health_check_budget.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "scenarios.h"

using namespace damsonspoke::fleet;

namespace {

constexpr double kTickSeconds = 0.1;
constexpr int kTicks = 1200;
constexpr int kFirstFaultTick = 100;
constexpr int kHealTick = 1000;
constexpr double kWindowSeconds = 5;  // in which checks are counted

std::string instance_name(int number) { return fmt::format("n{}", number); }

// Instances whose views of the fleet are updated late, each with its own delay, and may be wrong for some
// time.
class SimulatedFleet {
 public:
  SimulatedFleet(int count, std::uint64_t seed) : random_(seed), count_(count) {
    instances_.resize(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      Instance& instance = at(i);
      instance.budget = std::make_unique<HealthCheckBudget>(HealthCheckBudgetOptions(), instance_name(i));
      instance.view_delay = 0.2 + 2 * random_unit();
      instance.budget->set_usable(usable_to(i), 0);
    }
  }

  double random_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }
  HealthCheckBudget& budget(int number) { return *at(number).budget; }

  void draw_fault(double now) {
    const int instance = static_cast<int>(random_unit() * count_);
    const double kind = random_unit();
    has_changed_ = true;
    if (kind < 0.4)
      at(instance).is_up = !at(instance).is_up;
    else if (kind < 0.6)
      at(instance).paused_until = now + 5 * random_unit();
    else if (kind < 0.8)
      is_split_ = !is_split_;
    else
      sees_no_others_ = !sees_no_others_;
  }
  void stop(int number) {
    at(number).is_up = false;
    has_changed_ = true;
  }
  void heal() {
    is_split_ = false;
    sees_no_others_ = false;
    has_changed_ = true;
  }

  void step(double now) {
    for (int i = 0; i < count_; ++i) {
      Instance& instance = at(i);
      update_view(i, now);
      if (instance.is_up && now >= instance.paused_until && instance.budget->try_check("ledger", now))
        checks_.push_back(now);
    }
    has_changed_ = false;
    while (!checks_.empty() && checks_.front() < now - kWindowSeconds) checks_.pop_front();
    max_checks_ = std::max(max_checks_, static_cast<double>(checks_.size()));
  }

  // The times of the checks in the last window, and the maximum number in any window.
  [[nodiscard]] const std::deque<double>& checks() const { return checks_; }
  [[nodiscard]] double max_checks() const { return max_checks_; }

 private:
  using View = std::vector<std::string>;
  struct Instance {
    std::unique_ptr<HealthCheckBudget> budget;
    bool is_up = true;
    double paused_until = 0;
    double view_delay = 0;
    double view_taken_at = -10;
    std::deque<std::pair<double, View>> delayed_views;  // with the times at which they take effect
  };

  Instance& at(int number) { return instances_[static_cast<std::size_t>(number)]; }

  View usable_to(int number) {
    View names;
    for (int i = 0; i < count_; ++i) {
      const bool is_same_side = !is_split_ || number % 3 == i % 3;
      if (at(i).is_up && is_same_side && !sees_no_others_) names.push_back(instance_name(i));
    }
    return names;
  }

  void update_view(int number, double now) {
    Instance& instance = at(number);
    if (has_changed_ || now - instance.view_taken_at > 5) {
      instance.delayed_views.emplace_back(now + instance.view_delay, usable_to(number));
      instance.view_taken_at = now;
    }
    while (!instance.delayed_views.empty() && instance.delayed_views.front().first <= now) {
      instance.budget->set_usable(instance.delayed_views.front().second, now);
      instance.delayed_views.pop_front();
    }
  }

  pcg64 random_;
  const int count_;
  bool is_split_ = false;
  bool sees_no_others_ = false;
  bool has_changed_ = true;
  std::vector<Instance> instances_;
  std::deque<double> checks_;
  double max_checks_ = 0;
};

double max_checks(int count, std::uint64_t seed) {
  SimulatedFleet fleet(count, seed);
  for (int tick = 0; tick < kTicks; ++tick) {
    const double now = tick * kTickSeconds;
    if (tick > kFirstFaultTick && tick < kHealTick && fleet.random_unit() < 0.02) fleet.draw_fault(now);
    if (tick == kHealTick) fleet.heal();
    fleet.step(now);
  }
  return fleet.max_checks();
}

int seeds_for(int count) {
  if (count > 100) return 1;
  return count > 20 ? 5 : 40;
}

void bound() {
  double max = 0;
  const HealthCheckBudgetOptions options;
  for (const int count : {3, 12, 60, 300}) {
    double max_of_size = 0;
    for (int seed = 1; seed <= seeds_for(count); ++seed)
      max_of_size = std::max(max_of_size, max_checks(count, static_cast<std::uint64_t>(seed)));
    max = std::max(max, max_of_size);
    if (std::getenv("FLEET_TRACE") != nullptr) std::fprintf(stderr, "%d: %.0f\n", count, max_of_size);
  }
  // Each checker may have one accumulated check.
  say("3 to 300 instances together never exceed the rate plus one check per former and new checker in any 5 "
      "s",
      max <= options.checks_per_second * kWindowSeconds + 2 * options.checkers);
}

void same_rate() {
  for (const int count : {4, 12, 300}) {
    SimulatedFleet fleet(count, 7);
    int sent = 0;
    for (int tick = 0; tick < 400; ++tick) {
      const double now = tick * kTickSeconds;
      fleet.step(now);
      if (tick >= 100)
        sent += static_cast<int>(std::count(fleet.checks().begin(), fleet.checks().end(), now));
    }
    std::printf("%d instances together: %.1f checks per second\n", count, sent / 30.0);
  }
}

void say_takeover_after_a_death() {
  SimulatedFleet fleet(12, 3);
  for (int tick = 0; tick < 100; ++tick) fleet.step(tick * kTickSeconds);
  const std::vector<std::string> before = fleet.budget(0).checkers("ledger");
  const int dead = std::stoi(before[0].substr(1));
  fleet.stop(dead);
  for (int tick = 100; tick < 200; ++tick) fleet.step(tick * kTickSeconds);
  const int watcher = dead == 0 ? 1 : 0;
  const std::vector<std::string> after = fleet.budget(watcher).checkers("ledger");
  const auto remaining = std::count_if(after.begin(), after.end(), [&](const std::string& name) {
    return std::find(before.begin(), before.end(), name) != before.end();
  });
  say("another instance replaces a dead checker, the others stay", remaining == 3 && after.size() == 4);
  say("health checks continue", fleet.checks().size() >= 12);
  say("another dependency has other checkers", fleet.budget(watcher).checkers("rates") != after);
}

void say_waits_before_checking() {
  HealthCheckBudget started(HealthCheckBudgetOptions(), "x");
  started.set_usable({}, 0);
  bool is_early = false;
  for (int i = 0; i < 29; ++i) is_early |= started.try_check("ledger", i * kTickSeconds);
  say("an instance that has just started sends no checks yet", !is_early);
  std::vector<std::string> others;
  others.reserve(30);
  for (int i = 0; i < 30; ++i) others.push_back(instance_name(i));
  HealthCheckBudget successor(HealthCheckBudgetOptions(), "n30");
  successor.set_usable(others, 0);
  const bool is_idle = successor.checks_per_second("ledger", 10) == 0;
  successor.set_usable({}, 10);
  const bool waits =
      successor.checks_per_second("ledger", 10) == 0 && successor.checks_per_second("ledger", 12.9) == 0;
  say("a new checker waits before it sends checks",
      is_idle && waits && successor.checks_per_second("ledger", 13.1) > 0);
}

void takeover() {
  say_takeover_after_a_death();
  say_waits_before_checking();
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused,
                      {{"bound", bound}, {"same_rate", same_rate}, {"takeover", takeover}});
}
