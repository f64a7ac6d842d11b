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

#include "between.h"
#include "fleet.h"
#include "rehearsal_script.h"

namespace damsonspoke::standins {

struct SecondStats {
  double requested_weight = 0,
         served_weight = 0;  // importance of the things first asked for in it, and of those served in time
  int attempts = 0, rejected = 0, failed = 0;
};

struct RehearsalResult {
  bool has_started = false, has_settled = false, has_shut_down = false;
  double load_seconds = 0;  // s of load: the script's, and what its last start took
  Verdict verdict;
  double served_share = 0;         // share of the importance asked for, over all of it
  double served_share_at_end = 0;  // of the last seconds
  double attempts_per_request = 0;
  std::vector<SecondStats> seconds;
  std::map<std::string, std::uint64_t> counters;  // summed over the processes that were up at the end
  // Membership: s from an end to each who called it dead; who was called dead and lived; whether all see the
  // same at the end.
  std::vector<double> detection_seconds;
  std::vector<std::string> false_deaths;
  std::string view_difference;
  std::vector<std::string> fault_texts;  // faults with the times at which they came
  // What is against the rules of the platform or against what every play has to show; empty: all is well.
  std::vector<std::string> failures() const;
};

class Rehearsal {
 public:
  Rehearsal(std::string binary, RehearsalScript script);
  Rehearsal(const Rehearsal&) = delete;
  Rehearsal& operator=(const Rehearsal&) = delete;
  ~Rehearsal();
  RehearsalResult play();

  Loop loop;
  Journal journal;
  const RehearsalScript script;
  // The library that shifts a process's clock, for scripts that step it; empty: such a script is refused.
  static std::string clock_library;
  // Where each process's log and the journal of the play are written, at level debug; empty: nowhere.
  static std::string log_folder;
  Server* find(const std::string& name);
  const std::vector<std::string>& names() const { return names_; }
  Between& between() { return between_; }
  // Called with what is going on, for a terminal; and just before the fleet is told to leave.
  std::function<void(const std::string&)> on_progress;
  std::function<void()> before_shutdown;

 private:
  struct Member {
    std::string name;
    std::unique_ptr<Server> server;
    bool is_up = false, is_draining = false, is_paused = false;
    std::string clock_file;                              // the file that its Unix clock is shifted by
    double ended_at = -1;                                // its last end
    std::vector<std::pair<double, double>> long_pauses;  // when it stood still for longer than may be borne
  };
  struct Step {
    double at = 0;
    std::function<void()> action;
  };
  void build_fleet();
  std::string operators_text(const std::string& command, const std::string& name, std::size_t number);
  SiteSpec site_spec(const std::string& command, const std::string& name, std::size_t number);
  std::vector<std::string> expand_group(const std::string& name) const;
  std::vector<std::pair<std::string, std::string>> target_pairs(const FaultSpec& fault) const;
  void schedule_faults();
  using ProcessAction = std::function<void(const std::string& name)>;
  // Acts on each process of the fault's group at that time of the play.
  void schedule_for_group(const FaultSpec& fault, double at, const ProcessAction& action);
  void schedule_process_fault(const FaultSpec& fault);
  void schedule_start_or_end(const FaultSpec& fault);
  void schedule_replacement(const FaultSpec& fault);
  void schedule_pause(const FaultSpec& fault);
  void schedule_clock_step(const FaultSpec& fault);
  void schedule_cpu_load(const FaultSpec& fault);
  void schedule_resource_limit(const FaultSpec& fault);
  void schedule_hidden_folder(const FaultSpec& fault);
  void schedule_reload(const FaultSpec& fault);
  void schedule_slow_dependency(const FaultSpec& fault);
  void end_cpu_loads();
  void schedule_network_fault(const FaultSpec& fault);
  void schedule_link_change(const FaultSpec& fault, const std::function<void(Weather&)>& change,
                            const std::function<void(Weather&)>& revert);
  void schedule(double at, std::function<void()> action) { steps_.emplace(at, std::move(action)); }
  Member& member(const std::string& name);
  void start(const std::string& name);
  void kill(const std::string& name);
  void begin_shutdown(const std::string& name);
  void pause(const std::string& name, double seconds);
  void step_clock(const std::string& name, double seconds);
  void record_unreachable(const std::string& name, double from, double to);
  void report_progress(const std::string& progress) const;
  // Whether all processes came up and are listed.
  bool start_fleet();
  void play_steps();
  // Load ends, faults end, all are up again, and tries end.
  void settle(RehearsalResult& out);
  void wait_for_equal_views(RehearsalResult& out);
  void sum_counters(RehearsalResult& out) const;
  // Whether all left in order.
  bool shut_down();
  void judge(RehearsalResult& out, double began);
  void inspect_log_line(const std::string& by, const std::string& line);
  std::string find_view_difference();

  const std::string binary_;
  Between between_;
  Callers callers_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::string> names_;
  std::multimap<double, std::function<void()>> steps_;
  std::map<std::string, std::uint16_t> ports_;  // of planners that members tell
  Folder clock_folder_;
  std::vector<pid_t> cpu_loads_;
  double began_ = 0;
  double last_start_seconds_ = 0;
  std::vector<double> detection_seconds_;
  std::vector<std::string> false_deaths_;
};

// The load of a script as callers send it.
Callers::Options caller_options(const RehearsalScript& script);

}  // namespace damsonspoke::standins
