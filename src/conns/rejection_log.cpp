#include "conns/rejection_log.h"

namespace damsonspoke::conns {
namespace {

constexpr std::size_t kMaxRecentRejections = 32;

}  // namespace

const char* text_of(RejectCause cause) {
  switch (cause) {
    case RejectCause::kNone: return "none";
    case RejectCause::kClientCap: return "client cap";
    case RejectCause::kNetworkCap: return "network cap";
    case RejectCause::kGroupCap: return "group cap";
    case RejectCause::kClientRate: return "client rate";
    case RejectCause::kNetworkRate: return "network rate";
    case RejectCause::kUnknownClientsRate: return "strangers' rate";
    case RejectCause::kPenaltyLimit: return "wasteful";
    case RejectCause::kUnknownClientsShare: return "strangers' share";
    case RejectCause::kTableFull: return "full";
  }
  return "";
}

void RejectionLog::record(RejectCause cause, const Prefix& client, double now) {
  ++counts_[static_cast<std::size_t>(cause)];
  recent_.push_back({now, client, cause});
  if (recent_.size() > kMaxRecentRejections) recent_.pop_front();
}

}  // namespace damsonspoke::conns
