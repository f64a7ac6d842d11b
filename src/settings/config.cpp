#include "settings/config.h"

#include <fmt/format.h>

#include <array>
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
constexpr double kDefaultStopAfterMs = 3000;
constexpr unsigned kMaxPort = 65535;
constexpr double kMaxNumber = 1e9;
constexpr double kMinCores = 0.01;
constexpr int kMinSockets =
    64;  // with fewer, too few would be left for callers besides the links to the peers and the listener
constexpr double kMinMemoryMb = 16;  // the program and its buffers without load
// Parsed JSON takes about ten times the memory of its text. A larger site needs a catalog (src/catalog).
constexpr std::size_t kMaxFileBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxNameBytes = 1024;  // the same as in the catalog
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr const char* kWhitespace = " \t\r\n";

[[noreturn]] void throw_invalid(const std::string& key, const std::string& what) {
  throw SettingsError("configuration: '" + key + "' " + what);
}

enum class Presence { kOptional, kRequired };

std::string read_text(const Json& top, const char* key, Presence presence) {
  const auto found = top.find(key);
  if (found == top.end() || found->is_null()) {
    if (presence == Presence::kRequired) throw_invalid(key, "is missing");
    return {};
  }
  if (!found->is_string()) throw_invalid(key, "is not a string");
  std::string value = found->get<std::string>();
  if (presence == Presence::kRequired && value.empty()) throw_invalid(key, "is empty");
  return value;
}

// Reads address:port. The address must be numeric, because names are not resolved.
std::string read_address(const Json& top, const char* key, Presence presence) {
  std::string value = read_text(top, key, presence);
  if (value.empty()) return value;
  const std::size_t colon = value.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos || colon == 0) throw_invalid(key, "is not address:port");
  const char* end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port > kMaxPort)
    throw_invalid(key, "has no port from 0 to 65535");
  return value;
}

double read_number(const Json& from, const char* key, double default_value, double minimum) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) return default_value;
  if (!found->is_number()) throw_invalid(key, "is not a number");
  const double value = found->get<double>();
  if (!std::isfinite(value) || value < minimum || value > kMaxNumber) throw_invalid(key, "is out of range");
  return value;
}

// Checks that names are unique and free of whitespace, since requests refer to their route and tenant by
// name. Takes linear time.
void check_names(const std::vector<std::string>& names, const std::string& key) {
  std::unordered_map<std::string_view, std::size_t> positions;
  positions.reserve(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i].empty() || names[i].find_first_of(kWhitespace) != std::string::npos)
      throw_invalid(
          key, fmt::format("has an entry whose 'name' is missing or contains whitespace: entry {}", i + 1));
    if (names[i].size() > kMaxNameBytes)
      throw_invalid(key, fmt::format("has a name longer than {} bytes: entry {}", kMaxNameBytes, i + 1));
    const auto [first, added] = positions.emplace(names[i], i);
    if (!added)
      throw_invalid(key, fmt::format("has two entries with the name '{}': entries {} and {}", names[i],
                                     first->second + 1, i + 1));
  }
}

std::uint64_t read_seed(const Json& top) {
  const std::string text = read_text(top, "seed", Presence::kOptional);
  if (text.empty()) return 0;
  std::uint64_t seed = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || stop != text.data() + text.size())
    throw_invalid("seed", "is not a number of up to 16 hex digits");
  return seed;
}

Limits read_limits(const Json& top) {
  Limits limits;
  const auto found = top.find("limits");
  if (found == top.end() || found->is_null()) return limits;
  if (!found->is_object()) throw_invalid("limits", "is not an object");
  limits.cores = read_number(*found, "cores", limits.cores, kMinCores);
  limits.memory_mb = read_number(*found, "memory_mb", limits.memory_mb, kMinMemoryMb);
  limits.sockets = static_cast<int>(read_number(*found, "sockets", limits.sockets, kMinSockets));
  return limits;
}

StartSettings read_site(const Json& top) {
  const auto found = top.find("settings");
  if (found == top.end()) throw_invalid("settings", "is missing");
  StartSettings site = read_settings(*found);
  check_names(site.route_names, "request-classes");
  check_names(site.tenant_names, "customers");
  return site;
}

}  // namespace

Config parse_config(const std::string& text) {
  const Json top = Json::parse(text, nullptr, false);
  if (!top.is_object()) throw SettingsError("configuration: not a JSON object");
  Config config;
  config.name = read_text(top, "name", Presence::kRequired);
  if (config.name.find_first_of(kWhitespace) != std::string::npos)
    throw_invalid("name", "contains whitespace");
  config.listen = read_address(top, "listen", Presence::kRequired);
  config.runtime = read_address(top, "runtime", Presence::kRequired);
  config.registry = read_address(top, "roster", Presence::kRequired);
  config.dependency = read_address(top, "backend", Presence::kOptional);
  config.seed = read_seed(top);
  config.stop_after = read_number(top, "stop_ms", kDefaultStopAfterMs, 0) * kSecondsPerMs;
  config.limits = read_limits(top);
  config.site = read_site(top);
  if (config.site.admission.dependency != DependencyKind::kOff && config.dependency.empty())
    throw_invalid("backend", "is missing, but the settings enable calls to a dependency");
  return config;
}

Config read_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw SettingsError("configuration: cannot read '" + path + "'");
  std::string text;
  std::array<char, kReadBytes> buffer{};
  while (file) {
    file.read(buffer.data(), buffer.size());
    text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMaxFileBytes)
      throw SettingsError(fmt::format("configuration: '{}' holds more than {} bytes", path, kMaxFileBytes));
  }
  if (file.bad()) throw SettingsError("configuration: cannot read '" + path + "'");
  return parse_config(text);
}

}  // namespace damsonspoke
