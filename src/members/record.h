// What members say of themselves and of one another. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace damsonspoke::members {

constexpr std::size_t kMaxNameBytes = 64, kMaxAddressBytes = 64, kMaxLabelBytes = 32;  // bytes
constexpr std::size_t kMaxAccusers = 6;     // names told with a suspicion
constexpr std::size_t kMaxBrokenLinks = 8;  // links that one member tells of
// What may be told. Beyond the last incarnation a member goes on with a later epoch; epochs are milliseconds
// of the Unix clock with 12 bits drawn, so none that is honest comes near the bound.
constexpr std::uint32_t kMaxIncarnation = 0xfffffff0;
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 61;

// As it is told; what a member makes of it itself is view.h's State.
enum class Condition : std::uint8_t { kAlive = 0, kSuspected = 1, kDead = 2, kLeft = 3 };

// State of the layer below, as a member sees it.
enum class DependencyState : std::uint8_t { kUnknown = 0, kHealthy = 1, kSlow = 2, kUnavailable = 3 };

// What a member tells of itself beside its being there: small, and worth nothing once it is old.
struct LoadReport {
  std::uint32_t version = 0;  // rises with each change in one life; 0: nothing told
  std::string role;           // relay, planner, forwarder
  std::string zone;
  std::string build;
  std::uint64_t config_generation = 0, config_digest = 0;  // of the configuration
  std::uint16_t free_capacity = 0;                         // requests that it would take now
  std::uint16_t load_permille = 0;                         // thousandths of its cores in use
  std::uint16_t shed_threshold_tenths =
      0;  // tenths of importance under which it refuses; 0: it refuses nothing
  DependencyState dependency = DependencyState::kUnknown;
  std::string service_address;  // address that its requests go to; empty: none
  bool operator==(const LoadReport&) const = default;
};

// A link that is broken as one end of it finds: what `other` sends does not come (inward), or what is sent to
// it does not.
struct BrokenLink {
  std::string peer;
  bool is_inbound = true;
  std::uint32_t age_ms = 0;  // since when
  bool operator==(const BrokenLink&) const = default;
};

// An epoch is one life of a process, later ones higher. `contest`: the life under the same name that an older
// one, still running, says is a clone of it.
struct Record {
  std::string name;
  std::uint64_t epoch = 0, conflicting_epoch = 0;
  std::uint32_t incarnation = 0;
  Condition condition = Condition::kAlive;
  std::string address;
  std::uint32_t longest_pause_ms = 0;  // the longest that it lately stood still, by its own account
  LoadReport load_report;
  std::uint32_t load_report_age_ms = 0;  // of `told`, when this was sent
  std::vector<std::string> accusers;     // of a suspicion: who found it silent
  std::uint32_t heard_datagram_number =
      0;  // of a suspicion: the number of the last datagram that somebody got from it
  std::vector<BrokenLink> broken_links;
  bool operator==(const Record&) const = default;

  std::uint64_t newest_epoch() const { return epoch > conflicting_epoch ? epoch : conflicting_epoch; }
};

// Bytes that a record takes in a datagram, about: src/wire/members.h has the form. For who has to stay within
// a rate; tests hold it against the codec.
std::size_t approximate_bytes(const Record& record);

// Whether a says more than b of the same name: a later life first, one that contests before the contested, a
// later incarnation, and what is worse of equals.
bool supersedes(const Record& a, const Record& b);

enum class MessageKind : std::uint8_t {
  kPing = 0,         // answer it
  kAck = 1,          // the answer
  kPingRequest = 2,  // ping `target` for me, I do not hear it
  kNegativeAck = 3,  // I did, and do not hear it either
  kGossip = 4        // nothing but records
};

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::string sender;
  std::uint64_t sender_epoch = 0;
  std::uint32_t datagram_number = 0;  // of its sender's datagrams
  std::uint32_t probe_id = 0;         // of the ping that this is or answers
  std::string target;                 // of a ping or an ask: who is meant
  std::string requested_by;           // of a ping, and its ack: who asked for it; empty: who sends it
  std::uint32_t direct_probe_id =
      0;  // of an ask, and what follows from it: the serial of the ping that got no answer
  bool direct_ping_received = false;    // of an ack on behalf: that ping did come
  std::uint64_t membership_digest = 0;  // of all that its sender takes for members in play; 0: not told
  std::vector<Record> records;
};

}  // namespace damsonspoke::members
