// Who probes a layer below that ails, and how often: all instances together send a stated number of probes a
// second, whatever their number and whatever each of them believes of the others. Pure policy: what the view
// of members says goes in, this one's rate comes out; no clock is shared, nothing is agreed.
//
// Probers are the few that rank first by rendezvous hashing over those that are usable. A prober that dies,
// pauses or is cut off has its turn taken over by the next in rank, who waits first: news of the one before
// may be under way, and two in one turn would be too many. Each takes only its own side's known share of the
// whole, so that the sides of a split, or members who all think that they are alone, add up to no more than
// the whole fleet.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct HealthCheckBudgetOptions {
  double per_s = 4;       // probes a second of all together
  int probers = 4;        // that share them
  double settle = 3;      // s that who comes to a turn waits; longer than news takes to reach all
  double remember = 600;  // s that somebody who is no longer usable counts as part of the whole
};

class HealthCheckBudget {
 public:
  HealthCheckBudget(HealthCheckBudgetOptions terms, std::string self);

  // Who is usable besides this one; to be told at each change of the view, and now and then.
  void view(const std::vector<std::string>& usable, double now);
  // Of the layer of that name, probes a second that this one may send now.
  double rate(const std::string& layer, double now);
  // Whether one may be sent now; it is counted then. Never more than one at once is saved up.
  bool may_probe(const std::string& layer, double now);

  std::size_t whole() const { return seen_.size(); }                 // known lately, this one among them
  std::vector<std::string> probers(const std::string& layer) const;  // by rank

 private:
  struct Turn {
    bool ranked = false;  // for the view as it is
    std::size_t probers = 1;
    bool ours = false;
    double since = 0;   // that it is ours
    double credit = 0;  // probes
    double at = 0;      // when that was counted
  };
  const HealthCheckBudgetOptions terms_;
  const std::string self_;
  std::vector<std::string> usable_;     // this one among them
  std::map<std::string, double> seen_;  // when each was usable last
  std::map<std::string, Turn> turns_;   // by layer
  double begun_ = -1;
};

}  // namespace damsonspoke::fleet
