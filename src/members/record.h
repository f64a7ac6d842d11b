// What members of a fleet tell about themselves and about one another: records, load reports and the messages
// that carry them. Plain data; src/wire/members.h defines the bytes.
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
// Beyond the last incarnation a member goes on with a later epoch.
constexpr std::uint32_t kMaxIncarnation = 0xfffffff0;
// Epochs are milliseconds of the Unix clock with 12 random bits, so no honest one comes near this bound.
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 61;

// A member's condition as members tell it to one another, in the order of precedence at equal incarnations.
enum class Condition : std::uint8_t { kAlive = 0, kSuspected = 1, kDead = 2, kLeft = 3 };

// Health of the dependency that a member calls, as that member sees it.
enum class DependencyState : std::uint8_t { kUnknown = 0, kHealthy = 1, kSlow = 2, kUnavailable = 3 };

// A member's description of itself and its load. It expires after MembershipOptions::load_report_ttl.
struct LoadReport {
  std::uint32_t version = 0;  // rises with each change within one epoch; 0: nothing reported
  std::string role;           // "relay", "planner" or "forwarder"
  std::string zone;
  std::string build;
  std::uint64_t config_generation = 0;
  std::uint64_t config_digest = 0;
  std::uint16_t free_capacity = 0;          // requests that the member would accept now
  std::uint16_t load_permille = 0;          // share of its capacity in use
  std::uint16_t shed_threshold_tenths = 0;  // priority weight in tenths below which it sheds load; 0: none
  DependencyState dependency = DependencyState::kUnknown;
  std::string service_address;  // where its requests go; empty: none
  bool operator==(const LoadReport&) const = default;
};

// A link that one of its ends finds broken in one direction.
struct BrokenLink {
  std::string peer;
  bool is_inbound = true;    // what the peer sends does not arrive; else: what is sent to the peer does not
  std::uint32_t age_ms = 0;  // since the link broke
  bool operator==(const BrokenLink&) const = default;
};

// All that one member tells about another one, or about itself.
struct Record {
  std::string name;
  std::uint64_t epoch = 0;  // one life of a process; later lives have higher ones
  // The epoch of a second process under the same name, which this older one, still running, disputes; 0:
  // none.
  std::uint64_t conflicting_epoch = 0;
  std::uint32_t incarnation = 0;  // raised by the member itself, to refute suspicions
  Condition condition = Condition::kAlive;
  std::string address;
  std::uint32_t longest_pause_ms = 0;  // the longest recent pause of its process, by its own account
  LoadReport load_report;
  std::uint32_t load_report_age_ms = 0;    // when the record was sent
  std::vector<std::string> accusers;       // of a suspicion: the members that got no answer
  std::uint32_t last_datagram_number = 0;  // of a suspicion: the last datagram that anybody got; 0: none
  std::vector<BrokenLink> broken_links;
  bool operator==(const Record&) const = default;

  [[nodiscard]] std::uint64_t newest_epoch() const {
    return epoch > conflicting_epoch ? epoch : conflicting_epoch;
  }
};

// Approximate size of a record in a datagram, for rate limits. Tests compare it with the codec.
[[nodiscard]] std::size_t approximate_bytes(const Record& record);

// Whether record a replaces record b of the same name: by newest epoch, then by an identity conflict, then by
// incarnation, then by the worse condition.
[[nodiscard]] bool supersedes(const Record& a, const Record& b);

enum class MessageKind : std::uint8_t {
  kPing = 0,         // to be answered with kAck
  kAck = 1,          // the answer to a ping
  kPingRequest = 2,  // asks the receiver to ping `target` for the sender
  kNegativeAck = 3,  // the requested ping got no answer either (Lifeguard's nack)
  kGossip = 4        // records alone
};

// One datagram.
struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::string sender;
  std::uint64_t sender_epoch = 0;
  std::uint32_t datagram_number = 0;    // counts the sender's datagrams
  std::uint32_t probe_id = 0;           // of the ping that this message is, requests or answers
  std::string target;                   // of a ping or a ping request
  std::string requested_by;             // of an indirect ping and its ack; empty: the sender itself
  std::uint32_t direct_probe_id = 0;    // of an indirect probe: the direct ping that got no answer
  bool direct_ping_received = false;    // of an ack to an indirect ping: the direct ping did arrive
  std::uint64_t membership_digest = 0;  // over the members that the sender counts as active; 0: not given
  std::vector<Record> records;
};

}  // namespace damsonspoke::members
