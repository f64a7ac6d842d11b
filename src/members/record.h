// The data that the members of a fleet exchange about themselves and one another: records, load reports and
// messages. Plain data; src/wire/members.h defines the encoding.
//
// The protocol follows SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
// Currey 2017); the terms probe, suspicion, refutation and incarnation are theirs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace damsonspoke::members {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxLabelBytes = 32;  // role, zone, build
constexpr std::size_t kMaxAccusers = 6;     // names listed with one suspicion
constexpr std::size_t kMaxBrokenLinks = 8;  // that one member reports
// After the last incarnation a member continues with a later epoch.
constexpr std::uint32_t kMaxIncarnation = 0xfffffff0;
// Epochs are milliseconds of the Unix clock followed by 12 random bits, so no valid epoch comes near this
// bound.
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 61;

// A member's condition as members report it to one another, in increasing order of precedence at equal
// incarnations.
enum class Condition : std::uint8_t { kAlive = 0, kSuspected = 1, kDead = 2, kLeft = 3 };

// Health of the dependency that a member calls, as that member sees it.
enum class DependencyState : std::uint8_t { kUnknown = 0, kHealthy = 1, kSlow = 2, kUnavailable = 3 };

// A member's description of itself and its load. It expires after MembershipOptions::load_report_ttl.
struct LoadReport {
  std::uint32_t version = 0;  // increases with each change within one epoch; 0: nothing reported
  std::string role;           // "relay", "planner" or "forwarder"
  std::string zone;
  std::string build;
  std::uint64_t config_generation = 0;
  std::uint64_t config_digest = 0;
  std::uint16_t free_capacity = 0;          // requests that the member would accept now
  std::uint16_t load_permille = 0;          // share of its capacity in use
  std::uint16_t shed_threshold_tenths = 0;  // priority weight in tenths below which it sheds load; 0: none
  DependencyState dependency = DependencyState::kUnknown;
  std::string service_address;  // where it accepts requests; empty: none
  bool operator==(const LoadReport&) const = default;
};

// A link that one of its two members reports as broken in one direction.
struct BrokenLink {
  std::string peer;
  bool is_inbound = true;    // true: from the peer to the reporter; false: from the reporter to the peer
  std::uint32_t age_ms = 0;  // since the link broke
  bool operator==(const BrokenLink&) const = default;
};

// A member's report about another member or about itself.
struct Record {
  std::string name;
  std::uint64_t epoch = 0;  // identifies one run of a process; later runs have higher epochs
  // The epoch of a second process with the same name, reported by the older process, which is still running;
  // 0: none.
  std::uint64_t conflicting_epoch = 0;
  std::uint32_t incarnation = 0;  // incremented by the member itself to refute suspicions
  Condition condition = Condition::kAlive;
  std::string address;
  std::uint32_t longest_pause_ms = 0;  // the longest recent pause of its process, as it reports itself
  LoadReport load_report;
  std::uint32_t load_report_age_ms = 0;  // at the time the record was sent
  std::vector<std::string> accusers;     // of a suspicion: the members that got no answer
  // Of a suspicion: number of the suspect's last datagram that any member received; 0: unknown.
  std::uint32_t last_datagram_number = 0;
  std::vector<BrokenLink> broken_links;
  bool operator==(const Record&) const = default;

  [[nodiscard]] std::uint64_t newest_epoch() const {
    return epoch > conflicting_epoch ? epoch : conflicting_epoch;
  }
};

// Approximate size of a record in a datagram, for rate limits. Tests compare it with the codec.
[[nodiscard]] std::size_t approximate_bytes(const Record& record);

// Whether record a replaces record b of the same name: compares the newest epoch, then an identity conflict,
// then the incarnation, then the condition.
[[nodiscard]] bool supersedes(const Record& a, const Record& b);

enum class MessageKind : std::uint8_t {
  kPing = 0,         // to be answered with kAck
  kAck = 1,          // the answer to a ping
  kPingRequest = 2,  // asks the receiver to ping `target` for the sender
  kNegativeAck = 3,  // the requested ping also got no answer (Lifeguard's nack)
  kGossip = 4        // carries only records
};

// One datagram.
struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::string sender;
  std::uint64_t sender_epoch = 0;
  std::uint32_t datagram_number = 0;    // counts the sender's datagrams
  std::uint32_t probe_id = 0;           // id of the ping that this message is, requests or answers
  std::string target;                   // of a ping or a ping request
  std::string requested_by;             // of an indirect ping and its ack; empty: the sender itself
  std::uint32_t direct_probe_id = 0;    // of an indirect probe: the direct ping that got no answer
  bool direct_ping_received = false;    // of an ack to an indirect ping: the direct ping did arrive
  std::uint64_t membership_digest = 0;  // over the members that the sender counts as active; 0: not given
  std::vector<Record> records;
};

}  // namespace damsonspoke::members
