// The membership protocol of one member: SWIM's probes, suspicion and gossip with Lifeguard's extensions, as
// pure policy. The current time and received messages are passed in; messages and push-pulls are requested
// through a sink; there is no socket, thread or clock.
//
// After "SWIM" (Das, Gupta, Motivala 2002) and "Lifeguard" (Dadgar, Phillips, Currey 2017). Further
// extensions: a member that notices its own pause accuses no other member and refutes before it is accused; a
// link that is broken in one or both directions is distinguished from a dead member; while over half of the
// fleet is silent at the same time no deaths are declared at first; of two processes with the same name the
// younger one yields. Design note: docs/notes/members.md.
//
// All times are seconds of one monotonic clock and must not decrease.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "members/broken_links.h"
#include "members/gossip_queue.h"
#include "members/gossip_rate_limiter.h"
#include "members/local_health.h"
#include "members/member_table.h"
#include "members/membership_sink.h"
#include "members/options.h"
#include "members/probe_schedule.h"
#include "members/random_source.h"
#include "members/record.h"

namespace damsonspoke::members {

// The status of another member as this member sees it.
struct MemberStatus {
  std::string name;
  std::string address;
  std::uint64_t epoch = 0;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  double since = 0;                       // when its condition changed
  std::optional<LoadReport> load_report;  // none if it has expired
  double load_report_age = 0;
  double longest_pause = 0;             // longest recent pause of its process, s
  std::uint64_t conflicting_epoch = 0;  // of a second process with its name; 0: none
  std::vector<std::string> accusers;
};

// The identity of this member.
struct Self {
  std::string name;
  std::string address;  // at which other members reach it
  std::uint64_t epoch = 0;
};

class MembershipView {
 public:
  // `seeds`: addresses of members used to join the cluster. `sink` must outlive the view.
  MembershipView(MembershipOptions options, Self self, std::vector<std::string> seeds,
                 std::uint64_t random_seed, MembershipSink& sink);

  void start(double now);
  // `is_stale`: the message was queued while this process was paused; only suspicions of this member are
  // processed.
  void on_message(const std::string& from_address, const Message& message, double now, bool is_stale = false);
  // A push-pull received the records of the other member.
  void on_push_pull(const std::vector<Record>& records, double now);
  // A push-pull that this member started was rejected, broke or timed out.
  void on_push_pull_failed(double now);
  // Must be called at next_timer_at(). A call that is much too late shows that this process was paused: it
  // then returns true, and the messages in the receive buffer must be passed in as stale.
  bool on_timer(double now);
  [[nodiscard]] double next_timer_at() const { return next_timer_at_; }
  // Sets this member's load report; the view assigns its version.
  void set_load_report(LoadReport load_report);
  void leave(double now);

  // All members except this one, sorted by name.
  [[nodiscard]] std::vector<MemberStatus> members(double now) const;
  [[nodiscard]] std::vector<ObservedLink> broken_links(double now) const;
  [[nodiscard]] Record self_record(double now) const;
  // The records that this member sends in a push-pull.
  [[nodiscard]] std::vector<Record> full_state(double now) const;
  // Whether this process stays silent because an older process uses its name.
  [[nodiscard]] bool has_yielded() const { return has_yielded_; }
  [[nodiscard]] int local_health_score() const { return local_health_.score(); }
  // Members alive or suspected, without this one.
  [[nodiscard]] std::size_t alive_count() const { return table_.active_count(); }
  [[nodiscard]] const Self& self() const { return self_; }

  struct Counts {
    std::uint64_t probes = 0;
    std::uint64_t failed_probes = 0;
    std::uint64_t indirect_probes = 0;  // requested
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;  // declared by this member
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t mass_silences = 0;
    std::uint64_t push_pulls = 0;
    std::uint64_t rejected_members = 0;  // because the table was full
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  // The probe of the current period.
  struct Probe {
    MemberIndex member = 0;
    std::uint32_t id = 0;
    double sent_at = 0;
    bool is_acked = false;          // the target answered the direct ping
    bool indirect_started = false;  // ping requests were sent to helpers
    bool is_reached_indirectly = false;
    bool inbound_works = false;  // the target itself sent an ack to an indirect ping
    bool direct_ping_received = false;
    int helpers = 0;
    std::vector<std::string> negative_acks;  // helpers that also got no answer
  };
  // A probe on behalf of another member.
  struct IndirectProbe {
    std::string requester;
    std::string requester_address;
    std::string target;
    std::uint32_t id = 0;
    std::uint32_t direct_probe_id = 0;
    std::uint32_t request_id = 0;  // the probe id of the request, for the answer
    double deadline = 0;
    double resend_at = 0;
  };
  enum class SilentShare { kFew, kOverQuarter, kOverHalf };

  // membership_view.cpp
  [[nodiscard]] MemberState state_of(const Member& member, double now) const;
  [[nodiscard]] MemberStatus status_of(const Member& member, double now) const;
  [[nodiscard]] std::size_t fleet_size() const { return table_.active_count() + 1; }
  void rejoin();
  void handle_own_pause(double pause_seconds, double now);

