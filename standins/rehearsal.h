// A rehearsal played: the processes of a script beside their stand-ins, with a faulty network between them;
// every request recorded end to end; the four rules judged over the whole fleet, and whether service comes
// back.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "faulty_network.h"
#include "fleet.h"
#include "rehearsal_script.h"

namespace damsonspoke::standins {

struct SecondSeen {
  double asked = 0,
         served = 0;  // importance of the things first asked for in it, and of those served in time
  int tries = 0, rejected = 0, failed = 0;
};

struct Played {
  bool came_up = false, settled = false, left_in_order = false;
  double lasted = 0;  // s of load: the script's, and what its last start took
  Verdict verdict;
  double served = 0;       // share of the importance asked for, over all of it
  double served_last = 0;  // of the last seconds
  double attempts_a_request = 0;
  std::vector<SecondSeen> seconds;
  std::map<std::string, std::uint64_t> counters;  // summed over the processes that were up at the end
  // Membership: s from an end to each who called it dead; who was called dead and lived; whether all see the
  // same at the end.
  std::vector<double> deaths_found;
  std::vector<std::string> deaths_wrong;
  std::string views_differ;
  std::vector<std::string> marks;  // faults with the times at which they came
  // What is against the rules of the platform or against what every play has to show; empty: all is well.
  std::vector<std::string> broken() const;
};

class Rehearsal {
 public:
  Rehearsal(std::string binary, RehearsalScript script);
  Rehearsal(const Rehearsal&) = delete;
  Rehearsal& operator=(const Rehearsal&) = delete;
  ~Rehearsal();
  Played play();

  Loop loop;
  Journal journal;
  const RehearsalScript script;
  // The library that shifts a process's clock, for scripts that step it; empty: such a script is refused.
  static std::string clock_library;
  // Where each process's log and the journal of the play are written, at level debug; empty: nowhere.
  static std::string log_folder;
  Server* find(const std::string& name);
  const std::vector<std::string>& names() const { return names_; }
  FaultyNetwork& between() { return between_; }
  // Called with what is going on, for a terminal; and just before the fleet is told to leave.
  std::function<void(const std::string&)> on_progress;
  std::function<void()> before_end;

 private:
  struct Member {
    std::string name;
    std::unique_ptr<Server> server;
    bool up = false, leaving = false, paused = false;
    std::string clock;                             // the file that its Unix clock is shifted by
    double ended_at = -1;                          // its last end
    std::vector<std::pair<double, double>> still;  // when it stood still for longer than may be borne
  };
  struct Step {
    double at = 0;
    std::function<void()> act;
  };
  void build();
  std::string operators_of(const std::string& role, const std::string& name, std::size_t number);
  SiteSpec site_of(const std::string& role, const std::string& name, std::size_t number);
  std::vector<std::string> group(const std::string& name) const;
  std::vector<std::pair<std::string, std::string>> pairs(const FaultSpec& fault) const;
  void plan();
  using ProcessAct = std::function<void(const std::string& name)>;
  // Acts on each process of the fault's group at that time of the play.
  void over_group(const FaultSpec& fault, double at, const ProcessAct& act);
  void plan_one(const FaultSpec& fault);
  void plan_life(const FaultSpec& fault);
  void plan_replacement(const FaultSpec& fault);
  void plan_pause(const FaultSpec& fault);
  void plan_clock_step(const FaultSpec& fault);
  void plan_crowd(const FaultSpec& fault);
  void plan_limit(const FaultSpec& fault);
  void plan_hidden_folder(const FaultSpec& fault);
  void plan_reload(const FaultSpec& fault);
  void plan_dependency(const FaultSpec& fault);
  void end_burners();
  void plan_pairs(const FaultSpec& fault);
  void weather(const FaultSpec& fault, const std::function<void(LinkConditions&)>& change,
               const std::function<void(LinkConditions&)>& back);
  void add(double at, std::function<void()> act) { steps_.emplace(at, std::move(act)); }
  Member& member(const std::string& name);
  void start(const std::string& name);
  void kill(const std::string& name);
  void begin_leaving(const std::string& name);
  void pause(const std::string& name, double seconds);
  void step_clock(const std::string& name, double seconds);
  void out_of_reach(const std::string& name, double from, double to);
  void tell(const std::string& progress) const;
  // Whether all processes came up and are listed.
  bool come_up();
  void play_steps();
  // Load ends, faults end, all are up again, and tries end.
  void settle(Played& out);
  void compare_all_views(Played& out);
  void sum_counters(Played& out) const;
  // Whether all left in order.
  bool leave();
  void judge(Played& out, double began);
  void look_at_line(const std::string& by, const std::string& line);
  std::string compare_views();

  const std::string binary_;
  FaultyNetwork between_;
  Callers callers_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::string> names_;
  std::multimap<double, std::function<void()>> steps_;
  std::map<std::string, std::uint16_t> ports_;  // of planners that members tell
  TemporaryFolder clocks_;
  std::vector<pid_t> burners_;
  double began_ = 0;
  double last_start_seconds_ = 0;
  std::vector<double> deaths_found_;
  std::vector<std::string> deaths_wrong_;
};

// The load of a script as callers send it.
Callers::Options callers_of(const RehearsalScript& script);

}  // namespace damsonspoke::standins
