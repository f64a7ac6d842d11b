// The health of this member's link to one other member, by direction, according to its own probes. A
// direction is broken after several consecutive failures; fewer failures may be lost datagrams.
#pragma once

namespace damsonspoke::members {

class LinkHealth {
 public:
  // Records a probe whose target is known to be alive. `now`: seconds, monotonic.
  void record_probe(bool inbound_works, bool outbound_works, double now) {
    inbound_.record(inbound_works, now);
    outbound_.record(outbound_works, now);
  }
  [[nodiscard]] bool is_inbound_broken() const { return inbound_.failures >= kFailuresToBreak; }
  [[nodiscard]] bool is_outbound_broken() const { return outbound_.failures >= kFailuresToBreak; }
  [[nodiscard]] bool is_broken() const { return is_inbound_broken() || is_outbound_broken(); }
  // Whether some probes failed, but too few to call the link broken.
  [[nodiscard]] bool is_uncertain() const {
    return !is_broken() && (inbound_.failures > 0 || outbound_.failures > 0);
  }
  // When the current sequence of failures began.
  [[nodiscard]] double inbound_broken_since() const { return inbound_.broken_since; }
  [[nodiscard]] double outbound_broken_since() const { return outbound_.broken_since; }

 private:
  static constexpr int kFailuresToBreak = 3;
  struct Direction {
    int failures = 0;  // consecutive
    double broken_since = 0;
    void record(bool works, double now) {
      if (!works && failures == 0) broken_since = now;
      failures = works ? 0 : failures + 1;
    }
  };
  Direction inbound_;
  Direction outbound_;
};

}  // namespace damsonspoke::members
