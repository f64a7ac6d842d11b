#include "wire/members.h"

#include <xxhash.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace damsonspoke::wire::members {
namespace {

namespace m = damsonspoke::members;
using Json = nlohmann::json;

constexpr std::string_view kMagic = "DMB";
constexpr std::size_t kMagicBytes = 4;    // with the version
constexpr std::size_t kClusterBytes = 4;  // digest of the cluster's name
constexpr std::size_t kChecksumBytes = 8;
static_assert(kMagicBytes + kClusterBytes + kChecksumBytes == kHeaderBytes);
constexpr unsigned char kFirstPrintable = 0x21;
constexpr unsigned char kDelete = 0x7f;
constexpr std::uint32_t kClusterSeed = 0x6d656d62;
constexpr std::uint64_t kMaxAgeMs = 0xfffffffe;
constexpr std::uint64_t kMaxUint16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxCondition = 3;
constexpr std::uint64_t kMaxDependencyState = 3;
constexpr std::uint64_t kMaxMessageKind = 4;
constexpr std::size_t kMaxDatagramRecords = 64;
constexpr std::size_t kMaxLoadReportFields = 32;
constexpr std::size_t kRecordsField = 4;  // of a datagram's body

void put_number(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = bytes; i > 0; --i) out += static_cast<char>(value >> (8 * (i - 1)) & 255);
}

std::uint64_t get_number(std::string_view bytes, std::size_t count) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(0, count)) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

std::uint32_t cluster_digest(const std::string& cluster) {
  return XXH32(cluster.data(), cluster.size(), kClusterSeed);
}

// ---- Values to CBOR.

// Builds an array without its trailing default values.
class CompactArray {
 public:
  void add(Json value, bool is_set) {
    array_.push_back(std::move(value));
    if (is_set) used_ = array_.size();
  }
  [[nodiscard]] Json take() {
    array_.get_ref<Json::array_t&>().resize(used_);
    return std::move(array_);
  }

 private:
  Json array_ = Json::array();
  std::size_t used_ = 0;
};

Json to_json(const m::LoadReport& report) {
  if (report.version == 0) return nullptr;
  CompactArray array;
  array.add(report.version, true);
  array.add(report.role, !report.role.empty());
  array.add(report.zone, !report.zone.empty());
  array.add(report.load_permille, report.load_permille != 0);
  array.add(report.free_capacity, report.free_capacity != 0);
  array.add(report.service_address, !report.service_address.empty());
  array.add(report.build, !report.build.empty());
  array.add(report.config_generation, report.config_generation != 0);
  array.add(report.config_digest, report.config_digest != 0);
  array.add(report.shed_threshold_tenths, report.shed_threshold_tenths != 0);
  array.add(static_cast<int>(report.dependency), report.dependency != m::DependencyState::kUnknown);
  return array.take();
}

Json to_json(const std::vector<m::BrokenLink>& links) {
  Json array = Json::array();
  for (const m::BrokenLink& link : links) array.push_back({link.peer, link.is_inbound, link.age_ms});
  return array;
}

Json to_json(const m::Record& record) {
  const bool has_load_report = record.load_report.version != 0;
  CompactArray array;
  array.add(record.name, true);
  array.add(record.epoch, true);
  array.add(record.incarnation, true);
  array.add(static_cast<int>(record.condition), true);
  array.add(record.address, true);
  array.add(record.load_report_age_ms, has_load_report);
  array.add(to_json(record.load_report), has_load_report);
  array.add(record.longest_pause_ms, record.longest_pause_ms != 0);
  array.add(record.accusers, !record.accusers.empty());
  array.add(record.conflicting_epoch, record.conflicting_epoch != 0);
  array.add(record.last_datagram_number, record.last_datagram_number != 0);
  array.add(to_json(record.broken_links), !record.broken_links.empty());
  return array.take();
}

Json to_json(const m::Message& message) {
  Json records = Json::array();
  for (const m::Record& record : message.records) records.push_back(to_json(record));
  CompactArray array;
  array.add(static_cast<int>(message.kind), true);
  array.add(message.sender, true);
  array.add(message.sender_epoch, true);
  array.add(message.datagram_number, true);
  array.add(std::move(records), true);
  array.add(message.probe_id, message.probe_id != 0);
  array.add(message.membership_digest, message.membership_digest != 0);
  array.add(message.target, !message.target.empty());
  array.add(message.requested_by, !message.requested_by.empty());
  array.add(message.direct_probe_id, message.direct_probe_id != 0);
  array.add(message.direct_ping_received, message.direct_ping_received);
  return array.take();
}

std::string with_header(const std::string& cluster, const Json& body) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(body);
  const std::uint32_t digest = cluster_digest(cluster);
  std::string out(kMagic);
  out += static_cast<char>(kVersion);
  put_number(out, digest, kClusterBytes);
  put_number(out, XXH64(bytes.data(), bytes.size(), digest), kChecksumBytes);
  out.append(bytes.begin(), bytes.end());
  return out;
}

