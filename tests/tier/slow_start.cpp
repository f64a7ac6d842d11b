// What all forwarders together send to a cold planner, beside its budget of N: beyond it 2 sqrt(N) + 2 are
// put down to chance. CTest compares with tests/traces/cold_NAME.txt. usage: cold_parts BINARY SCENARIO
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <vector>

#include "callers.h"
#include "fleet.h"
#include "forwarder.h"
#include "planner.h"
#include "scenarios.h"
#include "tier/concurrency_windows.h"
#include "tier/picker.h"
#include "tier/slow_start_shares.h"

using namespace damsonspoke;
using namespace damsonspoke::standins;

namespace {

std::string binary;

double chance_over(double budget) { return 2 * std::sqrt(budget) + 2; }

// ---- The policy alone: forwarders that always have something to send, parts that are heard late, attempts
// on their way, forwarders that die and others that join.
class History {
 public:
  History(int forwarders, std::uint64_t seed, bool rejections, double slow_start_seconds)
      : random_(seed), wanted_(forwarders), rejections_(rejections), cold_time_(slow_start_seconds) {}

  void play(double seconds) {
    for (now_ = 0; now_ < seconds; now_ += kStep) {
      budget_ = tier::slow_start_budget(kCores, kFrom, cold_time_, now_);
      come_and_go();
      planner_looks();
      hear();
      send();
      finish();
      judge();
    }
  }
  double worst_over = -1e9;    // attempts beyond the budget, of any instant
  double worst_chance = -1e9;  // and beyond what is put down to chance
  double longest_none = 0;     // s in which a forwarder sent nothing, of any
  std::uint64_t sent = 0;

 private:
  static constexpr double kStep = 0.01, kFrom = 0.2, kLate = 0.2, kWay = 0.04;
  static constexpr int kCores = 2;
  struct Forwarder {
    tier::Picker picker{terms(), {"p"}};
    std::vector<std::pair<double, std::uint32_t>> words;  // on their way to it
    double last_sent = 0;
    std::uint32_t told = 0;
  };
  struct Attempt {
    std::uint64_t forwarder = 0;
    double comes = 0, ends = 0;
  };
  static tier::PickerOptions terms() {
    tier::PickerOptions terms;
    terms.rejection_cooldown_seconds = 0.25;  // as forwarders have it
    return terms;
  }
  double uniform() { return static_cast<double>(random_()) / 4294967296.0; }

  void come_and_go() {
    while (static_cast<int>(forwarders_.size()) < wanted_ && (now_ < kStep || uniform() < 0.5)) {
      const std::uint64_t id = next_++;
      auto& one = forwarders_[id];
      one = std::make_unique<Forwarder>();
      one->picker.on_link_up(0, 0, now_);
      one->last_sent = now_;
      parts_.add(id);
    }
    if (uniform() < 0.02 && forwarders_.size() > 1) {  // what it has open goes on
      auto gone = std::next(forwarders_.begin(),
                            static_cast<long>(random_(static_cast<unsigned>(forwarders_.size()))));
      parts_.remove(gone->first, now_);
      forwarders_.erase(gone);
    }
  }
  void planner_looks() {
    if (now_ < next_look_) return;
    next_look_ = now_ + 0.05;
    parts_.rebalance(now_, budget_, [this](std::uint64_t id) {
      return static_cast<std::size_t>(
          std::count_if(attempts_.begin(), attempts_.end(),
                        [&](const Attempt& a) { return a.forwarder == id && a.comes <= now_; }));
    });
    for (auto& [id, one] : forwarders_) {
      if (parts_.share(id) == one->told) continue;
      one->told = parts_.share(id);
      const double at = std::max(now_ + kLate * uniform(), one->words.empty() ? 0 : one->words.back().first);
      one->words.emplace_back(at, one->told);
    }
  }
  void hear() {
    for (auto& [id, one] : forwarders_) {
      for (const auto& [at, part] : one->words) {
        if (at <= now_) one->picker.on_load_report(0, part, 0, true);
      }
      std::erase_if(one->words, [&](const auto& word) { return word.first <= now_; });
    }
  }
  void send() {
    for (auto& [id, one] : forwarders_) {
      while (one->picker.pick(0, now_, [this] { return uniform(); })) {
        one->picker.on_attempt_sent(0);
        const double comes = now_ + kWay * uniform();
        attempts_.push_back(
            {id, comes, comes + (rejections_ ? 0.001 : 0.02 + (uniform() < 0.3 ? 2.0 : 0.3) * uniform())});
        one->last_sent = now_;
        ++sent;
        came_.push_back(comes);
      }
      longest_none = std::max(longest_none, now_ - one->last_sent);
    }
  }
  void finish() {
    std::erase_if(attempts_, [&](const Attempt& a) {
      if (a.ends > now_) return false;
      const auto found = forwarders_.find(a.forwarder);
      if (found != forwarders_.end())
        found->second->picker.on_attempt_ended(
            0, rejections_ ? tier::AttemptOutcome::kRejected : tier::AttemptOutcome::kSucceeded, 0.1, now_);
      return true;
    });
  }
  void judge() {
    // Nacked at once, an attempt still counts for the quarter of a second in which its room rests.
    std::erase_if(came_, [&](double at) { return at < now_ - 0.25; });
    const double open =
        rejections_ ? static_cast<double>(came_.size()) : static_cast<double>(attempts_.size());
    worst_over = std::max(worst_over, open - budget_);
    worst_chance = std::max(worst_chance, open - budget_ - chance_over(budget_));
  }

