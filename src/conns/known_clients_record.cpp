#include "conns/known_clients_record.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace damsonspoke::conns {
namespace {

using Json = nlohmann::json;

// The positions of the members of a stored client.
enum Member : std::size_t { kBase, kBits, kScore, kLastSuccess, kIsKnown, kMemberCount };

constexpr std::int64_t kMaxBits = 128;

bool has_member_types(const Json& from) {
  if (!from.is_array() || from.size() != kMemberCount) return false;
  if (!from[kBase].is_binary() || from[kBase].get_binary().size() != sizeof(Address::bytes)) return false;
  return from[kBits].is_number_integer() && from[kScore].is_number() && from[kLastSuccess].is_number() &&
         from[kIsKnown].is_boolean();
}

std::optional<KnownClient> decode_client(const Json& from) {
  if (!has_member_types(from)) return std::nullopt;
  const auto bits = from[kBits].get<std::int64_t>();
  if (bits < 0 || bits > kMaxBits) return std::nullopt;
  Address address;
  std::copy_n(from[kBase].get_binary().begin(), address.bytes.size(), address.bytes.begin());
  KnownClient client;
  client.client = masked(address, static_cast<int>(bits));
  client.score = from[kScore].get<double>();
  client.last_success = from[kLastSuccess].get<double>();
  client.is_known = from[kIsKnown].get<bool>();
  if (client.client.base != address) return std::nullopt;
  if (!std::isfinite(client.score) || !std::isfinite(client.last_success) || client.score < 0)
    return std::nullopt;
  return client;
}

}  // namespace

std::string encode_known_clients(const std::vector<KnownClient>& clients) {
  Json list = Json::array();
  for (const KnownClient& client : clients) {
    if (list.size() >= kMaxKnownClients) break;
    const auto& bytes = client.client.base.bytes;
    list.push_back({Json::binary({bytes.begin(), bytes.end()}), client.client.bits, client.score,
                    client.last_success, client.is_known});
  }
  const std::vector<std::uint8_t> out = Json::to_cbor({{"clients", std::move(list)}});
  return {out.begin(), out.end()};
}

std::optional<std::vector<KnownClient>> decode_known_clients(std::string_view bytes) {
  if (bytes.size() > kMaxKnownClientsBytes) return std::nullopt;
  Json record;
  try {  // the library throws on excessive lengths although exceptions are disabled
    record = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  if (!record.is_object()) return std::nullopt;
  const auto list = record.find("clients");
  if (list == record.end() || !list->is_array() || list->size() > kMaxKnownClients) return std::nullopt;
  std::vector<KnownClient> clients;
  for (const Json& item : *list) {
    const std::optional<KnownClient> client = decode_client(item);
    if (!client) return std::nullopt;
    clients.push_back(*client);
  }
  return clients;
}

}  // namespace damsonspoke::conns
