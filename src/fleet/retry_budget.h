// One budget of further tries for the whole fleet: a share of its first tries. Each instance may make its own
// share; what it does not need it lends, in parts that run out, to who needs more. Pure policy.
//
// A lender goes without what it has lent until that has run out, and a while longer for what was under way:
// so the sum over all stays under the share of the sum, whatever is lost, late or cut off. Nothing has to
// come back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damsonspoke::fleet {

struct FleetRetryBudgetOptions {
  double share = 0.1;    // further tries, of first ones
  double memory = 5;     // s over which rates are means
  double lasts = 5;      // s that a part that is lent may be used, from when it comes
  double under_way = 3;  // s that it may take to come; later it is worth nothing
  double kept = 0.25;    // of its own budget that a lender keeps at least, for what comes suddenly
};

class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(FleetRetryBudgetOptions terms) : terms_(terms) {}

  void first(double now);  // a first try was made
  // A further one is wanted; true where it may be made, and is counted then.
  bool further(double now);

  // Further tries a second that it would make beyond its own budget.
  double wants(double now);
  struct Part {
    std::string to;
    double per_s = 0;
  };
  // What it lends now to those that want; to be asked each `lasts`, and told to them at once.
  std::vector<Part> lend(const std::map<std::string, double>& wanted, double now);
  // A part came, `age` s after it was lent.
  void borrowed(double per_s, double age, double now);

  double own(double now);  // per s, its share of its own first tries
  double lent(double now) const;

 private:
  struct Held {
    double per_s = 0, until = 0;
  };
  void pass(double now);

  const FleetRetryBudgetOptions terms_;
  double at_ = -1;
  double firsts_ = 0, wanted_ = 0, made_ = 0;  // a second
  double credit_ = 0;                          // further tries that may be made now
  std::vector<Held> lent_, borrowed_;
};

}  // namespace damsonspoke::fleet