  pcg32 random_;
  const int wanted_;
  const bool rejections_;
  const double cold_time_;  // s
  double now_ = 0, budget_ = 0, next_look_ = 0;
  std::uint64_t next_ = 1;
  tier::SlowStartShares parts_;
  std::map<std::uint64_t, std::unique_ptr<Forwarder>> forwarders_;
  std::vector<Attempt> attempts_;
  std::vector<double> came_;
};

void histories() {
  for (const double slow_start_seconds : {8.0, 60.0}) {
    for (const bool rejections : {false, true}) {
      for (const int forwarders : {1, 5, 20, 30}) {
        double over = -1e9, beyond = -1e9, none = 0;
        std::uint64_t least = ~std::uint64_t{0};
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
          History history(forwarders, seed, rejections, slow_start_seconds);
          history.play(10);
          over = std::max(over, history.worst_over);
          beyond = std::max(beyond, history.worst_chance);
          none = std::max(none, history.longest_none);
          least = std::min(least, history.sent);
        }
        const auto told = [](bool good, double value) {
          return good ? "yes" : fmt::format("NO, {:.1f}", value);
        };
        // What is rejected may come a little sooner than it went, as ways differ: that is put down to chance.
        fmt::print(
            "cold for {:.0f} s, {} forwarders, {}: within the budget{}: {}; nobody without for 6 s: {}; "
            "used: {}\n",
            slow_start_seconds, forwarders, rejections ? "all nacked" : "all served",
            rejections ? " and chance" : "",
            told((rejections ? beyond : over) <= 0, rejections ? beyond : over), told(none < 6, none),
            told(least > 100, static_cast<double>(least)));
      }
    }
  }
}

// Forwarders that come back under new lives without end leave nothing behind, warm or cold.
void lives() {
  for (const bool cold : {false, true}) {
    tier::ConcurrencyWindows windows({2, 0.2, 1e9});
    windows.on_runtime_started(cold, 0);
    std::size_t most = 0;
    for (std::uint64_t life = 1; life <= 10000; ++life) {
      const double now = static_cast<double>(life) * 0.05;
      windows.add_forwarder(life);
      if (life > 1) windows.remove_forwarder(life - 1, now);
      windows.rebalance(now, [](std::uint64_t) { return std::size_t{0}; });
      most = std::max(most, windows.tracked_forwarders());
    }
    say(fmt::format("{}: ten thousand lives, a few known at a time", cold ? "cold" : "warm"), most < 20);
  }
}

