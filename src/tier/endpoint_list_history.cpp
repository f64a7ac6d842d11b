#include "tier/endpoint_list_history.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace damsonspoke::tier {
namespace {

using Json = nlohmann::json;

bool read_list(const Json& from, std::vector<std::string>& out) {
  if (!from.is_array() || from.size() > kMaxListedPlanners) return false;
  for (const Json& one : from) {
    if (!one.is_string()) return false;
    const auto& name = one.get_ref<const std::string&>();
    if (name.empty() || name.size() > kMaxAddressBytes) return false;
    out.push_back(name);
  }
  return true;
}

}  // namespace

std::string encode(const EndpointListHistory& record) {
  Json former = Json::array();
  const std::size_t skipped = record.former.size() - std::min(record.former.size(), kMaxFormerLists);
  for (std::size_t i = skipped; i < record.former.size(); ++i)
    former.push_back({{"until", record.former[i].until}, {"planners", record.former[i].planners}});
  const std::vector<std::uint8_t> bytes =
      Json::to_cbor({{"in_force", record.current}, {"former", std::move(former)}});
  return {bytes.begin(), bytes.end()};
}

std::optional<EndpointListHistory> decode_endpoint_list_history(std::string_view bytes) {
  if (bytes.size() > kMaxEndpointListHistoryBytes) return std::nullopt;
  Json top;
  try {  // lengths beyond all bounds are thrown even where it is told to throw nothing
    top = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  if (!top.is_object()) return std::nullopt;
  const auto in_force = top.find("in_force"), former = top.find("former");
  if (in_force == top.end() || former == top.end() || !former->is_array()) return std::nullopt;
  if (former->size() > kMaxFormerLists) return std::nullopt;
  EndpointListHistory out;
  if (!read_list(*in_force, out.current)) return std::nullopt;
  for (const Json& one : *former) {
    const auto until = one.find("until"), planners = one.find("planners");
    if (until == one.end() || !until->is_number() || planners == one.end()) return std::nullopt;
    FormerEndpointList& list = out.former.emplace_back();
    list.until = until->get<double>();
    if (!std::isfinite(list.until) || !read_list(*planners, list.planners)) return std::nullopt;
  }
  return out;
}

}  // namespace damsonspoke::tier
