#include "statistics/record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damsonspoke::statistics {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxBins = 64;
constexpr double kMaxInteger = 1e6;

Json to_json(const LearnedDurations& durations) { return {{"bins", durations.bins}, {"sum", durations.sum}}; }

Json to_json(const RouteRecord& route) {
  return {{"name", route.name},        {"target", route.latency_objective},
          {"timeout", route.timeout},  {"calls", route.calls_dependency},
          {"run", to_json(route.run)}, {"away", to_json(route.call)}};
}

double number_or(const Json& object, const char* key, double fallback) {
  const auto member = object.find(key);
  return member != object.end() && member->is_number() ? member->get<double>() : fallback;
}

std::string text_or_empty(const Json& object, const char* key) {
  const auto member = object.find(key);
  return member != object.end() && member->is_string() ? member->get<std::string>() : std::string();
}

bool flag_or(const Json& object, const char* key, bool fallback) {
  const auto member = object.find(key);
  return member != object.end() && member->is_boolean() ? member->get<bool>() : fallback;
}

// Returns -1 if the member is missing or out of range.
int integer_of(const Json& object, const char* key) {
  const double value = number_or(object, key, -1);
  return value >= 0 && value <= kMaxInteger ? static_cast<int>(value) : -1;
}

LearnedDurations durations_of(const Json& object, const char* key) {
  LearnedDurations durations;
  const auto member = object.find(key);
  if (member == object.end() || !member->is_object()) return durations;
  durations.sum = number_or(*member, "sum", -1);
  const auto bins = member->find("bins");
  if (bins == member->end() || !bins->is_array() || bins->size() > kMaxBins) return durations;
  for (const Json& bin : *bins) durations.bins.push_back(bin.is_number() ? bin.get<double>() : -1);
  return durations;
}

RouteRecord route_of(const Json& object) {
  return {text_or_empty(object, "name"),   number_or(object, "target", -1), number_or(object, "timeout", -1),
          flag_or(object, "calls", false), durations_of(object, "run"),     durations_of(object, "away")};
}

std::optional<Json> parse(std::string_view bytes) {
  if (bytes.size() > kMaxRecordBytes) return std::nullopt;
  try {
    return Json::from_cbor(bytes, true, false);
  } catch (const Json::exception&) {  // thrown for an excessive length, although exceptions are turned off
    return std::nullopt;
  }
}

}  // namespace

StatisticsRecord make_record(const LearnedStatistics& learned, const StartSettings& site,
                             const std::string& server_name, double written_at, double uptime_seconds) {
  StatisticsRecord record;
  record.written_at = written_at;
  record.uptime_seconds = uptime_seconds;
  record.server_name = server_name;
  record.cores = site.admission.cores;
  record.dependency = static_cast<int>(site.admission.dependency);
  record.caller_idle_timeout = site.admission.caller_idle_timeout;
  record.under_pressure = learned.under_pressure;
  record.calls = learned.calls;
  record.returning_share = learned.returning_share;
  const std::size_t count = std::min(learned.routes.size(), kMaxRoutes);
  for (std::size_t i = 0; i < count; ++i) {
    const Route& route = site.admission.routes[i];
    record.routes.push_back({site.route_names[i], route.latency_objective, route.timeout,
                             route.calls_dependency, learned.routes[i].run, learned.routes[i].call});
  }
  return record;
}

// The member names are part of the stored format.
std::string encode(const StatisticsRecord& record) {
  Json routes = Json::array();
  for (const RouteRecord& route : record.routes) routes.push_back(to_json(route));
  const Json object = {{"written", record.written_at},      {"lived", record.uptime_seconds},
                       {"site", record.server_name},        {"cores", record.cores},
                       {"below", record.dependency},        {"caller_idle", record.caller_idle_timeout},
                       {"troubled", record.under_pressure}, {"types", std::move(routes)},
                       {"calls", to_json(record.calls)},    {"returns", record.returning_share}};
  const std::vector<std::uint8_t> bytes = Json::to_cbor(object);
  return {bytes.begin(), bytes.end()};
}

std::optional<StatisticsRecord> decode(std::string_view bytes) {
  const std::optional<Json> object = parse(bytes);
  if (!object || !object->is_object()) return std::nullopt;
  StatisticsRecord record;
  record.written_at = number_or(*object, "written", -1);
  record.uptime_seconds = number_or(*object, "lived", 0);
  record.server_name = text_or_empty(*object, "site");
  record.cores = integer_of(*object, "cores");
  record.dependency = integer_of(*object, "below");
  record.caller_idle_timeout = number_or(*object, "caller_idle", -1);
  record.under_pressure = flag_or(*object, "troubled", true);
  record.calls = durations_of(*object, "calls");
  record.returning_share = number_or(*object, "returns", -1);
  const auto routes = object->find("types");
  if (routes == object->end() || !routes->is_array() || routes->size() > kMaxRoutes) return std::nullopt;
  for (const Json& route : *routes) {
    if (!route.is_object()) return std::nullopt;
    record.routes.push_back(route_of(route));
  }
  return record;
}

}  // namespace damsonspoke::statistics