// ---- Real forwarders, each with callers of its own that ask for more than there is, before one planner that
// counts.
void processes() {
  for (const PlannerManner manner : {PlannerManner::kSound, PlannerManner::kRejections}) {
    constexpr int forwarder_count = 20;
    constexpr double budget = 12;
    Loop loop;
    Journal journal;
    journal.lives.emplace_back().began = now();
    Planner::Options how;
    how.manner = manner;
    how.takes = 0.1;
    how.cold = budget;
    Planner planner(loop, journal, how);
    Callers::Options load;
    Flow pull{"pull", 400, 1};
    load.flows = {pull};
    load.connections = 4;
    Callers callers(loop, journal, load);
    std::vector<std::unique_ptr<Server>> forwarders;
    for (int i = 0; i < forwarder_count; ++i) {
      SiteSpec spec;
      spec.types = {{"pull", "retryable", 1, 2, 0, 1}};
      spec.command = "forward";
      spec.name = fmt::format("f{}", i + 1);
      spec.operators = fmt::format("forward\n    planners {}\n", planner.address());
      forwarders.push_back(
          std::make_unique<Server>(loop, journal, callers, binary, spec, Runtime::Options{}, i));
      if (!forwarders.back()->start()) std::printf("a forwarder does not start\n");
    }
    const bool linked = loop.run_until([&] { return planner.linked() == forwarder_count; }, 20);
    loop.run_for(1);
    const std::uint64_t before = planner.taken();
    loop.run_for(4);
    const double a_second = static_cast<double>(planner.taken() - before) / 4;
    say("twenty processes are linked", linked);
    say(fmt::format("{}: open at once within {} and chance",
                    manner == PlannerManner::kRejections ? "all nacked" : "all served", budget),
        static_cast<double>(planner.most_open()) <= budget + chance_over(budget));
    // A rejected attempt keeps its room for a quarter of a second: four times the budget a second, and
    // chance.
    if (manner == PlannerManner::kRejections)
      say("sent within four budgets a second and chance", a_second <= 4 * budget + chance_over(4 * budget));
    say("every one of them has sent some", planner.fewest_sent() >= 1);
    say("the budget is used", a_second > budget);
    std::fprintf(stderr, "most open %zu, %.1f a second, fewest sent %llu\n", planner.most_open(), a_second,
                 static_cast<unsigned long long>(planner.fewest_sent()));
  }
}

// A real planner that comes up cold, and what it tells twenty forwarders, who come one after the other and of
// whom some go.
void planner() {
  constexpr double initial_speed = 0.2, warm_up_seconds = 4;
  constexpr int link_count = 20;
  Loop loop;
  Journal journal;
  Callers callers(loop, journal, {});
  SiteSpec spec;
  spec.types = {{"read", "retryable", 1, 2, 0, 1}};
  spec.command = "plan";
  spec.slow_start_speed = initial_speed;
  spec.slow_start_seconds = warm_up_seconds;
  Runtime::Options work;
  work.slow_start_speed = initial_speed;
  work.slow_start_seconds = warm_up_seconds;
  Server server(loop, journal, callers, binary, spec, work);
  say("starts", server.start());
  const double began = now();  // its runtime began before: the budget reckoned from here is the smaller one
  std::vector<std::unique_ptr<ScriptedForwarder>> links;
  std::set<std::size_t> had;
  double over = -1e9;
  const auto watch = [&](double seconds) {
    for (const double until = now() + seconds; now() < until;) {
      loop.run_for(0.01);
      double sum = 0;
      for (std::size_t i = 0; i < links.size(); ++i) {
        if (!links[i]) continue;
        sum += links[i]->window;
        if (links[i]->window > 0) had.insert(i);
      }
      const double age = now() - began;
      const double budget =
          damsonspoke::tier::slow_start_budget(spec.cores, initial_speed, warm_up_seconds, age + 0.5);
      if (age < warm_up_seconds - 0.5) over = std::max(over, sum - budget - chance_over(budget));
    }
  };
  const std::uint16_t port = server.port();
  for (int i = 0; i < link_count; ++i) {
    links.push_back(std::make_unique<ScriptedForwarder>(loop, port));
    links.back()->hello(fmt::format("f{}", i).c_str(), 7);
    watch(0.02);
  }
  for (int i = 0; i < 10; ++i) {
    for (const auto& link : links) {
      if (link) link->send(damsonspoke::wire::tier::Ping{1});
    }
    watch(0.25);
    if (i == 4) links[3].reset(), links[7].reset();
  }
  say("what they are told sums to the budget and chance at most", over <= 0);
  say("every one of them had a part", had.size() == link_count);
  for (int i = 0; i < 12; ++i) {
    for (const auto& link : links) {
      if (link) link->send(damsonspoke::wire::tier::Ping{1});
    }
    loop.run_for(0.25);
  }
  bool wide = true;
  for (const auto& link : links) wide &= !link || link->window >= 4;
  say("warm, each has its window", wide);
  say("leaves in order", server.leave());
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(
      argc, argv, binary,
      {{"histories", histories}, {"lives", lives}, {"processes", processes}, {"planner", planner}});
}
