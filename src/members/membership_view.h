// Who is there: SWIM's probes, suspicion and gossip with Lifeguard's lessons, as pure policy. Time is handed
// in, messages come and go as values, full exchanges are asked for; no socket, thread or clock.
//
// After "SWIM" (Das, Gupta, Motivala 2002) and "Lifeguard" (Dadgar, Phillips, Currey 2017). Beyond them: who
// notices its own pause accuses nobody and refutes before it is accused; a link that is cut is told apart
// from a death, with its direction; while over half are silent at once nobody is called dead; two lives under
// one name are both named, and the younger yields. Note: docs/notes/members.md.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "members/broken_links.h"
#include "members/gossip_queue.h"
#include "members/gossip_rate_limiter.h"
#include "members/options.h"
#include "members/record.h"

namespace damsonspoke::members {

// What this one makes of a member.
enum class MemberState {
  kAlive,
  kFlapping,     // there, but it has come and gone too often lately
  kUnreachable,  // alive, and out of our reach; or silent together with over half: it may be us
  kSuspected,
  kDead,
  kLeft
};
const char* text_of(MemberState state);

struct MemberStatus {
  std::string name, address;
  std::uint64_t epoch = 0;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  double since = 0;                       // s, by the clock that is handed in
  std::optional<LoadReport> load_report;  // none where it is too old to be a value
  double load_report_age = 0;             // s
  double longest_pause = 0;               // s, the longest that it lately stood still
  std::uint64_t conflicting_epoch = 0;    // a clone's life; 0: none
  std::vector<std::string> accusers;      // who found it silent
  bool usable() const { return state == MemberState::kAlive; }
};

struct Self {
  std::string name, address;
  std::uint64_t epoch = 0;
};

// Where a view's acts go. Called from inside the view's methods; must not call back.
class MembershipSink {
 public:
  virtual ~MembershipSink() = default;
  virtual void send(const std::string& address, const Message& message) = 0;
  virtual void start_push_pull(const std::string& address) = 0;  // full, by stream; its end comes as
                                                                 // on_exchange or on_exchange_failed
  // For the log and for users: a member's state changed, or something about this one, with its cause.
  virtual void on_state_changed(const std::string& name, MemberState state, const std::string& why) = 0;
  virtual void on_notice(const std::string& what) = 0;
};

class MembershipView {
 public:
  MembershipView(MembershipOptions options, Self self, std::vector<std::string> seeds, std::uint64_t seed,
                 MembershipSink& sink);

  void start(double now);
  // `stale`: it waited unread while this one stood still; only what accuses this one counts.
  void on_message(const std::string& from_address, const Message& message, double now, bool stale = false);
  // What the other side of a full exchange holds.
  void on_push_pull(const std::vector<Record>& records, double now);
  // One that was asked for ended without an answer: refused, broken, or not whole in time.
  void on_push_pull_failed(double now);
  std::vector<Record> full_state(double now) const;
  double next_timer_at() const { return next_timer_at_; }
  // Has to be called at wake(); a call that comes far too late is this one's own pause. True then: what waits
  // unread is from before, and is to be handed over as stale.
  bool on_timer(double now);
  void set_load_report(LoadReport load_report);  // of this one; its serial is given here
  void leave(double now);

  std::vector<MemberStatus> members(double now) const;  // all but this one, by name
  std::vector<ObservedLink> broken_links(double now) const;
  Record self_record(double now) const;
  bool has_yielded() const { return yielded_; }
  int local_health_score() const { return local_health_.score(); }
  std::size_t alive_count() const { return alive_; }
  const Self& self() const { return self_; }