// ---- CBOR to values.

// Whether the text is free of spaces and control characters, as names are written to log lines.
bool is_printable(const std::string& text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < kFirstPrintable || byte == kDelete) return false;
  }
  return true;
}

// Reads the fields of one array in order. A field that is missing keeps its default; fields of a later
// version that follow are ignored. After a failure no more fields are read.
class ArrayReader {
 public:
  explicit ArrayReader(const Json& array) : array_(array), is_valid_(array.is_array()) {}

  template <class T>
  void read_number(T& into, std::uint64_t max) {
    const Json* field = next();
    if (field == nullptr || field->is_null()) return;
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() > max) return fail();
    into = static_cast<T>(field->get<std::uint64_t>());
  }
  void read_text(std::string& into, std::size_t max_bytes) {
    const Json* field = next();
    if (field == nullptr) return;
    if (!field->is_string() || field->get_ref<const std::string&>().size() > max_bytes) return fail();
    into = field->get<std::string>();
    if (!is_printable(into)) fail();
  }
  void read_required_text(std::string& into, std::size_t max_bytes) {
    read_text(into, max_bytes);
    if (into.empty()) fail();
  }
  void read_flag(bool& into) {
    const Json* field = next();
    if (field == nullptr) return;
    if (!field->is_boolean()) return fail();
    into = field->get<bool>();
  }
  // None when it is missing or null, or after a failure.
  const Json* read_array(std::size_t max_size) {
    const Json* field = next();
    if (field == nullptr || field->is_null()) return nullptr;
    if (field->is_array() && field->size() <= max_size) return field;
    fail();
    return nullptr;
  }
  void fail() { is_valid_ = false; }
  [[nodiscard]] bool is_valid() const { return is_valid_; }

 private:
  const Json* next() {
    if (!is_valid_ || position_ >= array_.size()) return nullptr;
    return &array_[position_++];
  }
  const Json& array_;
  std::size_t position_ = 0;
  bool is_valid_;
};

bool read(const Json& from, m::LoadReport& report) {
  ArrayReader reader(from);
  reader.read_number(report.version, kMaxUint32);
  reader.read_text(report.role, m::kMaxLabelBytes);
  reader.read_text(report.zone, m::kMaxLabelBytes);
  reader.read_number(report.load_permille, kMaxUint16);
  reader.read_number(report.free_capacity, kMaxUint16);
  reader.read_text(report.service_address, m::kMaxAddressBytes);
  reader.read_text(report.build, m::kMaxLabelBytes);
  reader.read_number(report.config_generation, kMaxUint64);
  reader.read_number(report.config_digest, kMaxUint64);
  reader.read_number(report.shed_threshold_tenths, kMaxUint16);
  reader.read_number(report.dependency, kMaxDependencyState);
  return reader.is_valid() && report.version != 0;
}

bool read(const Json& from, m::BrokenLink& link) {
  ArrayReader reader(from);
  reader.read_required_text(link.peer, m::kMaxNameBytes);
  reader.read_flag(link.is_inbound);
  reader.read_number(link.age_ms, kMaxAgeMs);
  return reader.is_valid();
}

bool read(const Json& from, std::string& name) {
  if (!from.is_string() || from.get_ref<const std::string&>().size() > m::kMaxNameBytes) return false;
  name = from.get<std::string>();
  return true;
}

bool read(const Json& from, m::Record& record);

// Reads all elements of an array; a missing array counts as empty.
template <class T>
bool read_elements(const Json* from, std::vector<T>& into) {
  if (from == nullptr) return true;
  for (const Json& element : *from) {
    if (!read(element, into.emplace_back())) return false;
  }
  return true;
}

bool read(const Json& from, m::Record& record) {
  ArrayReader reader(from);
  reader.read_required_text(record.name, m::kMaxNameBytes);
  reader.read_number(record.epoch, m::kMaxEpoch);
  reader.read_number(record.incarnation, m::kMaxIncarnation);
  reader.read_number(record.condition, kMaxCondition);
  reader.read_required_text(record.address, m::kMaxAddressBytes);
  reader.read_number(record.load_report_age_ms, kMaxAgeMs);
  const Json* load_report = reader.read_array(kMaxLoadReportFields);
  if (load_report != nullptr && !read(*load_report, record.load_report)) return false;
  reader.read_number(record.longest_pause_ms, kMaxAgeMs);
  if (!read_elements(reader.read_array(m::kMaxAccusers), record.accusers)) return false;
  reader.read_number(record.conflicting_epoch, m::kMaxEpoch);
  reader.read_number(record.last_datagram_number, kMaxUint32);
  if (!read_elements(reader.read_array(m::kMaxBrokenLinks), record.broken_links)) return false;
  return reader.is_valid() && record.epoch != 0;
}

