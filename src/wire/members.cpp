#include "wire/members.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace damsonspoke::wire::members {
namespace {

namespace m = damsonspoke::members;
using Json = nlohmann::json;

constexpr std::string_view kMagic = "DMB";
constexpr std::size_t kMostAge = 0xfffffffe;

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255);
}
std::uint64_t get(std::string_view bytes, int count) {
  std::uint64_t value = 0;
  for (int i = 0; i < count; ++i)
    value = value << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
  return value;
}

std::uint32_t cluster_of(const std::string& cluster) {
  return XXH32(cluster.data(), cluster.size(), 0x6d656d62);
}

// ---- Values to CBOR. What says nothing at the end of an array is left out.

struct Row {
  Json row = Json::array();
  std::size_t said = 0;
  void add(Json value, bool says) {
    row.push_back(std::move(value));
    if (says) said = row.size();
  }
  Json done() {
    row.get_ref<Json::array_t&>().resize(said);
    return std::move(row);
  }
};

Json to_json(const m::LoadReport& t) {
  if (t.version == 0) return nullptr;
  Row row;
  row.add(t.version, true);
  row.add(t.role, !t.role.empty());
  row.add(t.zone, !t.zone.empty());
  row.add(t.load_permille, t.load_permille != 0);
  row.add(t.free_capacity, t.free_capacity != 0);
  row.add(t.service_address, !t.service_address.empty());
  row.add(t.build, !t.build.empty());
  row.add(t.config_generation, t.config_generation != 0);
  row.add(t.config_digest, t.config_digest != 0);
  row.add(t.shed_threshold_tenths, t.shed_threshold_tenths != 0);
  row.add(static_cast<int>(t.dependency), t.dependency != m::DependencyState::kUnknown);
  return row.done();
}

Json to_json(const m::Record& r) {
  Row row;
  row.add(r.name, true);
  row.add(r.epoch, true);
  row.add(r.incarnation, true);
  row.add(static_cast<int>(r.condition), true);
  row.add(r.address, true);
  row.add(r.load_report_age_ms, r.load_report.version != 0);
  row.add(to_json(r.load_report), r.load_report.version != 0);
  row.add(r.longest_pause_ms, r.longest_pause_ms != 0);
  row.add(r.accusers, !r.accusers.empty());
  row.add(r.conflicting_epoch, r.conflicting_epoch != 0);
  row.add(r.heard_datagram_number, r.heard_datagram_number != 0);
  Json broken = Json::array();
  for (const m::BrokenLink& link : r.broken_links)
    broken.push_back({link.peer, link.is_inbound, link.age_ms});
  row.add(std::move(broken), !r.broken_links.empty());
  return row.done();
}

std::string sealed(const std::string& cluster, const Json& body) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(body);
  std::string out(kMagic);
  out += static_cast<char>(kVersion);
  put(out, cluster_of(cluster), 4);
  put(out, XXH64(bytes.data(), bytes.size(), cluster_of(cluster)), 8);
  out.append(bytes.begin(), bytes.end());
  return out;
}

// ---- CBOR to values. A reader of one array: a field that is not there keeps its first value.

class Reader {
 public:
  explicit Reader(const Json& from) : from_(from) {
    if (!from.is_array()) sound_ = false;
  }
  template <class T>
  void number(T& into, std::uint64_t most) {
    const Json* one = next();
    if (one == nullptr || one->is_null()) return;
    if (!one->is_number_unsigned() || one->get<std::uint64_t>() > most) return fail();
    into = static_cast<T>(one->get<std::uint64_t>());
  }
  void text(std::string& into, std::size_t most, bool needed = false) {
    const Json* one = next();
    if (one == nullptr) {
      if (needed) fail();
      return;
    }
    if (!one->is_string() || one->get_ref<const std::string&>().size() > most) return fail();
    into = one->get<std::string>();
    for (const char c : into) {
      if (static_cast<unsigned char>(c) < 0x21 || c == 0x7f)
        return fail();  // names, not prose: they go into logs
    }
    if (needed && into.empty()) fail();
  }
  void flag(bool& into) {
    const Json* one = next();
    if (one == nullptr) return;
    if (!one->is_boolean()) return fail();
    into = one->get<bool>();
  }
  const Json* list(std::size_t most) {
    const Json* one = next();
    if (one == nullptr || one->is_null()) return nullptr;
    if (!one->is_array() || one->size() > most) return fail(), nullptr;
    return one;
  }
  void fail() { sound_ = false; }
  // Fields of a later version may follow: they are passed over.
  bool sound() const { return sound_; }

