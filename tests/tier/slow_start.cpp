// The attempts that all forwarders together send to a cold planner, compared with its budget of N. An excess
// of up to 2 sqrt(N) + 2 is tolerated as random variation. CTest compares the output with
// tests/traces/slow_start_NAME.txt. usage: tier_slow_start BINARY SCENARIO
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

double random_tolerance(double budget) { return 2 * std::sqrt(budget) + 2; }

// ---- The policy alone: forwarders that always have requests to send, load reports that arrive late,
// attempts in flight, forwarders that end and others that join.
class ForwarderSimulation {
 public:
  ForwarderSimulation(int forwarders, std::uint64_t seed, bool rejections, double slow_start_seconds)
      : random_(seed),
        target_count_(forwarders),
        rejections_(rejections),
        slow_start_seconds_(slow_start_seconds) {}

  void run(double seconds) {
    for (now_ = 0; now_ < seconds; now_ += kStepSeconds) {
      budget_ = tier::slow_start_budget(kCores, kInitialSpeed, slow_start_seconds_, now_);
      connect_and_disconnect();
      rebalance_shares();
      deliver_reports();
      send();
      finish();
      check_budget();
    }
  }
  double worst_over = -1e9;              // maximum excess of attempts over the budget at any time
  double worst_beyond_tolerance = -1e9;  // maximum excess over the budget and the tolerance
  double longest_idle_seconds = 0;       // longest time in which any forwarder sent nothing
  std::uint64_t sent = 0;

 private:
  static constexpr double kStepSeconds = 0.01, kInitialSpeed = 0.2, kMaxReportDelaySeconds = 0.2,
                          kMaxTransitSeconds = 0.04;
  static constexpr int kCores = 2;
  struct Forwarder {
    tier::Picker picker{picker_options(), {"p"}};
    std::vector<std::pair<double, std::uint32_t>> pending_reports;  // in flight to the forwarder
    double last_sent = 0;
    std::uint32_t announced_share = 0;
  };
  struct Attempt {
    std::uint64_t forwarder = 0;
    double arrives_at = 0, ends_at = 0;
  };
  static tier::PickerOptions picker_options() {
    tier::PickerOptions picker_options;
    picker_options.rejection_cooldown_seconds = 0.25;  // as in forwarders
    return picker_options;
  }
  double uniform() { return static_cast<double>(random_()) / 4294967296.0; }

