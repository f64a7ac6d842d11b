#include "catalog/codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "catalog/line_reader.h"
#include "settings/settings.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {
namespace {

using Json = nlohmann::json;

constexpr double kMsPerSecond = 1000;

Json parse_object(std::string_view line) {
  Json object = Json::parse(line, nullptr, false);
  if (!object.is_object()) throw CodecError("it is not a JSON object");
  return object;
}

// The name in a member; empty if there is no such member.
std::string read_name(const Json& object, const char* member) {
  const auto found = object.find(member);
  if (found == object.end()) return {};
  if (!found->is_string() || found->get_ref<const std::string&>().empty())
    throw CodecError(fmt::format("'{}' is not a name", member));
  return found->get<std::string>();
}

std::uint64_t read_number(const Json& object, const char* member) {
  const auto found = object.find(member);
  if (found == object.end() || !found->is_number_unsigned())
    throw CodecError(fmt::format("'{}' is not an unsigned integer", member));
  return found->get<std::uint64_t>();
}

HistoryDigest read_digest(const Json& object, const char* member) {
  const auto found = object.find(member);
  HistoryDigest digest = 0;
  if (found == object.end() || !found->is_string())
    throw CodecError(fmt::format("'{}' is not a digest", member));
  const auto& text = found->get_ref<const std::string&>();
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), digest, 16);
  if (error != std::errc() || stop != text.data() + text.size())
    throw CodecError(fmt::format("'{}' is not a digest", member));
  return digest;
}

Route read_catalog_route(const Json& object) {
  Route route = read_route(object);
  if (const auto calls = object.find("calls"); calls != object.end()) {
    if (!calls->is_boolean()) throw CodecError("invalid value of 'calls'");
    route.calls_dependency = calls->get<bool>();
  }
  if (const auto without = object.find("worth-without"); without != object.end()) {
    if (!without->is_number()) throw CodecError("invalid value of 'worth-without'");
    route.value_without_call = without->get<double>();
    if (!(route.value_without_call >= 0 && route.value_without_call <= 1))
      throw CodecError("invalid value of 'worth-without'");
  }
  return route;
}

// Calls `read`. Rethrows its exceptions as a CodecError that also names the entry.
template <typename Read>
auto read_settings_of(const char* kind, const std::string& name, const Read& read) {
  try {
    return read();
  } catch (const std::runtime_error& error) {
    throw CodecError(fmt::format("{} '{}': {}", kind, name, error.what()));
  }
}

const char* encode_idempotency(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::kIdempotent: return "retryable";
    case Idempotency::kWithKey: return "dedup";
    case Idempotency::kNonIdempotent: return "fragile";
  }
  return "";
}

struct Encoder {
  std::string operator()(const PutRoute& route) const {
    const Route& settings = route.settings;
    Json object = {{"route", route.name},
                   {"target", settings.latency_objective * kMsPerSecond},
                   {"give-up", settings.timeout * kMsPerSecond},
                   {"worth", settings.priority_weight},
                   {"semantics", encode_idempotency(settings.idempotency)}};
    if (settings.idempotency_window > 0) object["window"] = settings.idempotency_window * kMsPerSecond;
    if (settings.late_value > 0) object["late-worth"] = settings.late_value;
    if (settings.calls_dependency) object["calls"] = true;
    if (settings.value_without_call > 0) object["worth-without"] = settings.value_without_call;
    return object.dump() + "\n";
  }
  std::string operator()(const PutTenant& tenant) const {
    return Json{{"tenant", tenant.name}, {"quota-per-s", tenant.settings.quota_per_second}}.dump() + "\n";
  }
  std::string operator()(const RemoveRoute& route) const {
    return Json{{"remove-route", route.name}}.dump() + "\n";
  }
  std::string operator()(const RemoveTenant& tenant) const {
    return Json{{"remove-tenant", tenant.name}}.dump() + "\n";
  }
};

}  // namespace

Change decode_change(std::string_view line) {
  if (line.size() > kMaxLineBytes) throw CodecError(fmt::format("it is longer than {} bytes", kMaxLineBytes));
  const Json object = parse_object(line);
  if (std::string name = read_name(object, "tenant"); !name.empty()) {
    const Tenant settings = read_settings_of("tenant", name, [&] { return read_tenant(object); });
    return PutTenant{std::move(name), settings};
  }
  if (std::string name = read_name(object, "route"); !name.empty()) {
    const Route settings = read_settings_of("route", name, [&] { return read_catalog_route(object); });
    return PutRoute{std::move(name), settings};
  }
  if (std::string name = read_name(object, "remove-tenant"); !name.empty())
    return RemoveTenant{std::move(name)};
  if (std::string name = read_name(object, "remove-route"); !name.empty())
    return RemoveRoute{std::move(name)};
  throw CodecError("it names neither a route nor a tenant");
}

std::string encode_change(const Change& change) { return std::visit(Encoder{}, change); }

std::string describe(const Change& change) {
  const bool is_route =
      std::holds_alternative<PutRoute>(change) || std::holds_alternative<RemoveRoute>(change);
  return std::visit(
      [&](const auto& entry) { return fmt::format("{} '{}'", is_route ? "route" : "tenant", entry.name); },
      change);
}

HistoryDigest extend_history(HistoryDigest history, std::string_view line) {
  return XXH3_64bits_withSeed(line.data(), line.size(), history);
}

SnapshotHeader decode_snapshot_header(std::string_view line) {
  const Json object = parse_object(line);
  return {{read_number(object, "epoch"), read_number(object, "sequence")},
          read_digest(object, "history"),
          read_number(object, "routes"),
          read_number(object, "tenants")};
}

BatchHeader decode_batch_header(std::string_view line) {
  const Json object = parse_object(line);
  BatchHeader header{read_number(object, "epoch"), read_number(object, "first"), read_number(object, "last"),
                     read_digest(object, "before"), read_digest(object, "after")};
  if (header.first_sequence == 0 || header.last_sequence < header.first_sequence)
    throw CodecError("its sequence numbers are out of order");
  return header;
}

std::string encode_header(const SnapshotHeader& header) {
  return Json{{"epoch", header.version.epoch},
              {"sequence", header.version.sequence},
              {"history", fmt::format("{:x}", header.history)},
              {"routes", header.routes},
              {"tenants", header.tenants}}
             .dump() +
         "\n";
}

std::string encode_header(const BatchHeader& header) {
  return Json{{"epoch", header.epoch},
              {"first", header.first_sequence},
              {"last", header.last_sequence},
              {"before", fmt::format("{:x}", header.history_before)},
              {"after", fmt::format("{:x}", header.history_after)}}
             .dump() +
         "\n";
}

std::string encode_batch(std::uint64_t epoch, std::uint64_t first_sequence, HistoryDigest& history,
                         const std::string& lines) {
  BatchHeader header{epoch, first_sequence, first_sequence - 1, history, history};
  std::size_t offset = 0;
  while (const std::optional<std::string_view> line = next_line(lines, offset)) {
    header.history_after = extend_history(header.history_after, *line);
    ++header.last_sequence;
  }
  history = header.history_after;
  return store::add_checksum(kBatchFormat, encode_header(header) + lines);
}

}  // namespace damsonspoke::catalog
