// The stored history of the endpoint lists that a forwarder has used: a forwarder that restarts with a
// different list has to know which keys have moved. The codec writes CBOR with bounded sizes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::tier {

struct FormerEndpointList {
  double until = 0;  // Unix s at which it was superseded
  std::vector<std::string> planners;
};

struct EndpointListHistory {
  std::vector<std::string> current;
  std::vector<FormerEndpointList> former;  // the oldest first
};

constexpr std::uint32_t kEndpointListHistoryVersion = 1;
constexpr std::size_t kMaxEndpointListHistoryBytes = 64 * 1024;
constexpr std::size_t kMaxListedPlanners = 64;
constexpr std::size_t kMaxFormerLists = 16;
constexpr std::size_t kMaxAddressBytes = 255;

// Encodes at most kMaxFormerLists former lists, the newest ones.
[[nodiscard]] std::string encode(const EndpointListHistory& history);
// Returns nullopt if the bytes are not a complete history within the bounds above.
[[nodiscard]] std::optional<EndpointListHistory> decode_endpoint_list_history(std::string_view bytes);

}  // namespace damsonspoke::tier
