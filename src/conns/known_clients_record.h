// The stored form of the known clients: CBOR of limited size. A record that is damaged anywhere is rejected
// as a whole.
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

// Of more than kMaxKnownClients clients the first ones are written.
[[nodiscard]] std::string encode_known_clients(const std::vector<KnownClient>& clients);
// None where the bytes are no such record.
[[nodiscard]] std::optional<std::vector<KnownClient>> decode_known_clients(std::string_view bytes);

}  // namespace damsonspoke::conns
