#include "conns/known_clients_record.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace damsonspoke::conns {
namespace {

using Json = nlohmann::json;

bool read_client(const Json& from, KnownClient& out) {
  if (!from.is_array() || from.size() != 5) return false;
  if (!from[0].is_binary() || from[0].get_binary().size() != out.client.base.bytes.size()) return false;
  if (!from[1].is_number_integer() || !from[2].is_number() || !from[3].is_number() || !from[4].is_boolean())
    return false;
  const std::int64_t bits = from[1].get<std::int64_t>();
  if (bits < 0 || bits > 128) return false;
  Address address;
  std::copy_n(from[0].get_binary().begin(), address.bytes.size(), address.bytes.begin());
  out.client = masked(address, static_cast<int>(bits));
  out.score = from[2].get<double>();
  out.last_success = from[3].get<double>();
  out.is_known = from[4].get<bool>();
  return out.client.base == address && std::isfinite(out.score) && std::isfinite(out.last_success) &&
         out.score >= 0;
}

}  // namespace

std::string encode_known_clients(const std::vector<KnownClient>& clients) {
  Json list = Json::array();
  for (const KnownClient& one : clients) {
    if (list.size() >= kMaxKnownClients) break;
    const auto& bytes = one.client.base.bytes;
    list.push_back({Json::binary({bytes.begin(), bytes.end()}), one.client.bits, one.score, one.last_success,
                    one.is_known});
  }
  const std::vector<std::uint8_t> out = Json::to_cbor({{"clients", std::move(list)}});
  return {out.begin(), out.end()};
}

std::optional<std::vector<KnownClient>> decode_known_clients(std::string_view bytes) {
  if (bytes.size() > kMaxKnownClientsBytes) return std::nullopt;
  Json top;
  try {  // lengths beyond all bounds are thrown even where it is told to throw nothing
    top = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  if (!top.is_object()) return std::nullopt;
  const auto list = top.find("clients");
  if (list == top.end() || !list->is_array() || list->size() > kMaxKnownClients) return std::nullopt;
  std::vector<KnownClient> out;
  for (const Json& one : *list) {
    if (!read_client(one, out.emplace_back())) return std::nullopt;
  }
  return out;
}

}  // namespace damsonspoke::conns
