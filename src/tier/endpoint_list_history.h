// The lists of planners that a forwarder has gone by, as they are kept across its restarts: a forwarder that
// starts with another list than it ended with has to know which keys have moved. A codec: CBOR, bounded.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::tier {

struct FormerEndpointList {
  double until = 0;  // Unix s, when it was superseded
  std::vector<std::string> planners;
};

struct EndpointListHistory {
  std::vector<std::string> current;
  std::vector<FormerEndpointList> former;  // the oldest first
};

constexpr std::uint32_t kEndpointListHistoryVersion = 1;
constexpr std::size_t kMaxEndpointListHistoryBytes = 64 * 1024, kMaxListedPlanners = 64, kMaxFormerLists = 16,
                      kMaxAddressBytes = 255;

std::string encode(const EndpointListHistory& record);  // of what is over the bounds the newest is kept
// None where it is no such record, whole and within its bounds.
std::optional<EndpointListHistory> decode_endpoint_list_history(std::string_view bytes);

}  // namespace damsonspoke::tier