 private:
  const Json* next() {
    if (!sound_ || at_ >= from_.size()) return nullptr;
    return &from_[at_++];
  }
  const Json& from_;
  std::size_t at_ = 0;
  bool sound_ = true;
};

bool read(const Json& from, m::LoadReport& t) {
  Reader in(from);
  in.number(t.version, 0xffffffff);
  in.text(t.role, m::kMaxLabelBytes);
  in.text(t.zone, m::kMaxLabelBytes);
  in.number(t.load_permille, 0xffff);
  in.number(t.free_capacity, 0xffff);
  in.text(t.service_address, m::kMaxAddressBytes);
  in.text(t.build, m::kMaxLabelBytes);
  in.number(t.config_generation, UINT64_MAX);
  in.number(t.config_digest, UINT64_MAX);
  in.number(t.shed_threshold_tenths, 0xffff);
  in.number(t.dependency, 3);
  return in.sound() && t.version != 0;
}

bool read(const Json& from, m::Record& r) {
  Reader in(from);
  in.text(r.name, m::kMaxNameBytes, true);
  in.number(r.epoch, m::kMaxEpoch);
  in.number(r.incarnation, m::kMaxIncarnation);
  in.number(r.condition, 3);
  in.text(r.address, m::kMaxAddressBytes, true);
  in.number(r.load_report_age_ms, kMostAge);
  if (const Json* told = in.list(32); told != nullptr && !read(*told, r.load_report)) in.fail();
  in.number(r.longest_pause_ms, kMostAge);
  if (const Json* by = in.list(m::kMaxAccusers); by != nullptr) {
    for (const Json& one : *by) {
      if (!one.is_string() || one.get_ref<const std::string&>().size() > m::kMaxNameBytes) return false;
      r.accusers.push_back(one.get<std::string>());
    }
  }
  in.number(r.conflicting_epoch, m::kMaxEpoch);
  in.number(r.heard_datagram_number, 0xffffffff);
  if (const Json* broken = in.list(m::kMaxBrokenLinks); broken != nullptr) {
    for (const Json& one : *broken) {
      Reader link(one);
      m::BrokenLink& into = r.broken_links.emplace_back();
      link.text(into.peer, m::kMaxNameBytes, true);
      link.flag(into.is_inbound);
      link.number(into.age_ms, kMostAge);
      if (!link.sound()) return false;
    }
  }
  return in.sound() && r.epoch != 0;
}

Problem open(const std::string& cluster, std::string_view bytes, Json& body) {
  if (bytes.size() < kHeaderBytes) return Problem::kShort;
  if (bytes.substr(0, 3) != kMagic) return Problem::kForeign;
  if (static_cast<std::uint8_t>(bytes[3]) != kVersion) return Problem::kVersion;
  if (get(bytes.substr(4), 4) != cluster_of(cluster)) return Problem::kCluster;
  const std::string_view inside = bytes.substr(kHeaderBytes);
  if (get(bytes.substr(8), 8) != XXH64(inside.data(), inside.size(), cluster_of(cluster)))
    return Problem::kDamaged;
  try {  // lengths beyond all bounds are thrown even where it is told to throw nothing
    body = Json::from_cbor(inside.begin(), inside.end(), true, false);
  } catch (const Json::exception&) {
    return Problem::kUnsound;
  }
  return body.is_array() ? Problem::kNone : Problem::kUnsound;
}

bool read_records(const Json* from, std::vector<m::Record>& into) {
  if (from == nullptr) return true;
  for (const Json& one : *from) {
    if (!read(one, into.emplace_back())) return false;
  }
  return true;
}

}  // namespace

