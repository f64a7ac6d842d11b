// Who hears whom: the broken links that members tell of, each with its direction and age. Small, and recent
// only. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "members/record.h"

namespace damsonspoke::members {

struct ObservedLink {
  std::string from, to;  // what goes from the one to the other does not come
  double since = 0;      // s, by the clock of who asks
  std::string reported_by;
};

class BrokenLinks {
 public:
  explicit BrokenLinks(double retention_seconds) : retention_(retention_seconds) {}
  // What a member tells takes the place of what it told before.
  void update(const std::string& reporter, const std::vector<BrokenLink>& broken, double now);
  void forget(const std::string& reporter) { reports_.erase(reporter); }
  std::vector<ObservedLink> links(double now) const;
  bool is_broken(const std::string& from, const std::string& to, double now) const;

 private:
  struct Report {
    double received_at = 0;
    std::vector<ObservedLink> links;
  };
  const double retention_;  // s that an account counts
  std::map<std::string, Report> reports_;
};

// One member's own findings of its links to another, from probes: three in a row that went wrong in one
// direction are a broken link; one or two may be lost datagrams.
class LinkHealth {
 public:
  // What a probe showed, where the other is known to be alive.
  void record_probe(bool inbound_works, bool outbound_works, double now);
  bool is_inbound_broken() const { return inbound_.failures >= kFailuresToBreak; }
  bool is_outbound_broken() const { return outbound_.failures >= kFailuresToBreak; }
  bool is_broken() const { return is_inbound_broken() || is_outbound_broken(); }
  bool is_uncertain() const { return !is_broken() && (inbound_.failures > 0 || outbound_.failures > 0); }
  double inbound_since() const { return inbound_.since; }
  double outbound_since() const { return outbound_.since; }

 private:
  static constexpr int kFailuresToBreak = 3;
  struct Direction {
    int failures = 0;
    double since = 0;
    void record_probe(bool works, double now) {
      if (works)
        failures = 0;
      else if (failures++ == 0)
        since = now;
    }
  };
  Direction inbound_, outbound_;
};

}  // namespace damsonspoke::members
