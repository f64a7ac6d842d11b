#include "settings/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>

namespace damsonspoke {
namespace {

using Json = nlohmann::json;

constexpr double kSecondsPerMs = 0.001;
constexpr int kLeastSockets = 64;      // below, peers and the listener alone would leave no room for callers
constexpr double kLeastMemoryMb = 16;  // the program and its buffers at rest
// A longer file is refused: 44,000 routes take 4 MB as the platform writes them, and parsed JSON takes some
// ten times its text. More than that belongs into a catalog (src/catalog).
constexpr std::size_t kMostBytes = std::size_t{16} << 20;
constexpr std::size_t kLongestName = 1024;      // bytes; as the catalog keeps them
constexpr std::size_t kReadAtOnce = 16 * 1024;  // bytes

[[noreturn]] void bad(const std::string& key, const std::string& what) {
  throw SettingsError("configuration: '" + key + "' " + what);
}

std::string text(const Json& top, const char* key, bool needed) {
  const auto at = top.find(key);
  if (at == top.end() || at->is_null()) {
    if (needed) bad(key, "is missing");
    return {};
  }
  if (!at->is_string()) bad(key, "is not a string");
  std::string value = at->get<std::string>();
  if (needed && value.empty()) bad(key, "is empty");
  return value;
}

// Numeric addresses only: there is no name service.
std::string address(const Json& top, const char* key, bool needed) {
  std::string value = text(top, key, needed);
  if (value.empty()) return value;
  const std::size_t colon = value.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos || colon == 0) bad(key, "is not address:port");
  const char* end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port > 65535) bad(key, "has no port from 0 to 65535");
  return value;
}

double number(const Json& from, const char* key, double otherwise, double least) {
  const auto at = from.find(key);
  if (at == from.end() || at->is_null()) return otherwise;
  if (!at->is_number()) bad(key, "is not a number");
  const double value = at->get<double>();
  if (!std::isfinite(value) || value < least || value > 1e9) bad(key, "is out of range");
  return value;
}

// Requests name their type and their tenant by one word, so each is told apart by it. Time linear in the
// names.
void names_apart(const std::vector<std::string>& names, const std::string& key) {
  std::unordered_map<std::string_view, std::size_t> positions;
  positions.reserve(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i].empty() || names[i].find_first_of(" \t\r\n") != std::string::npos)
      bad(key, fmt::format("has an entry without a 'name' of one word: entry {}", i + 1));
    if (names[i].size() > kLongestName)
      bad(key, fmt::format("has a name of more than {} bytes: entry {}", kLongestName, i + 1));
    const auto [first, added] = positions.emplace(names[i], i);
    if (!added)
      bad(key, fmt::format("has two entries of one name: '{}', entries {} and {}", names[i],
                           first->second + 1, i + 1));
  }
}

}  // namespace

Config parse_config(const std::string& source) {
  const Json top = Json::parse(source, nullptr, false);
  if (!top.is_object()) throw SettingsError("configuration: not a JSON object");
  Config config;
  config.name = text(top, "name", true);
  if (config.name.find_first_of(" \t\r\n") != std::string::npos) bad("name", "holds a blank");
  config.listen = address(top, "listen", true);
  config.runtime = address(top, "runtime", true);
  config.registry = address(top, "roster", true);
  config.dependency = address(top, "backend", false);
  const std::string seed = text(top, "seed", false);
  if (!seed.empty()) {
    const auto [stop, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
    if (error != std::errc() || stop != seed.data() + seed.size()) bad("seed", "is not up to 16 hex digits");
  }
  config.stop_after = number(top, "stop_ms", 3000, 0) * kSecondsPerMs;
  const auto limits = top.find("limits");
  if (limits != top.end() && !limits->is_null()) {
    if (!limits->is_object()) bad("limits", "is not an object");
    config.limits.cores = number(*limits, "cores", config.limits.cores, 0.01);
    config.limits.memory_mb = number(*limits, "memory_mb", config.limits.memory_mb, kLeastMemoryMb);
    config.limits.sockets =
        static_cast<int>(number(*limits, "sockets", config.limits.sockets, kLeastSockets));
  }
  const auto settings = top.find("settings");
  if (settings == top.end()) bad("settings", "is missing");
  config.site = read_settings(*settings);
  names_apart(config.site.route_names, "request-classes");
  names_apart(config.site.tenant_names, "customers");
  if (config.site.admission.dependency != DependencyKind::kOff && config.dependency.empty()) {
    bad("backend", "is missing, but the settings have a layer below");
  }
  return config;
}

Config read_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw SettingsError("configuration: cannot read '" + path + "'");
  std::string text;
  char piece[kReadAtOnce];
  while (file.read(piece, sizeof piece), file.gcount() > 0) {
    text.append(piece, static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMostBytes)
      throw SettingsError(fmt::format("configuration: '{}' holds more than {} bytes", path, kMostBytes));
  }
  if (file.bad()) throw SettingsError("configuration: cannot read '" + path + "'");
  return parse_config(text);
}

