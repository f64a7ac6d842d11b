// The figures of membership, and what follows from them. Pure.
#pragma once

#include <cstddef>

namespace damsonspoke::members {

struct MembershipOptions {
  double probe_interval = 0.3;       // s between two probes
  double min_suspicion_timeout = 2;  // s that a suspected member has at least, at ten members
  int indirect_probes = 3;           // asked to probe who does not answer
  double mass_silence_hold = 60;   // s that no death is told while over half are silent at once: it may be us
  double dead_retention = 7200;    // s that the dead are remembered
  double load_report_ttl = 10;     // s after which what a member told is no value any more
  double push_pull_interval = 30;  // s between two full exchanges, longer in a large fleet
  double gossip_bytes_per_second = 4000;  // bytes a second of news of others, on the long run
  double gossip_burst_bytes = 4000;       // bytes; as many at once after a rest
};

// s in which a suspected member may refute: grows with the size of the fleet, shrinks with each one that has
// found it silent by itself.
double suspicion_timeout(const MembershipOptions& options, std::size_t members, std::size_t accusers);

// s between two full exchanges: their bytes a second stay the same however many there are.
double push_pull_interval(const MembershipOptions& options, std::size_t members);

// s in which a member that knows another set of members than others asks one of them for a full exchange, at
// some moment drawn by chance: the bytes a second of a fleet that has lost many stay the same at any size.
double digest_mismatch_window(std::size_t members);

// How often a piece of news is passed on.
int retransmit_limit(std::size_t members);

// Whether this one is fit to judge others: from 0, fit, to 8. Grows with what goes wrong here, and times grow
// with it (Lifeguard's local health multiplier). Guards against an accuser that is ill itself.
class LocalHealth {
 public:
  void degrade(int by = 1) { score_ = score_ + by > kMaxScore ? kMaxScore : score_ + by; }
  void improve() { score_ = score_ > 0 ? score_ - 1 : 0; }
  double multiplier() const { return 1 + score_; }
  int score() const { return score_; }

 private:
  static constexpr int kMaxScore = 8;
  int score_ = 0;
};

}  // namespace damsonspoke::members
