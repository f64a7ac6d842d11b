// Random histories of faults in simulated fleets, by seed; a history that violates an invariant is reduced to
// a shorter one that still does. CTest compares with tests/traces/members_CASE.txt. usage: random_histories -
// CASE
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "scenarios.h"
#include "simulated_fleet.h"

using namespace damsonspoke::standins;
using namespace damsonspoke::members;

namespace {

constexpr int kZones = 3;
constexpr double kLastFaultEnds = 14;
// A fleet that has lost over half of its members declares deaths after a minute; seeds and dead members are
// contacted every 10 to 20 s.
constexpr double kSettled = 100;

double random_unit(pcg64& random) { return std::ldexp(static_cast<double>(random() >> 11), -53); }

struct FaultEvent {
  enum Kind { kKill, kStart, kPause, kCutZones, kHeal, kLeave, kLossy };
  static constexpr std::array<const char*, 7> kNames = {"kill", "start", "pause", "cut zones",
                                                        "heal", "leave", "lossy"};
  Kind kind = kKill;
  double at = 0;
  int node = 0;
  int zone = 0;
  double amount = 0;  // seconds of a pause, share of lost datagrams
  [[nodiscard]] std::string text() const {
    return fmt::format("at {:.2f} s {} {} {} {:.2f}", at, kNames.at(kind), node, zone, amount);
  }
};

std::vector<FaultEvent> draw_history(int count, std::uint64_t seed) {
  pcg64 random(seed * 977 + static_cast<std::uint64_t>(count));
  std::vector<FaultEvent> history;
  const int events = 1 + static_cast<int>(random() % 8);
  for (int i = 0; i < events; ++i) {
    FaultEvent event;
    event.kind = static_cast<FaultEvent::Kind>(random() % FaultEvent::kNames.size());
    event.at = 2 + 10 * random_unit(random);
    event.node = static_cast<int>(random() % static_cast<std::uint64_t>(count));
    event.zone = static_cast<int>(random() % kZones);
    event.amount = 2 * random_unit(random);
    if (event.kind == FaultEvent::kLossy) event.amount /= 20;
    history.push_back(event);
  }
  std::sort(history.begin(), history.end(),
            [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
  return history;
}

// A simulated fleet with the faults of one history.
class FaultyFleet {
 public:
  FaultyFleet(int count, std::uint64_t seed)
      : count_(count), sim_(fleet_options(count, seed)), random_(seed) {
    sim_.is_cut = [this](int from, int to) { return is_lost(from, to); };
    trace(sim_);
    sim_.start_all(true);
  }

  void play(const std::vector<FaultEvent>& history) {
    for (const FaultEvent& event : history) {
      sim_.run_until(event.at);
      apply(event);
    }
    sim_.run_until(kLastFaultEnds);
    cut_from_zone_ = -1;
    loss_ = 0;
    sim_.run_until(kSettled);
  }

  // Checks the invariants of every history: no member that is up is declared dead, except across a cut
  // between zones without a third zone to relay probes; a death is detected; after the last fault all views
  // agree. Returns the violation; empty if there is none.
  std::string broken_rule() {
    std::string difference;
    if (!sim_.views_agree(&difference)) return difference;
    if (sim_.false_deaths().empty() || (was_cut_ && count_ < 10)) return {};
    const auto& wrong = sim_.false_deaths().front();
    return fmt::format("{} is declared dead by {} at {:.2f} s but is up", sim_.name(wrong.of),
                       sim_.name(wrong.by), wrong.at);
  }

 private:
  bool is_lost(int from, int to) {
    if (loss_ > 0 && random_unit(random_) < loss_) return true;
    return cut_from_zone_ >= 0 && from % kZones == cut_from_zone_ &&
           to % kZones == (cut_from_zone_ + 1) % kZones;
  }

  void apply(const FaultEvent& event) {
    switch (event.kind) {
      case FaultEvent::kKill:
        // With less than half of the fleet up, no member may declare a death.
        if (up_count() > count_ / 2 + 1) sim_.kill(event.node);
        return;
      case FaultEvent::kStart: return sim_.start(event.node);
      case FaultEvent::kPause: return sim_.pause(event.node, event.amount);
      case FaultEvent::kCutZones:
        cut_from_zone_ = event.zone;
        was_cut_ = true;
        return;
      case FaultEvent::kHeal: cut_from_zone_ = -1; return;
      case FaultEvent::kLeave: return sim_.leave(event.node);
      case FaultEvent::kLossy: loss_ = event.amount; return;
    }
  }

  [[nodiscard]] int up_count() const {
    int up = 0;
    for (int i = 0; i < count_; ++i) up += sim_.is_up(i) ? 1 : 0;
    return up;
  }

  const int count_;
  MembersSim sim_;
  pcg64 random_;
  double loss_ = 0;
  int cut_from_zone_ = -1;
  bool was_cut_ = false;
};

std::string broken_rule(int count, std::uint64_t seed, const std::vector<FaultEvent>& history) {
  FaultyFleet fleet(count, seed);
  fleet.play(history);
  return fleet.broken_rule();
}

void reduce_and_print(int count, std::uint64_t seed, std::vector<FaultEvent> history, std::string rule) {
  for (std::size_t i = 0; i < history.size();) {
    std::vector<FaultEvent> shorter = history;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
    const std::string still_broken = broken_rule(count, seed, shorter);
    if (still_broken.empty()) {
      ++i;
      continue;
    }
    history = shorter;
    rule = still_broken;
  }
  std::printf("seed %llu, %d members: %s\n", static_cast<unsigned long long>(seed), count, rule.c_str());
  for (const FaultEvent& event : history) std::printf("  %s\n", event.text().c_str());
}

void histories(int count, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::vector<FaultEvent> history = draw_history(count, seed);
    const std::string rule = broken_rule(count, seed, history);
    if (!rule.empty()) return reduce_and_print(count, seed, history, rule);
  }
  std::printf("%d members, %d seeds: no violation\n", count, static_cast<int>(seeds));
}
void histories_3() { histories(3, 300); }
void histories_30() { histories(30, 15); }
void histories_300() { histories(300, 1); }

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(
      argc, argv, unused,
      {{"histories_3", histories_3}, {"histories_30", histories_30}, {"histories_300", histories_300}});
}
