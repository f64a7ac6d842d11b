// The clients that are known, as they are kept for a successor. A codec: CBOR, bounded; what is no such
// record as a whole is none.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "conns/known_clients.h"

namespace damsonspoke::conns {

constexpr std::uint32_t kKnownForm = 1;
constexpr std::size_t kMostKnownBytes = 512 * 1024, kMostKnownClients = 8192;

std::string encode(const std::vector<KnownClient>& clients);  // of what is over the bound the first are kept
std::optional<std::vector<KnownClient>> decode_known(std::string_view bytes);

}  // namespace damsonspoke::conns