  void connect_and_disconnect() {
    while (static_cast<int>(forwarders_.size()) < target_count_ && (now_ < kStepSeconds || uniform() < 0.5)) {
      const std::uint64_t id = next_++;
      auto& one = forwarders_[id];
      one = std::make_unique<Forwarder>();
      one->picker.on_link_up(0, 0, now_);
      one->last_sent = now_;
      shares_.add(id);
    }
    if (uniform() < 0.02 && forwarders_.size() > 1) {  // its open attempts continue
      auto removed = std::next(forwarders_.begin(),
                               static_cast<long>(random_(static_cast<unsigned>(forwarders_.size()))));
      shares_.remove(removed->first, now_);
      forwarders_.erase(removed);
    }
  }
  void rebalance_shares() {
    if (now_ < next_rebalance_at_) return;
    next_rebalance_at_ = now_ + 0.05;
    shares_.rebalance(now_, budget_, [this](std::uint64_t id) {
      return static_cast<std::size_t>(
          std::count_if(attempts_.begin(), attempts_.end(),
                        [&](const Attempt& a) { return a.forwarder == id && a.arrives_at <= now_; }));
    });
    for (auto& [id, one] : forwarders_) {
      if (shares_.share(id) == one->announced_share) continue;
      one->announced_share = shares_.share(id);
      const double at = std::max(now_ + kMaxReportDelaySeconds * uniform(),
                                 one->pending_reports.empty() ? 0 : one->pending_reports.back().first);
      one->pending_reports.emplace_back(at, one->announced_share);
    }
  }
  void deliver_reports() {
    for (auto& [id, one] : forwarders_) {
      for (const auto& [at, share] : one->pending_reports) {
        if (at <= now_) one->picker.on_load_report(0, share, 0, true);
      }
      std::erase_if(one->pending_reports, [&](const auto& report) { return report.first <= now_; });
    }
  }
  void send() {
    for (auto& [id, one] : forwarders_) {
      while (one->picker.pick(0, now_, [this] { return uniform(); })) {
        one->picker.on_attempt_sent(0);
        const double arrives_at = now_ + kMaxTransitSeconds * uniform();
        attempts_.push_back(
            {id, arrives_at,
             arrives_at + (rejections_ ? 0.001 : 0.02 + (uniform() < 0.3 ? 2.0 : 0.3) * uniform())});
        one->last_sent = now_;
        ++sent;
        recent_arrivals_.push_back(arrives_at);
      }
      longest_idle_seconds = std::max(longest_idle_seconds, now_ - one->last_sent);
    }
  }
  void finish() {
    std::erase_if(attempts_, [&](const Attempt& a) {
      if (a.ends_at > now_) return false;
      const auto found = forwarders_.find(a.forwarder);
      if (found != forwarders_.end())
        found->second->picker.on_attempt_ended(
            0, rejections_ ? tier::AttemptOutcome::kRejected : tier::AttemptOutcome::kSucceeded, 0.1, now_);
      return true;
    });
  }
  void check_budget() {
    // An attempt that is rejected immediately still counts during its cooldown of a quarter of a second.
    std::erase_if(recent_arrivals_, [&](double at) { return at < now_ - 0.25; });
    const double open =
        rejections_ ? static_cast<double>(recent_arrivals_.size()) : static_cast<double>(attempts_.size());
    worst_over = std::max(worst_over, open - budget_);
    worst_beyond_tolerance = std::max(worst_beyond_tolerance, open - budget_ - random_tolerance(budget_));
  }

  pcg32 random_;
  const int target_count_;
  const bool rejections_;
  const double slow_start_seconds_;  // s
  double now_ = 0, budget_ = 0, next_rebalance_at_ = 0;
  std::uint64_t next_ = 1;
  tier::SlowStartShares shares_;
  std::map<std::uint64_t, std::unique_ptr<Forwarder>> forwarders_;
  std::vector<Attempt> attempts_;
  std::vector<double> recent_arrivals_;
};

void histories() {
  for (const double slow_start_seconds : {8.0, 60.0}) {
    for (const bool rejections : {false, true}) {
      for (const int forwarders : {1, 5, 20, 30}) {
        double over = -1e9, beyond = -1e9, idle = 0;
        std::uint64_t min_sent = ~std::uint64_t{0};
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
          ForwarderSimulation history(forwarders, seed, rejections, slow_start_seconds);
          history.run(10);
          over = std::max(over, history.worst_over);
          beyond = std::max(beyond, history.worst_beyond_tolerance);
          idle = std::max(idle, history.longest_idle_seconds);
          min_sent = std::min(min_sent, history.sent);
        }
        const auto verdict = [](bool good, double value) {
          return good ? "yes" : fmt::format("NO, {:.1f}", value);
        };
        // Because transit times differ, attempts may arrive a little closer together than they were sent; the
        // tolerance covers this.
        fmt::print(
            "slow start of {:.0f} s, {} forwarders, {}: within the budget{}: {}; no forwarder idle for 6 s: "
            "{}; "
            "used: {}\n",
            slow_start_seconds, forwarders, rejections ? "all rejected" : "all served",
            rejections ? " and tolerance" : "",
            verdict((rejections ? beyond : over) <= 0, rejections ? beyond : over), verdict(idle < 6, idle),
            verdict(min_sent > 100, static_cast<double>(min_sent)));
      }
    }
  }
}

