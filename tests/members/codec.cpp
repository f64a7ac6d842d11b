// The codec of membership messages. CTest compares with tests/traces/members_codec.txt. usage: codec - codec
#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scenarios.h"
#include "single_view.h"
#include "wire/members.h"

using namespace damsonspoke::members;
namespace wm = damsonspoke::wire::members;

namespace {

const std::string kCluster = "one";

// A record whose fields all have values.
Record full_record(const std::string& name) {
  Record record;
  record.name = name;
  record.epoch = 17;
  record.conflicting_epoch = 18;
  record.incarnation = 3;
  record.condition = Condition::kSuspected;
  record.address = "10.0.0.1:7400";
  record.longest_pause_ms = 1200;
  record.last_datagram_number = 250;
  record.accusers = {"a", "b"};
  record.load_report_age_ms = 40;
  record.load_report = {
      4, "planner", "north", "0.3.0", 7, 99, 12, 640, 20, DependencyState::kSlow, "10.0.0.1:7100"};
  record.broken_links = {{"c", true, 1000}, {"d", false, 0}};
  return record;
}

Record plain_record() {
  Record record;
  record.name = "x";
  record.epoch = 1;
  record.address = "y:1";
  return record;
}

Message full_message() {
  Message message;
  message.kind = MessageKind::kPing;
  message.sender = "a";
  message.sender_epoch = 5;
  message.datagram_number = 33;
  message.membership_digest = 77;
  message.probe_id = 9;
  message.target = "b";
  message.requested_by = "c";
  message.direct_probe_id = 8;
  message.direct_ping_received = true;
  message.records = {full_record("a"), plain_record()};
  return message;
}

std::size_t encoded_bytes(const std::vector<Record>& records) {
  Message message = full_message();
  message.records = records;
  return wm::encode(kCluster, message).size();
}

void say_round_trip(const Message& message, const std::string& bytes) {
  const wm::DecodedMessage read = wm::decode(kCluster, bytes);
  say("a message is decoded as it was encoded",
      read.error == wm::DecodeError::kNone && read.message.records == message.records &&
          read.message.requested_by == "c" && read.message.datagram_number == 33 &&
          read.message.membership_digest == 77 && read.message.direct_ping_received &&
          read.message.direct_probe_id == 8);
  std::printf("a plain record takes %zu bytes, a full one %zu\n",
              encoded_bytes({plain_record()}) - encoded_bytes({}),
              bytes.size() - encoded_bytes({plain_record()}));
}

bool is_approximated(const Record& record) {
  const auto bytes = static_cast<double>(encoded_bytes({record}) - encoded_bytes({}));
  return std::abs(static_cast<double>(approximate_bytes(record)) / bytes - 1) < 0.2;
}

void say_approximate_bytes() {
  Record usual = SingleView::record("backend-00417");
  usual.epoch = 1796000000000ULL << 12;
  Record dead = usual;
  dead.condition = Condition::kDead;
  Record suspected = usual;
  suspected.condition = Condition::kSuspected;
  suspected.accusers = {"backend-00123", "backend-01123"};
  usual.load_report = {
      4, "relay", "north/zone-2", "0.3.0", 0, 0, 12, 640, 0, DependencyState::kUnknown, "10.0.0.1:7100"};
  say("the approximate size of a record is within a fifth", is_approximated(usual) && is_approximated(dead) &&
                                                                is_approximated(suspected) &&
                                                                is_approximated(full_record("a")));
}

void print_damaged(const std::string& bytes) {
  std::printf("another cluster: %s\n", wm::text_of(wm::decode("two", bytes).error));
  std::set<std::string> problems;
  int accepted = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const int flip : {1, 128}) {
      std::string damaged = bytes;
      damaged[i] = static_cast<char>(damaged[i] ^ flip);
      const wm::DecodeError problem = wm::decode(kCluster, damaged).error;
      accepted += problem == wm::DecodeError::kNone ? 1 : 0;
      problems.insert(wm::text_of(problem));
    }
    const std::string_view truncated = std::string_view(bytes).substr(0, i);
    accepted += wm::decode(kCluster, truncated).error == wm::DecodeError::kNone ? 1 : 0;
  }
  std::printf("corrupted or truncated at any position: %d accepted;", accepted);
  for (const std::string& problem : problems) std::printf(" %s;", problem.c_str());
  std::puts("");
}

std::vector<Record> many_records(int count) {
  std::vector<Record> records;
  records.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) records.push_back(full_record(fmt::format("member-{}", i)));
  return records;
}

void say_bounds() {
  Message large = full_message();
  for (const Record& record : many_records(40)) large.records.push_back(record);
  const std::string datagram = wm::encode(kCluster, large);
  say("a datagram fits one packet",
      datagram.size() <= wm::kMaxDatagramBytes && wm::decode(kCluster, datagram).message.records.size() > 3);
  say("an oversized datagram is rejected",
      wm::decode(kCluster, std::string(5000, 'x')).error != wm::DecodeError::kNone);
  const std::vector<Record> records = many_records(1000);
  const std::string bytes = wm::encode_push_pull(kCluster, records);
  const auto read = wm::decode_push_pull(kCluster, bytes + "more");
  say("a push-pull of 1000 records",
      read.is_complete && read.records == records && read.bytes_used == bytes.size());
  say("half of it is incomplete", !wm::decode_push_pull(kCluster, bytes.substr(0, 3000)).is_complete);
  say("a length beyond the limit is rejected",
      wm::decode_push_pull(kCluster, "\x7f\xff\xff\xff????").error != wm::DecodeError::kNone);
}

void codec() {
  const Message message = full_message();
  const std::string bytes = wm::encode(kCluster, message);
  say_round_trip(message, bytes);
  say_approximate_bytes();
  print_damaged(bytes);
  say_bounds();
  for (const std::string name : {"", "a b", "line\nbreak"}) {
    Message bad = message;
    bad.records[0].name = name;
    std::printf("an invalid name: %s\n", wm::text_of(wm::decode(kCluster, wm::encode(kCluster, bad)).error));
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused;
  return run_scenario(argc, argv, unused, {{"codec", codec}});
}
