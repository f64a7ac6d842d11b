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

OpType read_op_type(const Json& entry) {
  OpType type;
  type.target_latency = needed(entry, "target", 0) * kSecondsPerMs;
  type.op_timeout = needed(entry, "give-up", 0) * kSecondsPerMs;
  if (type.op_timeout <= 0) bad("give-up");
  type.window = seconds(entry, "window");
  type.importance = number(entry, "worth", 1);
  type.late_worth = share(entry, "late-worth", 0);
  type.effect = word<Effect>(
      entry, "semantics",
      {{"retryable", Effect::kRetryable}, {"dedup", Effect::kKeyed}, {"fragile", Effect::kNonRetryable}});
  return type;
}

Customer read_customer(const Json& entry) {
  Customer customer;
  customer.quota_per_s = number(entry, "quota-per-s", 0);
  return customer;
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
  Settings& s = start.settings;
  const Json& calls = array(family, "calls-by-class");
  const Json& without = array(family, "worth-without");
  for (const Json& entry : array(top, "request-classes")) {
    OpType type = read_op_type(entry);
    const std::size_t at = s.op_types.size();
    if (at < calls.size()) {
      if (!calls[at].is_boolean()) bad("calls-by-class");
      type.calls = calls[at].get<bool>();
    }
    if (at < without.size()) {
      if (!without[at].is_number()) bad("worth-without");
      type.worth_without = without[at].get<double>();
      if (!(type.worth_without >= 0 && type.worth_without <= 1)) bad("worth-without");
    }
    const Json& name = find(entry, "name");
    if (!name.is_null() && !name.is_string()) bad("name");
    start.type_names.push_back(name.is_null() ? std::string() : name.get<std::string>());
    s.op_types.push_back(type);
  }
  if (s.op_types.empty()) bad("request-classes");
  for (const Json& entry : array(top, "customers")) {
    s.customers.push_back(read_customer(entry));
    const Json& name = find(entry, "name");
    if (!name.is_null() && !name.is_string()) bad("name");
    start.customer_names.push_back(name.is_null() ? std::string() : name.get<std::string>());
  }
  s.servers = whole(top, "servers", 0);
  s.callers = whole(family, "callers", 0);
  needed(family, "cores", 1);
  s.cores = whole(family, "cores", 1);
  s.memory_kb = needed(family, "memory-kb", 0);
  if (s.memory_kb <= 0) bad("memory-kb");
  s.run_factor = number(family, "run-factor", 1);
  s.key_kb = number(family, "key-kb", 0);
  s.fresh = seconds(family, "fresh");
  s.halt = word<Halt>(family, "halt", {{"off", Halt::kOff}, {"drop", Halt::kDrop}, {"pause", Halt::kPause}});
  s.say = word<Say>(
      family, "say",
      {{"off", Say::kOff}, {"level", Say::kLevel}, {"credit", Say::kCredit}, {"weight", Say::kWeight}});
  s.deep_checks = flag(family, "deep-checks");
  start.list_follows = flag(family, "list-follows");
  start.by_work = word<bool>(top, "counted-by", {{"request", false}, {"work", true}});
  // A platform that counts by work has its ops tell theirs, and need not say so.
  start.hints = find(top, "hints").is_null()
                    ? start.by_work
                    : word<bool>(top, "hints", {{"none", false}, {"good", true}, {"rough", true}});
  s.caller_idle = seconds(family, "caller-idle");
  s.below = word<Below>(family, "below",
                        {{"off", Below::kOff}, {"shared", Below::kShared}, {"tier", Below::kTier}});
  s.dep_share = number(family, "dep-share", 0);
  s.calls_over = seconds(family, "calls-over");
  if (s.below == Below::kShared) {  // a part of nothing is a part; an untold one is not
    needed(family, "dep-share", 0);
    needed(family, "calls-over", 0);
  }
  s.linger = seconds(family, "linger");
  s.cold = flag(family, "cold");
  s.cold_from = share(rules, "cold-from", 1);
  s.cold_time = seconds(rules, "cold");
  s.crowd_multiple = needed(rules, "fall-multiple", 1);
  s.drain_grace = seconds(rules, "stop-sending-within");
  s.retry_after = flag(allowed, "retry-after");
  s.max_retry_after = seconds(allowed, "max-retry-after");
  s.resolution = seconds(top, "resolution");
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