DecodeError check_header(const std::string& cluster, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return DecodeError::kTooShort;
  if (bytes.substr(0, kMagic.size()) != kMagic) return DecodeError::kOtherProtocol;
  if (static_cast<std::uint8_t>(bytes[kMagic.size()]) != kVersion) return DecodeError::kVersion;
  const std::uint32_t digest = cluster_digest(cluster);
  if (get_number(bytes.substr(kMagicBytes), kClusterBytes) != digest) return DecodeError::kCluster;
  const std::string_view body = bytes.substr(kHeaderBytes);
  const std::uint64_t checksum = get_number(bytes.substr(kMagicBytes + kClusterBytes), kChecksumBytes);
  return checksum == XXH64(body.data(), body.size(), digest) ? DecodeError::kNone : DecodeError::kChecksum;
}

DecodeError decode_body(const std::string& cluster, std::string_view bytes, Json& body) {
  const DecodeError error = check_header(cluster, bytes);
  if (error != DecodeError::kNone) return error;
  const std::string_view encoded = bytes.substr(kHeaderBytes);
  try {  // the library throws on excessive lengths even when it is asked not to
    body = Json::from_cbor(encoded.begin(), encoded.end(), true, false);
  } catch (const Json::exception&) {
    return DecodeError::kMalformed;
  }
  return body.is_array() ? DecodeError::kNone : DecodeError::kMalformed;
}

}  // namespace

const char* text_of(DecodeError error) {
  switch (error) {
    case DecodeError::kNone: return "valid";
    case DecodeError::kTooShort: return "too short";
    case DecodeError::kOtherProtocol: return "not a membership message";
    case DecodeError::kVersion: return "another version";
    case DecodeError::kCluster: return "another cluster";
    case DecodeError::kChecksum: return "checksum mismatch";
    case DecodeError::kMalformed: return "malformed";
  }
  return "";
}

std::string encode(const std::string& cluster, const m::Message& message) {
  Json body = to_json(message);
  std::string bytes = with_header(cluster, body);
  while (bytes.size() > kMaxDatagramBytes && !body[kRecordsField].empty()) {
    body[kRecordsField].get_ref<Json::array_t&>().pop_back();
    bytes = with_header(cluster, body);
  }
  return bytes;
}

DecodedMessage decode(const std::string& cluster, std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return {DecodeError::kMalformed, {}};
  Json body;
  const DecodeError error = decode_body(cluster, bytes, body);
  if (error != DecodeError::kNone) return {error, {}};
  DecodedMessage decoded;
  m::Message& message = decoded.message;
  ArrayReader reader(body);
  reader.read_number(message.kind, kMaxMessageKind);
  reader.read_required_text(message.sender, m::kMaxNameBytes);
  reader.read_number(message.sender_epoch, kMaxUint64);
  reader.read_number(message.datagram_number, kMaxUint32);
  const bool has_valid_records = read_elements(reader.read_array(kMaxDatagramRecords), message.records);
  reader.read_number(message.probe_id, kMaxUint32);
  reader.read_number(message.membership_digest, kMaxUint64);
  reader.read_text(message.target, m::kMaxNameBytes);
  reader.read_text(message.requested_by, m::kMaxNameBytes);
  reader.read_number(message.direct_probe_id, kMaxUint32);
  reader.read_flag(message.direct_ping_received);
  if (!reader.is_valid() || !has_valid_records) return {DecodeError::kMalformed, {}};
  return decoded;
}

std::string encode_push_pull(const std::string& cluster, const std::vector<m::Record>& records) {
  Json body = Json::array();
  for (const m::Record& record : records) {
    if (body.size() >= kMaxRecords) break;
    body.push_back(to_json(record));
  }
  std::string bytes = with_header(cluster, body);
  while (bytes.size() > kMaxPushPullBytes && body.size() > 1) {
    body.get_ref<Json::array_t&>().resize(body.size() / 2);
    bytes = with_header(cluster, body);
  }
  std::string out;
  put_number(out, bytes.size(), kLengthBytes);
  return out + bytes;
}

DecodedPushPull decode_push_pull(const std::string& cluster, std::string_view bytes) {
  DecodedPushPull decoded;
  if (bytes.size() < kLengthBytes) return decoded;
  const auto length = static_cast<std::size_t>(get_number(bytes, kLengthBytes));
  if (length > kMaxPushPullBytes || length < kHeaderBytes) {
    decoded.error = DecodeError::kMalformed;
    return decoded;
  }
  if (bytes.size() < kLengthBytes + length) return decoded;
  Json body;
  decoded.bytes_used = kLengthBytes + length;
  decoded.error = decode_body(cluster, bytes.substr(kLengthBytes, length), body);
  if (decoded.error != DecodeError::kNone) return decoded;
  if (body.size() > kMaxRecords || !read_elements(&body, decoded.records)) {
    decoded.error = DecodeError::kMalformed;
    decoded.records.clear();
    return decoded;
  }
  decoded.is_complete = true;
  return decoded;
}

}  // namespace damsonspoke::wire::members
