// Divides the slow-start budget of a planner among its forwarders. The attempts that they may have open never
// exceed the budget in total, however many forwarders there are, while forwarders connect and disconnect, and
// while some have not yet received a smaller share. With fewer attempts than forwarders, shares of one rotate
// so that no forwarder starves. Policy without I/O.
//
// The receiver assigns the shares because it knows all senders; the senders do not know each other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace damsonspoke::tier {

struct SlowStartSharesOptions {
  // s after which a forwarder has certainly received a smaller share, and the attempts that it sent before
  // have arrived.
  double settle_seconds = 0.25;
  double rotation_seconds = 0.25;  // s for which a rotating share stays; at least settle_seconds
};

class SlowStartShares {
 public:
  using Member = std::uint64_t;  // a forwarder's session
  explicit SlowStartShares(SlowStartSharesOptions options = {}) : options_(options) {}

  void add(Member member) { members_[member].removed = false; }
  // Its share becomes free once its open attempts have ended and those in flight have arrived.
  void remove(Member member, double now);

  // Computes the shares of this budget (attempts, rounded down). `open` returns a member's number of open
  // attempts.
  void rebalance(double now, double budget, const std::function<std::size_t(Member)>& open);
  // Attempts that the member may have open; 0 for an unknown member.
  [[nodiscard]] std::uint32_t share(Member member) const;
  // Stored members, including removed ones that still have attempts reserved.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  void clear() { members_.clear(); }

 private:
  struct Allotment {
    std::uint32_t share = 0;
    std::uint32_t previous_share = 0;  // which the member may still use
    double lowered_at = -1e9;
    double raised_at = -1e9;  // when it was raised to one above the even share
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
  std::map<Member, Allotment> members_;  // in the order in which they were added
};

// Attempts that may be open at a planner that started `age` s ago: its limit when warm times its speed at
// that age, which grows linearly from `slow_start_speed` to 1 within `slow_start_seconds`.
[[nodiscard]] double slow_start_budget(int cores, double slow_start_speed, double slow_start_seconds,
                                       double age);

}  // namespace damsonspoke::tier
