// The figures of membership, and what follows from them. Pure.
#pragma once

#include <cstddef>

namespace damsonspoke::members {

struct MembershipOptions {
  double interval = 0.3;     // s between two probes
  double suspicion = 2;      // s that a suspected member has at least, at ten members
  int helpers = 3;           // asked to probe who does not answer
  double hold = 60;          // s that no death is told while over half are silent at once: it may be us
  double remember = 7200;    // s that the dead are remembered
  double old = 10;           // s after which what a member told is no value any more
  double exchange = 30;      // s between two full exchanges, longer in a large fleet
  double news = 4000;        // bytes a second of news of others, on the long run
  double news_burst = 4000;  // bytes; as many at once after a rest
};

// s in which a suspected member may refute: grows with the size of the fleet, shrinks with each one that has
// found it silent by itself.
double suspicion_time(const MembershipOptions& terms, std::size_t members, std::size_t witnesses);

// s between two full exchanges: their bytes a second stay the same however many there are.
double exchange_time(const MembershipOptions& terms, std::size_t members);

// s in which a member that knows another set of members than others asks one of them for a full exchange, at
// some moment drawn by chance: the bytes a second of a fleet that has lost many stay the same at any size.
double comparison_time(std::size_t members);

// How often a piece of news is passed on.
int passes(std::size_t members);

// Whether this one is fit to judge others: from 0, fit, to 8. Grows with what goes wrong here, and times grow
// with it (Lifeguard's local health multiplier). Guards against an accuser that is ill itself.
class LocalHealth {
 public:
  void worse(int by = 1) { value_ = value_ + by > kMost ? kMost : value_ + by; }
  void better() { value_ = value_ > 0 ? value_ - 1 : 0; }
  double stretch() const { return 1 + value_; }
  int value() const { return value_; }

 private:
  static constexpr int kMost = 8;
  int value_ = 0;
};

}  // namespace damsonspoke::members
