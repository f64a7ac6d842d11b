// Records rejected connections: a count for each cause, and the latest rejections for operators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "conns/prefix.h"

namespace damsonspoke::conns {

enum class RejectCause {
  kNone,
  kClientCap,
  kNetworkCap,
  kGroupCap,
  kClientRate,
  kNetworkRate,
  kUnknownClientsRate,
  kPenaltyLimit,
  kUnknownClientsShare,
  kTableFull
};
constexpr std::size_t kRejectCauseCount = 10;

// The text that `damsonspoke connections` prints.
[[nodiscard]] const char* text_of(RejectCause cause);

struct Rejection {
  double at = 0;  // monotonic s
  Prefix client;
  RejectCause cause = RejectCause::kNone;
};

class RejectionLog {
 public:
  void record(RejectCause cause, const Prefix& client, double now);
  [[nodiscard]] std::uint64_t count(RejectCause cause) const {
    return counts_[static_cast<std::size_t>(cause)];
  }
  // The latest rejections, the oldest first.
  [[nodiscard]] const std::deque<Rejection>& recent() const { return recent_; }

 private:
  std::array<std::uint64_t, kRejectCauseCount> counts_{};
  std::deque<Rejection> recent_;
};

}  // namespace damsonspoke::conns
