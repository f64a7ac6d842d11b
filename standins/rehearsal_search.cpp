#include "rehearsal_search.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>

namespace damsonspoke::standins {
namespace {

class Draw {
 public:
  Draw(const RehearsalScript& base, std::uint64_t seed) : base_(base), random_(seed) {
    for (int i = 1; i <= base.planners; ++i) names_.push_back(fmt::format("p{}", i));
    for (int i = 1; i <= base.forwarders; ++i) names_.push_back(fmt::format("f{}", i));
    for (int i = 1; i <= base.relays; ++i) names_.push_back(fmt::format("r{}", i));
  }
  double chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }
  std::size_t below(std::size_t n) { return random_() % n; }
  const std::string& name() { return names_[below(names_.size())]; }

  // Two ends of a link that there is: callers to a front, a forwarder to a planner, members to one another.
  std::vector<std::string> link() {
    std::string a = "callers", b;
    if (base_.members && chance() < 0.5) {
      a = name();
      do b = name();
      while (b == a);
    } else if (base_.planners > 0) {
      const bool inner = chance() < 0.7;
      b = fmt::format("f{}", 1 + below(static_cast<std::size_t>(base_.forwarders)));
      if (inner) a = b, b = fmt::format("p{}", 1 + below(static_cast<std::size_t>(base_.planners)));
    } else {
      b = fmt::format("r{}", 1 + below(static_cast<std::size_t>(base_.relays)));
    }
    return chance() < 0.5 ? std::vector{a, b} : std::vector{b, a};
  }

  FaultSpec fault(double from, double to) {
    static const char* const kKinds[] = {"kill",   "pause", "cut",    "part",  "reset",
                                         "refuse", "delay", "narrow", "crowd", "descriptors",
                                         "full",   "hide",  "reload", "leave"};
    FaultSpec out;
    out.what = kKinds[below(std::size(kKinds))];
    const auto tenths = [](double t) { return std::round(t * 10) / 10; };
    out.at = tenths(from + (to - from) * chance());
    out.lasts = std::max(0.1, tenths((to - out.at) * chance()));
    const auto& words = fault_words();
    const auto word =
        std::find_if(words.begin(), words.end(), [&](const FaultWord& w) { return out.what == w.word; });
    if (word->who == 1) out.who = {name()};
    if (word->who == 2) out.who = link();
    if (out.what == "delay") out.amount = 0.02 + 0.2 * chance();
    if (out.what == "narrow") out.amount = 2000 + 50000 * chance();
    if (out.what == "crowd") out.amount = 1 + static_cast<double>(below(4));
    if (out.what == "descriptors") out.amount = 20 + 40 * chance();
    if (out.what == "reload" && chance() < 0.5) out.word = "spoilt";
    return out;
  }

 private:
  const RehearsalScript& base_;
  pcg64 random_;
  std::vector<std::string> names_;
};

}  // namespace

RehearsalScript drawn(const RehearsalScript& base, std::uint64_t seed, int most) {
  RehearsalScript out = base;
  out.seed = seed;
  out.name = fmt::format("{}-{}", base.name, seed);
  Draw draw(base, seed);
  const double to = base.lasts - base.judged - 1;
  const std::size_t count = 1 + draw.below(static_cast<std::size_t>(most));
  for (std::size_t i = 0; i < count; ++i) {
    const FaultSpec fault = draw.fault(0.3, to);
    out.faults.push_back(fault);
    if (fault.what != "kill" && fault.what != "leave") continue;
    FaultSpec again;  // what goes comes back
    again.what = "start", again.who = fault.who;
    again.at = fault.at + (fault.what == "kill" ? 0.3 : 0.8);
    out.faults.push_back(again);
  }
  std::stable_sort(out.faults.begin(), out.faults.end(),
                   [](const FaultSpec& a, const FaultSpec& b) { return a.at < b.at; });
  return out;
}

RehearsalScript cut_down(RehearsalScript script, int tries,
                         const std::function<bool(const RehearsalScript&)>& fails) {
  const auto still = [&](const RehearsalScript& less) {
    for (int i = 0; i < tries; ++i) {
      if (fails(less)) return true;
    }
    return false;
  };
  // Halves first, then quarters, down to single faults: delta debugging.
  for (std::size_t part = std::max<std::size_t>(1, script.faults.size() / 2);;) {
    bool less = false;
    for (std::size_t from = 0; from < script.faults.size();) {
      RehearsalScript shorter = script;
      const auto first = shorter.faults.begin() + static_cast<std::ptrdiff_t>(from);
      const auto last = first + static_cast<std::ptrdiff_t>(std::min(part, script.faults.size() - from));
      shorter.faults.erase(first, last);
      if (still(shorter)) {
        script = std::move(shorter), less = true;
      } else {
        from += part;
      }
    }
    if (part == 1 && !less) return script;
    part = std::max<std::size_t>(1, part / 2);
  }
}

}  // namespace damsonspoke::standins
