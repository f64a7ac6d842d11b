#include "rehearsal_search.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

namespace damsonspoke::standins {
namespace {

// Draws faults for the processes and links of a fleet. The order of the draws decides what a seed stands for.
class FaultGenerator {
 public:
  FaultGenerator(const RehearsalScript& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {
    for (int i = 1; i <= fleet.planners; ++i) names_.push_back(fmt::format("p{}", i));
    for (int i = 1; i <= fleet.forwarders; ++i) names_.push_back(fmt::format("f{}", i));
    for (int i = 1; i <= fleet.backends; ++i) names_.push_back(fmt::format("r{}", i));
  }
  double next_unit() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }
  std::size_t next_below(std::size_t n) { return random_() % n; }
  const std::string& random_name() { return names_[next_below(names_.size())]; }

  // The ends of a link that the fleet uses: between callers and a server, a forwarder and a planner, or two
  // members.
  std::vector<std::string> random_link() {
    std::string a = "callers", b;
    if (fleet_.has_membership && next_unit() < 0.5) {
      a = random_name();
      do b = random_name();
      while (b == a);
    } else if (fleet_.planners > 0) {
      const bool is_between_levels = next_unit() < 0.7;
      b = fmt::format("f{}", 1 + next_below(static_cast<std::size_t>(fleet_.forwarders)));
      if (is_between_levels)
        a = b, b = fmt::format("p{}", 1 + next_below(static_cast<std::size_t>(fleet_.planners)));
    } else {
      b = fmt::format("r{}", 1 + next_below(static_cast<std::size_t>(fleet_.backends)));
    }
    return next_unit() < 0.5 ? std::vector{a, b} : std::vector{b, a};
  }

  FaultSpec random_fault(double from, double end_seconds) {
    static const char* const kKinds[] = {"kill",   "pause", "cut",    "part",  "reset",
                                         "refuse", "delay", "narrow", "crowd", "descriptors",
                                         "full",   "hide",  "reload", "leave"};
    FaultSpec out;
    out.kind = kKinds[next_below(std::size(kKinds))];
    const auto tenths = [](double t) { return std::round(t * 10) / 10; };
    out.at = tenths(from + (end_seconds - from) * next_unit());
    out.duration_seconds = std::max(0.1, tenths((end_seconds - out.at) * next_unit()));
    const auto& kinds = fault_kinds();
    const auto kind =
        std::find_if(kinds.begin(), kinds.end(), [&](const FaultKind& one) { return out.kind == one.name; });
    if (kind->target_count == 1) out.targets = {random_name()};
    if (kind->target_count == 2) out.targets = random_link();
    if (out.kind == "delay") out.amount = 0.02 + 0.2 * next_unit();
    if (out.kind == "narrow") out.amount = 2000 + 50000 * next_unit();
    if (out.kind == "crowd") out.amount = 1 + static_cast<double>(next_below(4));
    if (out.kind == "descriptors") out.amount = 20 + 40 * next_unit();
    if (out.kind == "reload" && next_unit() < 0.5) out.option = "spoilt";
    return out;
  }

 private:
  const RehearsalScript& fleet_;
  pcg64 random_;
  std::vector<std::string> names_;
};

}  // namespace

RehearsalScript draw_script(const RehearsalScript& fleet, std::uint64_t seed, int max_faults) {
  RehearsalScript out = fleet;
  out.seed = seed;
  out.name = fmt::format("{}-{}", fleet.name, seed);
  FaultGenerator generator(fleet, seed);
  // Faults end a second before the judged part, so that the fleet has time to recover.
  const double end_seconds = fleet.load_seconds - fleet.judged_seconds - 1;
  const std::size_t count = 1 + generator.next_below(static_cast<std::size_t>(max_faults));
  for (std::size_t i = 0; i < count; ++i) {
    const FaultSpec fault = generator.random_fault(0.3, end_seconds);
    out.faults.push_back(fault);
    if (fault.kind != "kill" && fault.kind != "leave") continue;
    FaultSpec restart;  // so that the process does not stay down
    restart.kind = "start", restart.targets = fault.targets;
    restart.at = fault.at + (fault.kind == "kill" ? 0.3 : 0.8);
    out.faults.push_back(restart);
  }
  std::stable_sort(out.faults.begin(), out.faults.end(),
                   [](const FaultSpec& a, const FaultSpec& b) { return a.at < b.at; });
  return out;
}

RehearsalScript minimize_script(RehearsalScript script, int attempts_per_script,
                                const std::function<bool(const RehearsalScript&)>& fails) {
  const auto still_fails = [&](const RehearsalScript& candidate) {
    for (int i = 0; i < attempts_per_script; ++i) {
      if (fails(candidate)) return true;
    }
    return false;
  };
  // Delta debugging: tries to remove halves first, then quarters, and at last single faults.
  for (std::size_t chunk = std::max<std::size_t>(1, script.faults.size() / 2);;) {
    bool has_shrunk = false;
    for (std::size_t from = 0; from < script.faults.size();) {
      RehearsalScript shorter = script;
      const auto first = shorter.faults.begin() + static_cast<std::ptrdiff_t>(from);
      const auto last = first + static_cast<std::ptrdiff_t>(std::min(chunk, script.faults.size() - from));
      shorter.faults.erase(first, last);
      if (still_fails(shorter)) {
        script = std::move(shorter), has_shrunk = true;
      } else {
        from += chunk;
      }
    }
    if (chunk == 1 && !has_shrunk) return script;
    chunk = std::max<std::size_t>(1, chunk / 2);
  }
}

}  // namespace damsonspoke::standins
