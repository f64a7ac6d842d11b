// Plays the script of a rehearsal: starts a fleet of the program's processes with their stand-ins and a
// faulty network between them, applies the load and the faults, and records every request end to end. It
// checks the four service rules over the whole fleet, whether service recovers, and what the members report
// of one another.
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

// The load in one second. A request and its retries count once, in the second of the first attempt.
struct SecondStats {
  double requested_weight = 0;  // priority weight of the requests
  double served_weight = 0;     // of those served within their latency objective
  int attempts = 0, rejected = 0, failed = 0;
};

struct RehearsalResult {
  bool has_started = false, has_settled = false, has_shut_down = false;
  double load_seconds = 0;  // the script's, plus the duration of its last start
  Verdict verdict;
  double served_share = 0;         // of the requested priority weight, over the whole load
  double served_share_at_end = 0;  // the same over the judged seconds
  double attempts_per_request = 0;
  std::vector<SecondStats> seconds;
  std::map<std::string, std::uint64_t> counters;  // sums over the processes that were up at the end
  // With membership: s from the end of a process until a member declared it dead, one value a declaration.
  std::vector<double> detection_seconds;
  std::vector<std::string> false_deaths;  // descriptions of declarations of processes that were up
  std::string view_difference;            // between the members' views at the end; empty: they agree
  std::vector<std::string> fault_texts;   // the faults of the script, with their times
  // Violations of the service rules and of what every rehearsal must achieve; empty if there are none.
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
  // The library that shifts a process's clock; without it, scripts with clock steps are rejected.
  static std::string clock_library;
  // The folder for the logs of the processes, at level debug, and for the journal; empty: none is written.
  static std::string log_folder;
  Server* find(const std::string& name);
  const std::vector<std::string>& names() const { return names_; }
  FaultyNetwork& between() { return between_; }
  std::function<void(const std::string&)> on_progress;  // called with a status text for a terminal
  std::function<void()> before_shutdown;                // called just before the fleet shuts down

 private:
  struct Member {
    std::string name;
    std::unique_ptr<Server> server;
    bool is_up = false, is_draining = false, is_paused = false;
    std::string clock_file;  // holds the shift of its Unix clock
    double ended_at = -1;    // when its last process ended
    // Times in which its pauses exceeded what members tolerate: it may be declared dead in them.
    std::vector<std::pair<double, double>> long_pauses;
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
  // Schedules the action for each process of the fault's group.
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
  // Schedules a change of the network between the fault's targets, and its revert when the fault ends.
  void schedule_link_change(const FaultSpec& fault, const std::function<void(LinkConditions&)>& change,
                            const std::function<void(LinkConditions&)>& revert);
  void schedule(double at, std::function<void()> action) { steps_.emplace(at, std::move(action)); }
  Member& member(const std::string& name);
  void start(const std::string& name);
  void kill(const std::string& name);
  void begin_shutdown(const std::string& name);
  void pause(const std::string& name, double seconds);
  void step_clock(const std::string& name, double seconds);
  // Exempts requests at the process between these times from the rules that it can't keep then.
  void record_unreachable(const std::string& name, double from, double to);
  void report_progress(const std::string& progress) const;
  // Returns whether all processes have started and the registries list those that serve callers.
  bool start_fleet();
  void play_steps();
  // Ends the load and the faults, starts the processes that are down, and waits for open attempts.
  void settle(RehearsalResult& out);
  void wait_for_equal_views(RehearsalResult& out);
  void sum_counters(RehearsalResult& out) const;
  // Returns whether all processes have shut down gracefully.
  bool shut_down();
  void judge(RehearsalResult& out, double began);
  // Records the declaration of a death by a member.
  void inspect_log_line(const std::string& by, const std::string& line);
  // Returns a description of the first difference between the members' views; empty where there is none.
  std::string find_view_difference();

  const std::string binary_;
  FaultyNetwork between_;
  Callers callers_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::string> names_;
  std::multimap<double, std::function<void()>> steps_;
  std::map<std::string, std::uint16_t> ports_;  // of the planners that forwarders discover by membership
  TemporaryFolder clock_folder_;
  std::vector<pid_t> cpu_loads_;
  double began_ = 0;
  double last_start_seconds_ = 0;
  std::vector<double> detection_seconds_;
  std::vector<std::string> false_deaths_;
};

// The options of callers that send the load of a script.
Callers::Options caller_options(const RehearsalScript& script);

}  // namespace damsonspoke::standins