namespace {

// Of the memory limit, for keys and results: what is left when the shares of the peers (see the backend), the
// program itself and open requests have theirs.
constexpr double kResultsShare = 0.2;
constexpr double kBytesPerMb = 1024 * 1024;
constexpr double kImpliedMemory = 8 * kBytesPerMb;  // bytes at most, as an operators' file has by default
constexpr std::size_t kImpliedEntryBytes = 400;     // of a key without its result: so many keys fit
constexpr std::size_t kImpliedKeyLength = 255;      // bytes; the most that a directive may allow

std::string unserved_results(const Config& config, const ResultsOptions& results) {
  const StartSettings& site = config.site;
  if (!results.enabled) return {};
  for (const std::string& type : results.digest) {
    const auto found = std::find(site.route_names.begin(), site.route_names.end(), type);
    if (found == site.route_names.end())
      return "results: digest names '" + type + "', which is no op type here";
    const auto i = static_cast<std::size_t>(found - site.route_names.begin());
    if (site.admission.routes[i].idempotency != Idempotency::kWithKey)
      return "results: digest names '" + type + "', which is not keyed: its ops are not remembered";
  }
  const double most = config.limits.memory_mb * kResultsShare * kBytesPerMb;
  if (static_cast<double>(results.memory) > most) {
    return "results: memory is over " + std::to_string(static_cast<int>(most / 1024)) +
           "K, a fifth of this backend's memory limit";
  }
  return {};
}

// Where the settings have keyed requests, or answers that reads may share, and no operators' file says how to
// keep them: in memory, for as long as the process lives. Guards against a start that is refused, and against
// keyed requests that run twice, at a site whose operators know no such file.
ResultsOptions kept_in_memory(const Config& config, const std::string& key_field) {
  ResultsOptions results;
  results.enabled = true;
  const double share = config.limits.memory_mb * kResultsShare * kBytesPerMb;
  results.memory = static_cast<std::size_t>(std::min(share, kImpliedMemory));
  results.entries = results.memory / kImpliedEntryBytes;
  results.patience = 1;  // s; of a store that is not there
  results.key_field = key_field;
  results.key_length = kImpliedKeyLength;
  return results;
}

}  // namespace

void serve_settings(const Config& config, const std::string& key_field, OperatorOptions& options) {
  if (options.results.enabled) return;
  const auto& types = config.site.admission.routes;
  const bool keyed = std::any_of(types.begin(), types.end(),
                                 [](const Route& type) { return type.idempotency == Idempotency::kWithKey; });
  if (keyed || config.site.admission.shared_answer_ttl > 0)
    options.results = kept_in_memory(config, key_field);
}

namespace {

std::string unserved_ajp(const Config& config, const AjpOptions& ajp) {
  if (!ajp.dependency.empty() && ajp.below_uri.front() != '/')
    return "ajp: below-path '" + ajp.below_uri + "' does not begin with /";
  if (ajp.listen.empty()) return {};
  const StartSettings& site = config.site;
  if (!site.admission.tenants.empty())
    return "ajp: it listens, but the settings have 'customers', and requests by AJP do not name theirs";
  if (ajp.routes.empty()) return "ajp: it listens, but no 'map' says what a request means";
  const bool loopback = ajp.listen.rfind("127.", 0) == 0 || ajp.listen.rfind("[::1]", 0) == 0;
  if (ajp.secret.empty() && !loopback)
    return "ajp: no secret; on '" + ajp.listen +
           "', which is no loopback address, anybody could be a gateway";
  for (const AjpRoute& route : ajp.routes) {
    const auto& names = site.route_names;
    if (route.route != "health" && std::find(names.begin(), names.end(), route.route) == names.end())
      return "ajp: map names '" + route.route + "', which is no op type here";
  }
  return {};
}

}  // namespace

std::string unserved(const Config& config, const OperatorOptions& options) {
  const StartSettings& site = config.site;
  std::string lacking = unserved_results(config, options.results);
  if (!lacking.empty()) return lacking;
  lacking = unserved_ajp(config, options.ajp);
  if (!lacking.empty()) return lacking;
  if (!options.catalog.folder.empty() && !options.ajp.listen.empty())
    return "catalog: has a folder, but AJP callers go by the op types of the settings alone";
  if (!options.catalog.folder.empty() && options.knowledge.enabled)
    return "catalog: has a folder, but knowledge is kept by the op types of the settings alone";
  if (options.knowledge.enabled && options.knowledge.folder.empty())
    return "knowledge: enabled, but no folder is named";
  // The new shape counts worth by work that the requests tell; counted so without hints, it would be blind.
  if (site.counted_by_work && !site.has_work_hints)
    return "settings: 'counted-by' is 'work', but 'hints' is 'none': no op would tell its work";
  if (site.admission.load_feedback != LoadFeedback::kOff)
    return "settings: 'say' is not off; this program announces nothing on sockets yet";
  if (site.admission.dependency == DependencyKind::kTier)
    return "settings: 'below' is a tier; this program calls a shared layer only";
  return {};
}

}  // namespace damsonspoke
