// Hands out a warming planner's attempts to its forwarders. What they may have open sums to at most the
// budget at any time, however many they are, while they connect and disconnect, and while some have not yet
// heard of a smaller share. With fewer attempts than forwarders, shares of one rotate so that no forwarder
// starves. Policy without I/O.
//
// The receiver hands out the shares because it knows all senders; the senders do not know each other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace damsonspoke::tier {

struct SlowStartSharesOptions {
  // s after which a forwarder has certainly heard of a smaller share and what it sent before has arrived.
  double settle_seconds = 0.25;
  double rotation_seconds = 0.25;  // s that a rotating share stays; at least settle_seconds
};

class SlowStartShares {
 public:
  using Member = std::uint64_t;  // a forwarder's session
  explicit SlowStartShares(SlowStartSharesOptions options = {}) : options_(options) {}

  void add(Member member) { members_[member].removed = false; }
  // Its share becomes free once its open attempts have ended and those in flight have arrived.
  void remove(Member member, double now);

  // Computes new shares of this budget (attempts, rounded down). `open` gives a member's open attempts.
  void rebalance(double now, double budget, const std::function<std::size_t(Member)>& open);
  // Attempts that the member may have open; 0 where it is unknown.
  [[nodiscard]] std::uint32_t share(Member member) const;
  // Members of which something is stored, removed ones with open attempts included.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  void clear() { members_.clear(); }

 private:
  struct Allotment {
    std::uint32_t share = 0;
    std::uint32_t previous_share = 0;  // that the member may still act on
    double lowered_at = -1e9;
    double raised_at = -1e9;  // by one above the even share
    bool removed = false;
  };
  struct Present {
    Member member;
    Allotment* allotment;
  };
  [[nodiscard]] std::uint64_t reserved(const Allotment& allotment, std::size_t open, double now) const;
  std::uint64_t collect(double now, const std::function<std::size_t(Member)>& open,
                        std::vector<Present>& present);
  std::uint64_t lower(const std::vector<Present>& present, std::uint32_t even, std::uint64_t remainder,
                      double now) const;

  const SlowStartSharesOptions options_;
  std::map<Member, Allotment> members_;  // in the order in which they came
};

// Attempts that may be open at a planner which started `age` s ago: all that it takes when warm times its
// speed by then, which grows evenly from `slow_start_speed` to 1 within `slow_start_seconds`.
[[nodiscard]] double slow_start_budget(int cores, double slow_start_speed, double slow_start_seconds,
                                       double age);

}  // namespace damsonspoke::tier
