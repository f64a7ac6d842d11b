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
  double since = 0;                // s, by the clock that is handed in
  std::optional<LoadReport> told;  // none where it is too old to be a value
  double told_age = 0;             // s
  double pause = 0;                // s, the longest that it lately stood still
  std::uint64_t contest = 0;       // a clone's life; 0: none
  std::vector<std::string> by;     // who found it silent
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
  virtual void exchange(const std::string& address) = 0;  // full, by stream; its end comes as
                                                          // on_exchange or on_exchange_failed
  // For the log and for users: a member's state changed, or something about this one, with its cause.
  virtual void changed(const std::string& name, MemberState state, const std::string& why) = 0;
  virtual void noticed(const std::string& what) = 0;
};

class MembershipView {
 public:
  MembershipView(MembershipOptions terms, Self self, std::vector<std::string> seeds, std::uint64_t seed,
                 MembershipSink& port);

  void begin(double now);
  // `stale`: it waited unread while this one stood still; only what accuses this one counts.
  void on_message(const std::string& from_address, const Message& message, double now, bool stale = false);
  // What the other side of a full exchange holds.
  void on_exchange(const std::vector<Record>& records, double now);
  // One that was asked for ended without an answer: refused, broken, or not whole in time.
  void on_exchange_failed(double now);
  std::vector<Record> full(double now) const;
  double wake() const { return tick_at_; }
  // Has to be called at wake(); a call that comes far too late is this one's own pause. True then: what waits
  // unread is from before, and is to be handed over as stale.
  bool on_timer(double now);
  void tell(LoadReport told);  // of this one; its serial is given here
  void leave(double now);

  std::vector<MemberStatus> members(double now) const;  // all but this one, by name
  std::vector<ObservedLink> broken_links(double now) const;
  Record self_record(double now) const;
  bool yielded() const { return yielded_; }
  int local_health() const { return local_health_.value(); }
  std::size_t there() const { return alive_; }
  const Self& self() const { return self_; }

  struct Counts {
    std::uint64_t probes = 0, failed = 0, indirect = 0, suspicions = 0, deaths = 0, refuted = 0, pauses = 0,
                  held = 0, exchanges = 0, refused = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Member {
    Record record;
    double since = 0;           // of its condition here
    double told_at = 0;         // what it told, by our clock
    std::uint64_t token = 0;    // its part of the sum; 0 while it is not in play
    double deadline = -1;       // of a suspicion
    double last_heard = -1;     // by ourselves
    bool accused_here = false;  // we have found it silent ourselves
    bool looked = false;        // once more, before its time is over
    LinkHealth link;
    double seen_ping_at = -1;     // when its last direct ping came, and
    std::uint32_t seen_ping = 0;  // that ping's serial
    std::string helped_by;        // who reached it for us last
    double flaps = 0, flapped_at = 0, settled_at = 0;
    double heard_at = -1e9;   // when we learned that somebody heard from it while it was suspected
    std::uint32_t heard = 0;  // the number of that datagram
  };
  struct Probe {
    int member = -1;
    std::uint32_t serial = 0;
    double sent = 0;
    bool answered = false, asked = false;
    bool reached = false, detour = false,
         direct_came = false;  // by a helper; by itself; whether our ping did
    int helpers = 0;
    std::vector<std::string> silent;  // helpers that do not hear it either
  };
  struct IndirectProbe {  // a probe for somebody else
    std::string for_name, for_address, target;
    std::uint32_t serial = 0, direct = 0, asked_with = 0;
    double until = 0, again = 0;
  };

  int find(const std::string& name) const;
  int add(const Record& record, double now);
  void remove(int member);
  bool in_play(const Member& m) const { return m.record.condition <= Condition::kSuspected; }
  bool take(const Record& record, double now);
  void take_about_self(const Record& record, double now);
  void settle(int member, Condition before, double now, const std::string& why);
  void refute(const std::vector<std::string>& accusers, double now, std::size_t to = 3);
  void note_told(Member& m, const Record& record, double now);
  void heard(int member, std::uint32_t number, double now);
  void count_in(int member);
  std::uint64_t sum() const;
  bool may_correct(int member, double now);
  void compare(const std::string& address, std::uint64_t theirs, double now);

  void start_probe(double now);
  void ask_helpers(double now);
  void judge_probe(double now);
  void accuse(int member, std::vector<std::string> witnesses, double now);
  void confirm(int member);
  void look_at_suspicions(double now);
  enum class Silence { kFew, kMany, kMost };
  Silence silence(int also, double now) const;
  void call_dead(int member, double now, const std::string& why);
  void notice_pause(double gap, double now);
  void run_indirect_probes(double now);
  void gossip(double now);
  void look_around(double now);  // exchanges, forgetting, seeds
  std::optional<int> next_target();
  std::vector<int> some(std::size_t most, const std::function<bool(const Member&)>& wanted);
  void send(int member, Message message, double now);
  void send_to(const std::string& address, Message message, double now, int member);
  Record record_of(int member, double now) const;
  double deadline_of(const Member& m, double from) const;
  MemberState state_of(const Member& m, double now) const;
  double chance();
  std::size_t known() const { return alive_ + 1; }

  const MembershipOptions terms_;
  Self self_;
  const std::vector<std::string> seeds_;
  pcg32 random_;
  MembershipSink& port_;
  std::uint32_t incarnation_ = 0, next_serial_ = 1, next_number_ = 1;
  std::uint64_t contest_ = 0;
  LoadReport told_;
  double pause_ = 0, pause_at_ = 0;
  bool leaving_ = false, yielded_ = false, exchanged_ = false;
  double retry_at_ = 0;
  std::vector<Member> members_;  // holes have no name
  std::vector<int> holes_;
  std::unordered_map<std::string, int> by_name_;
  std::size_t alive_ = 0;  // there or suspected
  std::uint64_t sum_ = 0;  // of their tokens
  std::vector<int> order_;
  std::set<int> suspected_, cut_;  // members that are, by our own findings for the latter
  std::size_t next_in_order_ = 0;
  std::optional<int> again_;  // probed out of turn: one wrong probe may be a lost datagram
  std::deque<int> looks_;     // as well: last looks
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  GossipQueue gossip_;
  GossipRateLimiter gossip_rate_limiter_;
  BrokenLinks links_;
  LocalHealth local_health_;
  double seed_wait_ = 0;  // s; of the last retry while nobody is known; 0: none yet
  double tick_at_ = 0, period_at_ = 0, gossip_at_ = 0, exchange_at_ = 0, seeds_at_ = 0, look_at_ = 0,
         recheck_at_ = 0, differs_since_ = -1, compare_at_ = 0, hold_since_ = -1, newest_suspicion_ = -1e9;
  Counts counts_;
};

}  // namespace damsonspoke::members
