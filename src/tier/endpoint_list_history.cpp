#include "tier/endpoint_list_history.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace damsonspoke::tier {
namespace {

using Json = nlohmann::json;

bool decode_addresses(const Json& from, std::vector<std::string>& out) {
  if (!from.is_array() || from.size() > kMaxListedPlanners) return false;
  for (const Json& item : from) {
    if (!item.is_string()) return false;
    const auto& address = item.get_ref<const std::string&>();
    if (address.empty() || address.size() > kMaxAddressBytes) return false;
    out.push_back(address);
  }
  return true;
}

bool decode_former_list(const Json& from, FormerEndpointList& out) {
  const auto until = from.find("until");
  const auto planners = from.find("planners");
  if (until == from.end() || !until->is_number() || planners == from.end()) return false;
  out.until = until->get<double>();
  return std::isfinite(out.until) && decode_addresses(*planners, out.planners);
}

// Returns nullopt if the bytes are not valid CBOR. The parser throws on excessive lengths even with
// exceptions disabled.
std::optional<Json> parse_cbor(std::string_view bytes) {
  try {
    return std::optional<Json>(std::in_place, Json::from_cbor(bytes.begin(), bytes.end(), true, false));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode(const EndpointListHistory& history) {
  Json former = Json::array();
  const std::size_t skipped = history.former.size() - std::min(history.former.size(), kMaxFormerLists);
  for (std::size_t i = skipped; i < history.former.size(); ++i)
    former.push_back({{"until", history.former[i].until}, {"planners", history.former[i].planners}});
  const std::vector<std::uint8_t> bytes =
      Json::to_cbor({{"in_force", history.current}, {"former", std::move(former)}});
  return {bytes.begin(), bytes.end()};
}

std::optional<EndpointListHistory> decode_endpoint_list_history(std::string_view bytes) {
  if (bytes.size() > kMaxEndpointListHistoryBytes) return std::nullopt;
  const std::optional<Json> top = parse_cbor(bytes);
  if (!top || !top->is_object()) return std::nullopt;
  const auto current = top->find("in_force");
  const auto former = top->find("former");
  if (current == top->end() || former == top->end()) return std::nullopt;
  if (!former->is_array() || former->size() > kMaxFormerLists) return std::nullopt;
  EndpointListHistory out;
  if (!decode_addresses(*current, out.current)) return std::nullopt;
  for (const Json& list : *former) {
    if (!decode_former_list(list, out.former.emplace_back())) return std::nullopt;
  }
  return out;
}

}  // namespace damsonspoke::tier
