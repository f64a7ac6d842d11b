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
  std::string told_by;
};

class BrokenLinks {
 public:
  explicit BrokenLinks(double keep) : keep_(keep) {}
  // What a member tells takes the place of what it told before.
  void told(const std::string& by, const std::vector<BrokenLink>& broken, double now);
  void forget(const std::string& by) { told_.erase(by); }
  std::vector<ObservedLink> broken(double now) const;
  bool is_broken(const std::string& from, const std::string& to, double now) const;

 private:
  struct Account {
    double at = 0;
    std::vector<ObservedLink> links;
  };
  const double keep_;  // s that an account counts
  std::map<std::string, Account> told_;
};

// One member's own findings of its links to another, from probes: three in a row that went wrong in one
// direction are a broken link; one or two may be lost datagrams.
class LinkHealth {
 public:
  // What a probe showed, where the other is known to be alive.
  void judged(bool inward_works, bool outward_works, double now);
  bool inward_broken() const { return inward_.wrong >= kSure; }
  bool outward_broken() const { return outward_.wrong >= kSure; }
  bool broken() const { return inward_broken() || outward_broken(); }
  bool doubtful() const { return !broken() && (inward_.wrong > 0 || outward_.wrong > 0); }
  double inward_since() const { return inward_.since; }
  double outward_since() const { return outward_.since; }

 private:
  static constexpr int kSure = 3;
  struct Way {
    int wrong = 0;
    double since = 0;
    void judged(bool works, double now) {
      if (works)
        wrong = 0;
      else if (wrong++ == 0)
        since = now;
    }
  };
  Way inward_, outward_;
};

}  // namespace damsonspoke::members
