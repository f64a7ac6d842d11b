#include "settings.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace damsonspoke {
namespace {

using Json = nlohmann::json;

constexpr double kSecondsPerMs = 0.001;

[[noreturn]] void bad(const std::string& key) { throw SettingsError("settings: bad value of '" + key + "'"); }

// The value of a key, or null where it is absent.
const Json& find(const Json& from, const char* key) {
  static const Json absent;
  if (!from.is_object())
    throw SettingsError(std::string("settings: '") + key + "' is looked for in no object");
  const auto at = from.find(key);
  return at == from.end() ? absent : *at;
}

double number(const Json& from, const char* key, double otherwise) {
  const Json& value = find(from, key);
  if (value.is_null()) return otherwise;
  if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < 0) bad(key);
  return value.get<double>();
}

// A number that has no default: without it the decisions would rest on one of ours.
double needed(const Json& from, const char* key, double at_least) {
  if (find(from, key).is_null()) throw SettingsError(std::string("settings: no '") + key + "'");
  const double value = number(from, key, 0);
  if (value < at_least) bad(key);
  return value;
}

double share(const Json& from, const char* key, double otherwise) {
  const double value = number(from, key, otherwise);
  if (value > 1) bad(key);
  return value;
}

double seconds(const Json& from, const char* key) { return number(from, key, 0) * kSecondsPerMs; }

int whole(const Json& from, const char* key, int at_least) {
  const double value = number(from, key, at_least);
  if (value > 1e6 || value < at_least) bad(key);
  return static_cast<int>(value);
}

bool flag(const Json& from, const char* key) {
  const Json& value = find(from, key);
  if (value.is_null()) return false;
  if (!value.is_boolean()) bad(key);
  return value.get<bool>();
}

template <typename T>
T word(const Json& from, const char* key, std::initializer_list<std::pair<const char*, T>> words) {
  const Json& value = find(from, key);
  if (value.is_null()) return words.begin()->second;
  for (const auto& [text, meaning] : words) {
    if (value == text) return meaning;
  }
  bad(key);
}

const Json& array(const Json& from, const char* key) {
  static const Json none = Json::array();
  const Json& value = find(from, key);
  if (value.is_null()) return none;
  if (!value.is_array()) bad(key);
  return value;
}

}  // namespace

Route read_route(const Json& entry) {
  Route type;
  type.latency_objective = needed(entry, "target", 0) * kSecondsPerMs;
  type.timeout = needed(entry, "give-up", 0) * kSecondsPerMs;
  if (type.timeout <= 0) bad("give-up");
  type.idempotency_window = seconds(entry, "window");
  type.priority_weight = number(entry, "worth", 1);
  type.late_value = share(entry, "late-worth", 0);
  type.idempotency = word<Idempotency>(entry, "semantics",
                                       {{"retryable", Idempotency::kIdempotent},
                                        {"dedup", Idempotency::kWithKey},
                                        {"fragile", Idempotency::kNonIdempotent}});
  return type;
}

Tenant read_tenant(const Json& entry) {
  Tenant tenant;
  tenant.quota_per_second = number(entry, "quota-per-s", 0);
  return tenant;
}

StartSettings read_settings(std::string_view text) {
  return read_settings(Json::parse(text, nullptr, false));
}