  // membership_view_send.cpp
  void send(MemberIndex to, Message message, double now);
  void send_to(const std::string& address, Message message, double now, std::optional<MemberIndex> to);
  void send_record(const std::string& address, MemberIndex about, double now);
  void send_to_random_members(std::size_t count, const Message& message, double now);
  void add_gossip(Message& message, std::optional<MemberIndex> to, double now);
  void add_random_suspect(Message& message, std::optional<MemberIndex> to, double now);
  void add_random_load_report(Message& message, std::optional<MemberIndex> to, double now);
  void gossip(double now);
  void queue_gossip(MemberIndex about, bool urgent = false);
  [[nodiscard]] Record record_of(MemberIndex index, double now) const;
  [[nodiscard]] bool has_current_load_report(const Member& member, double now) const;
  [[nodiscard]] std::vector<MemberIndex> random_members(std::size_t limit,
                                                        const std::function<bool(const Member&)>& is_wanted);
  [[nodiscard]] std::vector<MemberIndex> random_members(std::size_t limit);
  [[nodiscard]] MemberIndex random_of(const std::set<MemberIndex>& members);

  // membership_view_records.cpp
  bool apply_record(const Record& record, double now);
  bool add_member(const Record& record, double now);
  void replace_record(MemberIndex index, const Record& record, double now);
  bool merge_equal_record(MemberIndex index, const Record& record, double now);
  void apply_condition_change(MemberIndex index, Condition before, double now, StateChangeReason reason);
  void apply_record_about_self(const Record& record, double now);
  void apply_suspicion_of_self(const Record& record, double now);
  void refute(const std::vector<std::string>& accusers, double now, std::size_t others);

  // membership_view_messages.cpp
  void apply_records(const std::string& from_address, const std::vector<Record>& records, double now);
  void handle_ping(const std::string& from_address, MemberIndex from, const Message& message, double now);
  void handle_ack(MemberIndex from, const Message& message, double now);
  bool forward_indirect_ack(MemberIndex from, const Message& message, double now);
  void handle_ping_request(const std::string& from_address, MemberIndex from, const Message& message,
                           double now);
  void handle_negative_ack(const Message& message);
  void send_indirect_ping(const IndirectProbe& probe, MemberIndex target, double now);
  void run_indirect_probes(double now);
  [[nodiscard]] bool may_send_correction(MemberIndex about, double now);

  // membership_view_probes.cpp
  void run_probes(double now);
  void start_probe(double now);
  void start_indirect_probes(double now);
  [[nodiscard]] std::vector<MemberIndex> choose_helpers(const Member& target);
  void finish_probe(double now);
  void finish_indirectly_reached(const Probe& probe, double now);

  // membership_view_suspicion.cpp
  void accuse(MemberIndex index, std::vector<std::string> accusers, double now);
  void shorten_suspicion(MemberIndex index);
  void record_evidence(MemberIndex index, std::uint32_t datagram_number, double now);
  [[nodiscard]] double suspicion_deadline(const Member& member, double from) const;
  [[nodiscard]] SilentShare silent_share(MemberIndex suspect, double now) const;
  void check_suspicions(double now);
  bool check_expired_suspicion(MemberIndex index, double now);
  void declare_dead(MemberIndex index, double now);

  // membership_view_sync.cpp
  [[nodiscard]] std::uint64_t membership_digest() const;
  void compare_digest(const std::string& address, std::uint64_t their_digest, double now);
  void run_push_pull(double now);
  void contact_seeds();
  void contact_missing_seed(double now);
  void contact_dead_member(double now);
  void forget_member(MemberIndex index);
  [[nodiscard]] bool is_alive_at(const std::string& address) const;

  const MembershipOptions options_;
  const std::vector<std::string> seeds_;
  MembershipSink& sink_;
  RandomSource random_;

  // This member.
  Self self_;
  std::uint32_t incarnation_ = 0;
  std::uint64_t conflicting_epoch_ = 0;
  LoadReport load_report_;
  LocalHealth local_health_;
  double longest_pause_ = 0;
  double longest_pause_at_ = 0;
  bool is_leaving_ = false;
  bool has_yielded_ = false;
  double rejoin_at_ = 0;

  // Other members.
  MemberTable table_;
  std::set<MemberIndex> suspected_;
  std::set<MemberIndex> unreachable_;  // according to this member's own probes
  BrokenLinks reported_links_;
  double newest_suspicion_at_ = Member::kNever;
  double mass_silence_since_ = -1;  // negative: none

  // Probes and gossip.
  ProbeSchedule schedule_;
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirect_probes_;  // on behalf of others
  GossipQueue gossip_;
  GossipRateLimiter gossip_rate_limiter_;
  std::uint32_t next_probe_id_ = 1;
  std::uint32_t next_datagram_number_ = 1;

  // Deadlines.
  double next_timer_at_ = 0;
  double probe_period_ends_at_ = 0;
  double unreachable_probe_at_ = 0;
  double gossip_at_ = 0;
  double push_pull_at_ = 0;
  bool has_push_pull_run_ = false;
  double seed_contact_at_ = 0;
  double seed_backoff_ = 0;  // 0: no attempt has failed yet
  double dead_member_contact_at_ = 0;
  double digest_differs_since_ = -1;  // negative: it does not differ
  double digest_sync_at_ = 0;

  Counts counts_;
};

}  // namespace damsonspoke::members
