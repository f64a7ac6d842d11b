#include "catalog/codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "settings/settings.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {
namespace {

using Json = nlohmann::json;

constexpr double kMsPerSecond = 1000;

Json object_in(std::string_view line) {
  Json object = Json::parse(line, nullptr, false);
  if (!object.is_object()) throw CodecError("it is no JSON object");
  return object;
}

// The name in that member; empty: there is no such member.
std::string name_in(const Json& object, const char* member) {
  const auto at = object.find(member);
  if (at == object.end()) return {};
  if (!at->is_string() || at->get_ref<const std::string&>().empty())
    throw CodecError(fmt::format("'{}' is no name", member));
  return at->get<std::string>();
}

std::uint64_t number_in(const Json& object, const char* member) {
  const auto at = object.find(member);
  if (at == object.end() || !at->is_number_unsigned())
    throw CodecError(fmt::format("'{}' is no whole number", member));
  return at->get<std::uint64_t>();
}

HistoryDigest digest_in(const Json& object, const char* member) {
  const auto at = object.find(member);
  HistoryDigest digest = 0;
  if (at == object.end() || !at->is_string()) throw CodecError(fmt::format("'{}' is no digest", member));
  const auto& text = at->get_ref<const std::string&>();
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), digest, 16);
  if (error != std::errc() || stop != text.data() + text.size())
    throw CodecError(fmt::format("'{}' is no digest", member));
  return digest;
}

Route route_in(const Json& object) {
  Route type = read_route(object);
  if (const auto calls = object.find("calls"); calls != object.end()) {
    if (!calls->is_boolean()) throw CodecError("bad value of 'calls'");
    type.calls_dependency = calls->get<bool>();
  }
  if (const auto without = object.find("worth-without"); without != object.end()) {
    if (!without->is_number()) throw CodecError("bad value of 'worth-without'");
    type.value_without_call = without->get<double>();
    if (!(type.value_without_call >= 0 && type.value_without_call <= 1))
      throw CodecError("bad value of 'worth-without'");
  }
  return type;
}

// What `read` reads; an error names the entry too.
template <typename Read>
auto settings_of(const char* kind, const std::string& name, Read&& read) {
  try {
    return read();
  } catch (const std::runtime_error& error) {
    throw CodecError(fmt::format("{} '{}': {}", kind, name, error.what()));
  }
}

const char* text_of(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::kIdempotent: return "retryable";
    case Idempotency::kWithKey: return "dedup";
    case Idempotency::kNonIdempotent: return "fragile";
  }
  return "";
}

struct Encoder {
  std::string operator()(const PutRoute& route) const {
    const Route& type = route.settings;
    Json object = {{"route", route.name},
                   {"target", type.latency_objective * kMsPerSecond},
                   {"give-up", type.timeout * kMsPerSecond},
                   {"worth", type.priority_weight},
                   {"semantics", text_of(type.idempotency)}};
    if (type.idempotency_window > 0) object["window"] = type.idempotency_window * kMsPerSecond;
    if (type.late_value > 0) object["late-worth"] = type.late_value;
    if (type.calls_dependency) object["calls"] = true;
    if (type.value_without_call > 0) object["worth-without"] = type.value_without_call;
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
  if (line.size() > kMaxLineBytes) throw CodecError(fmt::format("it has more than {} bytes", kMaxLineBytes));
  const Json object = object_in(line);
  if (std::string name = name_in(object, "tenant"); !name.empty()) {
    const Tenant tenant = settings_of("tenant", name, [&] { return read_tenant(object); });
    return PutTenant{std::move(name), tenant};
  }
  if (std::string name = name_in(object, "route"); !name.empty()) {
    const Route type = settings_of("route", name, [&] { return route_in(object); });
    return PutRoute{std::move(name), type};
  }
  if (std::string name = name_in(object, "remove-tenant"); !name.empty())
    return RemoveTenant{std::move(name)};
  if (std::string name = name_in(object, "remove-route"); !name.empty()) return RemoveRoute{std::move(name)};
  throw CodecError("it names neither a route nor a tenant");
}

std::string encode_change(const Change& change) { return std::visit(Encoder{}, change); }

std::string describe(const Change& change) {
  const bool route = std::holds_alternative<PutRoute>(change) || std::holds_alternative<RemoveRoute>(change);
  return std::visit(
      [&](const auto& one) { return fmt::format("{} '{}'", route ? "route" : "tenant", one.name); }, change);
}

HistoryDigest extend_history(HistoryDigest history, std::string_view line) {
  return XXH3_64bits_withSeed(line.data(), line.size(), history);
}

SnapshotHeader decode_snapshot_header(std::string_view line) {
  const Json object = object_in(line);
  return {{number_in(object, "epoch"), number_in(object, "sequence")},
          digest_in(object, "history"),
          number_in(object, "routes"),
          number_in(object, "tenants")};
}

BatchHeader decode_batch_header(std::string_view line) {
  const Json object = object_in(line);
  BatchHeader header{number_in(object, "epoch"), number_in(object, "first"), number_in(object, "last"),
                     digest_in(object, "before"), digest_in(object, "after")};
  if (header.first_sequence == 0 || header.last_sequence < header.first_sequence)
    throw CodecError("its numbers are out of order");
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

std::string encode_batch(std::uint64_t epoch, std::uint64_t first, HistoryDigest& history,
                         const std::string& lines) {
  BatchHeader header{epoch, first, first - 1, history, history};
  for (std::size_t from = 0; from < lines.size();) {
    const std::size_t end = lines.find('\n', from);
    header.history_after =
        extend_history(header.history_after, std::string_view(lines).substr(from, end - from));
    ++header.last_sequence;
    from = end + 1;
  }
  history = header.history_after;
  return store::add_checksum(kBatchFormat, encode_header(header) + lines);
}

}  // namespace damsonspoke::catalog
