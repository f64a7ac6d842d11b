// Codec for the stored form of the known clients: CBOR of limited size. A record that is invalid in any part
// is rejected completely.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "conns/known_clients.h"

namespace damsonspoke::conns {

constexpr std::uint32_t kKnownClientsFormat = 1;
constexpr std::size_t kMaxKnownClientsBytes = 512 * 1024;
constexpr std::size_t kMaxKnownClients = 8192;

// Encodes the first kMaxKnownClients clients.
[[nodiscard]] std::string encode_known_clients(const std::vector<KnownClient>& clients);
// Nothing if the bytes are not a valid record.
[[nodiscard]] std::optional<std::vector<KnownClient>> decode_known_clients(std::string_view bytes);

}  // namespace damsonspoke::conns
