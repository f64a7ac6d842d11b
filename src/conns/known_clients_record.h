// The clients that are known, as they are kept for a successor. A codec: CBOR, bounded; what is no such
// record as a whole is none.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "conns/known_clients.h"

namespace damsonspoke::conns {

constexpr std::uint32_t kKnownClientsFormat = 1;
constexpr std::size_t kMaxKnownClientsBytes = 512 * 1024, kMaxKnownClients = 8192;

std::string encode_known_clients(
    const std::vector<KnownClient>& clients);  // of what is over the bound the first are kept
std::optional<std::vector<KnownClient>> decode_known_clients(std::string_view bytes);

}  // namespace damsonspoke::conns