StartSettings read_settings(const Json& top) {
  if (!top.is_object()) throw SettingsError("settings: not a JSON object");
  const Json& family = find(top, "family-info");
  if (!family.is_object()) bad("family-info");
  static const Json empty = Json::object();
  const Json& rules = find(top, "rules").is_object() ? find(top, "rules") : empty;
  const Json& allowed = find(top, "allowed").is_object() ? find(top, "allowed") : empty;

  StartSettings start;
  AdmissionOptions& s = start.admission;
  const Json& calls = array(family, "calls-by-class");
  const Json& without = array(family, "worth-without");
  for (const Json& entry : array(top, "request-classes")) {
    Route type = read_route(entry);
    const std::size_t at = s.routes.size();
    if (at < calls.size()) {
      if (!calls[at].is_boolean()) bad("calls-by-class");
      type.calls_dependency = calls[at].get<bool>();
    }
    if (at < without.size()) {
      if (!without[at].is_number()) bad("worth-without");
      type.value_without_call = without[at].get<double>();
      if (!(type.value_without_call >= 0 && type.value_without_call <= 1)) bad("worth-without");
    }
    const Json& name = find(entry, "name");
    if (!name.is_null() && !name.is_string()) bad("name");
    start.route_names.push_back(name.is_null() ? std::string() : name.get<std::string>());
    s.routes.push_back(type);
  }
  if (s.routes.empty()) bad("request-classes");
  for (const Json& entry : array(top, "customers")) {
    s.tenants.push_back(read_tenant(entry));
    const Json& name = find(entry, "name");
    if (!name.is_null() && !name.is_string()) bad("name");
    start.tenant_names.push_back(name.is_null() ? std::string() : name.get<std::string>());
  }
  s.servers = whole(top, "servers", 0);
  s.callers = whole(family, "callers", 0);
  needed(family, "cores", 1);
  s.cores = whole(family, "cores", 1);
  s.memory_kb = needed(family, "memory-kb", 0);
  if (s.memory_kb <= 0) bad("memory-kb");
  s.running_size_factor = number(family, "run-factor", 1);
  s.idempotency_key_kb = number(family, "key-kb", 0);
  s.shared_answer_ttl = seconds(family, "fresh");
  s.preemption = word<Preemption>(
      family, "halt",
      {{"off", Preemption::kOff}, {"drop", Preemption::kDrop}, {"pause", Preemption::kPause}});
  s.load_feedback = word<LoadFeedback>(family, "say",
                                       {{"off", LoadFeedback::kOff},
                                        {"level", LoadFeedback::kLevel},
                                        {"credit", LoadFeedback::kCredit},
                                        {"weight", LoadFeedback::kWeight}});
  s.deep_checks = flag(family, "deep-checks");
  start.registry_follows_health = flag(family, "list-follows");
  start.counted_by_work = word<bool>(top, "counted-by", {{"request", false}, {"work", true}});
  // A platform that counts by work has its requests tell theirs, and need not say so.
  start.has_work_hints = find(top, "hints").is_null()
                             ? start.counted_by_work
                             : word<bool>(top, "hints", {{"none", false}, {"good", true}, {"rough", true}});
  s.caller_idle_timeout = seconds(family, "caller-idle");
  s.dependency = word<DependencyKind>(
      family, "below",
      {{"off", DependencyKind::kOff}, {"shared", DependencyKind::kShared}, {"tier", DependencyKind::kTier}});
  s.dependency_share = number(family, "dep-share", 0);
  s.dependency_share_window = seconds(family, "calls-over");
  if (s.dependency == DependencyKind::kShared) {  // a part of nothing is a part; an untold one is not
    needed(family, "dep-share", 0);
    needed(family, "calls-over", 0);
  }
  s.abandoned_call_time = seconds(family, "linger");
  s.slow_start = flag(family, "cold");
  s.slow_start_speed = share(rules, "cold-from", 1);
  s.slow_start_time = seconds(rules, "cold");
  s.max_concurrency_factor = needed(rules, "fall-multiple", 1);
  s.drain_grace = seconds(rules, "stop-sending-within");
  s.sends_retry_after = flag(allowed, "retry-after");
  s.max_retry_after = seconds(allowed, "max-retry-after");
  s.timer_resolution = seconds(top, "resolution");
  for (const Json& name : array(family, "gauges")) {
    start.gauges.push_back(name == "cpu_busy"   ? Gauge::kCpuBusy
                           : name == "runnable" ? Gauge::kRunnable
                           : name == "mem_used" ? Gauge::kMemoryUsed
                           : name == "sockets"  ? Gauge::kConnections
                                                : Gauge::kOther);
  }
  return start;
}

}  // namespace damsonspoke
