// The members known to this member, with the number and a digest of the active ones, which are alive or
// suspected. Members are addressed by an index that stays valid until they are removed. Pure; times are
// seconds, monotonic.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "members/link_health.h"
#include "members/record.h"

namespace damsonspoke::members {

using MemberIndex = int;

// The state of one member: what it and others report, and what this member observed.
struct Member {
  static constexpr double kNever = -1e9;

  Record record;
  double since = 0;              // when this member learned of its current condition
  double load_report_at = 0;     // when its load report was made, on the local clock
  double last_datagram_at = -1;  // when this member last received a datagram from it

  // Valid while it is suspected.
  double suspicion_deadline = -1;
  bool is_accused_here = false;  // this member is one of its accusers
  bool final_probe_queued = false;
  // When this member last learned that any member had received a new datagram from it, and that datagram's
  // number.
  double last_evidence_at = kNever;
  std::uint32_t last_evidence_number = 0;

  // Probes.
  LinkHealth link;
  double last_ping_at = -1;        // when its last direct ping arrived
  std::uint32_t last_ping_id = 0;  // the probe id of that ping
  std::string last_helper;         // the member whose indirect probe last reached it

  // Flap damping.
  double flap_count = 0;  // decaying count of returns
  double flap_counted_at = 0;
  double stable_at = 0;  // end of the time in which it counts as flapping

  [[nodiscard]] bool exists() const { return !record.name.empty(); }
  [[nodiscard]] bool is_alive() const { return exists() && record.condition == Condition::kAlive; }
  [[nodiscard]] bool is_active() const { return exists() && record.condition <= Condition::kSuspected; }
  [[nodiscard]] bool is_suspected() const { return record.condition == Condition::kSuspected; }
};

class MemberTable {
 public:
  static constexpr std::size_t kMaxMembers = 4096;

  // Returns none if the table is full. The name must not be in the table.
  [[nodiscard]] std::optional<MemberIndex> add(const Record& record, double now);
  void remove(MemberIndex index);
  [[nodiscard]] std::optional<MemberIndex> find(const std::string& name) const;
  // Must be called after each change of a member's condition or epoch.
  void update_activity(MemberIndex index);

  [[nodiscard]] Member& operator[](MemberIndex index) {
    return slots_[static_cast<std::size_t>(index)].member;
  }
  [[nodiscard]] const Member& operator[](MemberIndex index) const {
    return slots_[static_cast<std::size_t>(index)].member;
  }
  // The indices in use, in ascending order.
  [[nodiscard]] std::vector<MemberIndex> indices() const;
  [[nodiscard]] std::size_t active_count() const { return active_count_; }
  // Equal at two members that know the same active members with the same epochs.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  // The digest of one member; the digests of members are combined by exclusive or.
  [[nodiscard]] static std::uint64_t digest_of(const std::string& name, std::uint64_t epoch);

 private:
  struct Slot {
    Member member;  // a member without a name marks a free slot
    bool is_counted = false;
    std::uint64_t digest = 0;
  };
  std::vector<Slot> slots_;
  std::vector<MemberIndex> free_slots_;
  std::unordered_map<std::string, MemberIndex> by_name_;
  std::size_t active_count_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace damsonspoke::members
