#include "statistics/record.h"

#include <nlohmann/json.hpp>

namespace damsonspoke::statistics {
namespace {

using Json = nlohmann::json;

Json json_of(const LearnedDurations& times) { return {{"bins", times.bins}, {"sum", times.sum}}; }

// What is of another kind than expected reads as nothing: the policy then finds it senseless.
double number(const Json& from, const char* key, double otherwise) {
  const auto at = from.find(key);
  return at != from.end() && at->is_number() ? at->get<double>() : otherwise;
}
std::string text(const Json& from, const char* key) {
  const auto at = from.find(key);
  return at != from.end() && at->is_string() ? at->get<std::string>() : std::string();
}
bool flag(const Json& from, const char* key, bool otherwise) {
  const auto at = from.find(key);
  return at != from.end() && at->is_boolean() ? at->get<bool>() : otherwise;
}
LearnedDurations times(const Json& from, const char* key) {
  LearnedDurations out;
  const auto at = from.find(key);
  if (at == from.end() || !at->is_object()) return out;
  out.sum = number(*at, "sum", -1);
  const auto bins = at->find("bins");
  if (bins == at->end() || !bins->is_array() || bins->size() > 64) return out;
  for (const Json& bin : *bins) out.bins.push_back(bin.is_number() ? bin.get<double>() : -1);
  return out;
}
int whole(const Json& from, const char* key) {
  const double value = number(from, key, -1);
  return value >= 0 && value <= 1e6 ? static_cast<int>(value) : -1;
}

}  // namespace

StatisticsRecord record_of(const LearnedStatistics& learned, const StartSettings& site,
                           const std::string& name, double written, double lived) {
  StatisticsRecord out;
  out.written = written;
  out.lived = lived;
  out.site = name;
  out.cores = site.admission.cores;
  out.dependency = static_cast<int>(site.admission.dependency);
  out.caller_idle_timeout = site.admission.caller_idle_timeout;
  out.troubled = learned.under_pressure;
  out.calls = learned.calls;
  out.returns = learned.returning_share;
  for (std::size_t i = 0; i < learned.routes.size() && i < kMostTypes; ++i) {
    const Route& type = site.admission.routes[i];
    out.types.push_back({site.route_names[i], type.latency_objective, type.timeout, type.calls_dependency,
                         learned.routes[i].run, learned.routes[i].away});
  }
  return out;
}

std::string encode(const StatisticsRecord& r) {
  Json types = Json::array();
  for (const RouteRecord& t : r.types) {
    types.push_back({{"name", t.name},
                     {"target", t.target},
                     {"timeout", t.timeout},
                     {"calls", t.calls},
                     {"run", json_of(t.run)},
                     {"away", json_of(t.away)}});
  }
  const Json top = {
      {"written", r.written},   {"lived", r.lived},          {"site", r.site},
      {"cores", r.cores},       {"below", r.dependency},     {"caller_idle", r.caller_idle_timeout},
      {"troubled", r.troubled}, {"types", std::move(types)}, {"calls", json_of(r.calls)},
      {"returns", r.returns}};
  const std::vector<std::uint8_t> bytes = Json::to_cbor(top);
  return {bytes.begin(), bytes.end()};
}

std::optional<StatisticsRecord> decode(std::string_view bytes) {
  if (bytes.size() > kMostBytes) return std::nullopt;
  Json top;
  try {
    top = Json::from_cbor(bytes, true, false);
  } catch (const Json::exception&) {  // a length that no memory holds is thrown whatever is asked for
    return std::nullopt;
  }
  if (!top.is_object()) return std::nullopt;
  StatisticsRecord r;
  r.written = number(top, "written", -1);
  r.lived = number(top, "lived", 0);
  r.site = text(top, "site");
  r.cores = whole(top, "cores");
  r.dependency = whole(top, "below");
  r.caller_idle_timeout = number(top, "caller_idle", -1);
  r.troubled = flag(top, "troubled", true);
  r.calls = times(top, "calls");
  r.returns = number(top, "returns", -1);
  const auto types = top.find("types");
  if (types == top.end() || !types->is_array() || types->size() > kMostTypes) return std::nullopt;
  for (const Json& t : *types) {
    if (!t.is_object()) return std::nullopt;
    r.types.push_back({text(t, "name"), number(t, "target", -1), number(t, "timeout", -1),
                       flag(t, "calls", false), times(t, "run"), times(t, "away")});
  }
  return r;
}

}  // namespace damsonspoke::statistics
