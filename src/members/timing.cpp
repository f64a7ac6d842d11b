#include "members/timing.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke::members {
namespace {

constexpr double kGrowthPerTenfoldSize = 0.15;  // of the shortest timeout: updates need more hops
constexpr double kUnconfirmedFactor = 3;        // of the shortest timeout, for a single accuser
constexpr double kMaxConfirmations = 3;         // additional accusers that give the shortest timeout
constexpr double kPushPullSecondsPerMember = 0.3;
constexpr double kDigestSyncSecondsPerMember = 0.06;
constexpr double kRetransmitFactor = 1.5;  // of log2 of the fleet size
constexpr int kMinRetransmits = 3;

}  // namespace

double suspicion_timeout(const MembershipOptions& options, std::size_t fleet_size, std::size_t accusers) {
  const double size = std::max(10.0, static_cast<double>(fleet_size));
  const double shortest = options.min_suspicion_timeout * (1 + kGrowthPerTenfoldSize * std::log10(size / 10));
  const double longest = kUnconfirmedFactor * shortest;
  const double confirmations = accusers > 0 ? static_cast<double>(accusers - 1) : 0;
  const double reduction = std::log(confirmations + 1) / std::log(kMaxConfirmations + 1);
  return std::max(shortest, longest - (longest - shortest) * reduction);
}

double push_pull_interval(const MembershipOptions& options, std::size_t fleet_size) {
  return std::max(options.push_pull_interval, kPushPullSecondsPerMember * static_cast<double>(fleet_size));
}

double digest_sync_window(std::size_t fleet_size) {
  return kDigestSyncSecondsPerMember * static_cast<double>(fleet_size);
}

int retransmit_limit(std::size_t fleet_size) {
  const double transmissions = kRetransmitFactor * std::log2(static_cast<double>(fleet_size) + 1);
  return std::max(kMinRetransmits, static_cast<int>(std::ceil(transmissions)));
}

}  // namespace damsonspoke::members