const char* text_of(Problem problem) {
  switch (problem) {
    case Problem::kNone: return "sound";
    case Problem::kShort: return "too short";
    case Problem::kForeign: return "no message of members";
    case Problem::kVersion: return "another version";
    case Problem::kCluster: return "another cluster";
    case Problem::kDamaged: return "damaged";
    case Problem::kUnsound: return "not as it should be";
  }
  return "";
}

std::string encode(const std::string& cluster, const m::Message& message) {
  Row row;
  row.add(static_cast<int>(message.kind), true);
  row.add(message.sender, true);
  row.add(message.sender_epoch, true);
  row.add(message.datagram_number, true);
  Json records = Json::array();
  for (const m::Record& record : message.records) records.push_back(to_json(record));
  row.add(std::move(records), true);
  row.add(message.probe_id, message.probe_id != 0);
  row.add(message.membership_digest, message.membership_digest != 0);
  row.add(message.target, !message.target.empty());
  row.add(message.requested_by, !message.requested_by.empty());
  row.add(message.direct_probe_id, message.direct_probe_id != 0);
  row.add(message.direct_ping_received, message.direct_ping_received);
  Json body = row.done();
  for (;;) {
    std::string out = sealed(cluster, body);
    if (out.size() <= kMaxDatagramBytes || body[4].empty()) return out;
    body[4].get_ref<Json::array_t&>().pop_back();
  }
}

Read decode(const std::string& cluster, std::string_view bytes) {
  Read out;
  Json body;
  if (bytes.size() > kMaxDatagramBytes) return out.problem = Problem::kUnsound, out;
  out.problem = open(cluster, bytes, body);
  if (out.problem != Problem::kNone) return out;
  Reader in(body);
  in.number(out.message.kind, 4);
  in.text(out.message.sender, m::kMaxNameBytes, true);
  in.number(out.message.sender_epoch, UINT64_MAX);
  in.number(out.message.datagram_number, 0xffffffff);
  const bool records = read_records(in.list(64), out.message.records);
  in.number(out.message.probe_id, 0xffffffff);
  in.number(out.message.membership_digest, UINT64_MAX);
  in.text(out.message.target, m::kMaxNameBytes);
  in.text(out.message.requested_by, m::kMaxNameBytes);
  in.number(out.message.direct_probe_id, 0xffffffff);
  in.flag(out.message.direct_ping_received);
  if (!in.sound() || !records) return {Problem::kUnsound, {}};
  return out;
}

std::string encode_exchange(const std::string& cluster, const std::vector<m::Record>& records) {
  Json body = Json::array();
  std::size_t count = 0;
  for (const m::Record& record : records) {
    if (++count > kMaxRecords) break;
    body.push_back(to_json(record));
  }
  std::string bytes = sealed(cluster, body);
  // Beyond the bound the half of it goes: what is missing comes with gossip.
  while (bytes.size() > kMaxPushPullBytes && body.size() > 1) {
    body.get_ref<Json::array_t&>().resize(body.size() / 2);
    bytes = sealed(cluster, body);
  }
  std::string out;
  put(out, bytes.size(), 4);
  return out + bytes;
}

ReadExchange decode_exchange(const std::string& cluster, std::string_view bytes) {
  ReadExchange out;
  if (bytes.size() < 4) return out;
  const auto length = static_cast<std::size_t>(get(bytes, 4));
  if (length > kMaxPushPullBytes || length < kHeaderBytes) return out.problem = Problem::kUnsound, out;
  if (bytes.size() < 4 + length) return out;
  Json body;
  out.used = 4 + length;
  out.problem = open(cluster, bytes.substr(4, length), body);
  if (out.problem != Problem::kNone) return out;
  if (body.size() > kMaxRecords || !read_records(&body, out.records)) {
    out.problem = Problem::kUnsound;
    out.records.clear();
    return out;
  }
  out.whole = true;
  return out;
}

}  // namespace damsonspoke::wire::members