// Guards against a leak: forwarders that reconnect again and again with new epochs must not accumulate
// entries, warm or cold.
void reconnects() {
  for (const bool cold : {false, true}) {
    tier::ConcurrencyWindows windows({2, 0.2, 1e9});
    windows.on_runtime_started(cold, 0);
    std::size_t max_tracked = 0;
    for (std::uint64_t session = 1; session <= 10000; ++session) {
      const double now = static_cast<double>(session) * 0.05;
      windows.add_forwarder(session);
      if (session > 1) windows.remove_forwarder(session - 1, now);
      windows.rebalance(now, [](std::uint64_t) { return std::size_t{0}; });
      max_tracked = std::max(max_tracked, windows.tracked_forwarders());
    }
    say(fmt::format("{}: ten thousand epochs, only a few are stored at a time", cold ? "cold" : "warm"),
        max_tracked < 20);
  }
}

// ---- Real forwarders, whose callers demand more than the capacity, and one scripted planner that counts
// attempts.
void processes() {
  for (const PlannerMode mode : {PlannerMode::kCorrect, PlannerMode::kRejectsAll}) {
    constexpr int forwarder_count = 20;
    constexpr double budget = 12;
    Loop loop;
    Journal journal;
    journal.incarnations.emplace_back().began = now();
    Planner::Options planner_options;
    planner_options.mode = mode;
    planner_options.run_seconds = 0.1;
    planner_options.slow_start_budget = budget;
    Planner planner(loop, journal, planner_options);
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
      if (!forwarders.back()->start()) std::printf("a forwarder did not start\n");
    }
    const bool linked = loop.run_until([&] { return planner.connected_forwarders() == forwarder_count; }, 20);
    loop.run_for(1);
    const std::uint64_t before = planner.attempts_received();
    loop.run_for(4);
    const double attempts_per_second = static_cast<double>(planner.attempts_received() - before) / 4;
    say("twenty processes are connected", linked);
    say(fmt::format("{}: open attempts within {} and tolerance",
                    mode == PlannerMode::kRejectsAll ? "all rejected" : "all served", budget),
        static_cast<double>(planner.max_in_flight()) <= budget + random_tolerance(budget));
    // A rejected attempt uses capacity for a quarter of a second, so at most four budgets per second are
    // sent, within the tolerance.
    if (mode == PlannerMode::kRejectsAll)
      say("sent within four budgets per second and tolerance",
          attempts_per_second <= 4 * budget + random_tolerance(4 * budget));
    say("every forwarder has sent attempts", planner.min_attempts_per_forwarder() >= 1);
    say("the budget is used", attempts_per_second > budget);
    std::fprintf(stderr, "most open %zu, %.1f a second, fewest sent %llu\n", planner.max_in_flight(),
                 attempts_per_second, static_cast<unsigned long long>(planner.min_attempts_per_forwarder()));
  }
}

// A real planner in its slow start, and the windows that it announces to twenty forwarders, which connect one
// after another and of which some disconnect.
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
  // Its runtime started earlier, so the budget computed from here is the smaller one.
  const double began = now();
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
      if (age < warm_up_seconds - 0.5) over = std::max(over, sum - budget - random_tolerance(budget));
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
  say("the announced windows sum to at most the budget and tolerance", over <= 0);
  say("every forwarder had a share", had.size() == link_count);
  for (int i = 0; i < 12; ++i) {
    for (const auto& link : links) {
      if (link) link->send(damsonspoke::wire::tier::Ping{1});
    }
    loop.run_for(0.25);
  }
  bool wide = true;
  for (const auto& link : links) wide &= !link || link->window >= 4;
  say("after the slow start each forwarder has its window", wide);
  say("shuts down gracefully", server.shut_down());
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(
      argc, argv, binary,
      {{"histories", histories}, {"reconnects", reconnects}, {"processes", processes}, {"planner", planner}});
}