  struct Counts {
    std::uint64_t probes = 0, failed_probes = 0, indirect_probes = 0, suspicions = 0, deaths = 0,
                  refutations = 0, pauses = 0, mass_silences = 0, push_pulls = 0, rejected_members = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Member {
    Record record;
    double since = 0;                 // of its condition here
    double load_report_at = 0;        // what it told, by our clock
    std::uint64_t token = 0;          // its part of the sum; 0 while it is not in play
    double deadline = -1;             // of a suspicion
    double last_heard = -1;           // by ourselves
    bool accused_here = false;        // we have found it silent ourselves
    bool final_probe_queued = false;  // once more, before its time is over
    LinkHealth link;
    double last_ping_at = -1;        // when its last direct ping came, and
    std::uint32_t last_ping_id = 0;  // that ping's serial
    std::string last_relay;          // who reached it for us last
    double flap_count = 0, flap_counted_at = 0, stable_at = 0;
    double heard_by_others_at = -1e9;  // when we learned that somebody heard from it while it was suspected
    std::uint32_t heard_datagram_number = 0;  // the number of that datagram
  };
  struct Probe {
    int member = -1;
    std::uint32_t probe_id = 0;
    double sent = 0;
    bool answered = false, asked = false;
    bool reached = false, detour = false,
         direct_came = false;  // by a helper; by itself; whether our ping did
    int helpers = 0;
    std::vector<std::string> silent;  // helpers that do not hear it either
  };
  struct IndirectProbe {  // a probe for somebody else
    std::string requester, requester_address, target;
    std::uint32_t probe_id = 0, direct_probe_id = 0, request_probe_id = 0;
    double deadline = 0, resend_at = 0;
  };

  int find(const std::string& name) const;
  int add(const Record& record, double now);
  void remove(int member);
  bool is_active(const Member& m) const { return m.record.condition <= Condition::kSuspected; }
  bool apply_record(const Record& record, double now);
  void apply_record_about_self(const Record& record, double now);
  void apply_condition_change(int member, Condition before, double now, const std::string& why);
  void refute(const std::vector<std::string>& accusers, double now, std::size_t to = 3);
  void update_load_report(Member& m, const Record& record, double now);
  void note_heard_by_other(int member, std::uint32_t number, double now);
  void update_digest(int member);
  std::uint64_t membership_digest() const;
  bool may_send_correction(int member, double now);
  void compare_digest(const std::string& address, std::uint64_t their_digest, double now);

  void start_probe(double now);
  void start_indirect_probes(double now);
  void finish_probe(double now);
  void accuse(int member, std::vector<std::string> accusers, double now);
  void shorten_suspicion(int member);
  void check_suspicions(double now);
  enum class Silence { kFew, kMany, kMost };
  Silence silence(int also, double now) const;
  void declare_dead(int member, double now, const std::string& why);
  void handle_own_pause(double gap, double now);
  void run_indirect_probes(double now);
  void gossip(double now);
  void run_periodic_tasks(double now);  // exchanges, forgetting, seeds
  std::optional<int> next_target();
  std::vector<int> random_members(std::size_t most, const std::function<bool(const Member&)>& wanted);
  void send(int member, Message message, double now);
  void send_to(const std::string& address, Message message, double now, int member);
  Record record_of(int member, double now) const;
  double suspicion_deadline(const Member& m, double from) const;
  MemberState state_of(const Member& m, double now) const;
  double random_unit();
  std::size_t fleet_size() const { return alive_ + 1; }

  const MembershipOptions options_;
  Self self_;
  const std::vector<std::string> seeds_;
  pcg32 random_;
  MembershipSink& sink_;
  std::uint32_t incarnation_ = 0, next_probe_id_ = 1, next_datagram_number_ = 1;
  std::uint64_t conflicting_epoch_ = 0;
  LoadReport load_report_;
  double pause_ = 0, pause_at_ = 0;
  bool leaving_ = false, yielded_ = false, has_push_pulled_ = false;
  double retry_at_ = 0;
  std::vector<Member> members_;  // holes have no name
  std::vector<int> free_slots_;
  std::unordered_map<std::string, int> by_name_;
  std::size_t alive_ = 0;     // there or suspected
  std::uint64_t digest_ = 0;  // of their tokens
  std::vector<int> order_;
  std::set<int> suspected_, unreachable_;  // members that are, by our own findings for the latter
  std::size_t next_in_order_ = 0;
  std::optional<int> reprobe_;    // probed out of turn: one wrong probe may be a lost datagram
  std::deque<int> final_probes_;  // as well: last looks
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  GossipQueue gossip_;
  GossipRateLimiter gossip_rate_limiter_;
  BrokenLinks reported_links_;
  LocalHealth local_health_;
  double seed_backoff_ = 0;  // s; of the last retry while nobody is known; 0: none yet
  double next_timer_at_ = 0, probe_period_ends_at_ = 0, gossip_at_ = 0, push_pull_at_ = 0,
         seed_contact_at_ = 0, dead_check_at_ = 0, unreachable_recheck_at_ = 0, digest_differs_since_ = -1,
         next_digest_sync_at_ = 0, mass_silence_since_ = -1, newest_suspicion_ = -1e9;
  Counts counts_;
};

}  // namespace damsonspoke::members
