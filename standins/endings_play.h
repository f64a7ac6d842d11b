// A randomized test of process ends, one play per seed. The seed draws a fleet and a timeline of ends,
// signals and faults; callers use their connections until they are closed. The result is checked against the
// service rules and against the losses that an end may cause.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ajp_gateway.h"
#include "connection_flood.h"
#include "endings_draw.h"
#include "faulty_network.h"
#include "fleet.h"

namespace damsonspoke::standins {

class EndingsPlay {
 public:
  // `folder`: for logs, the timeline and the journal.
  EndingsPlay(std::string binary, std::uint64_t seed, std::string folder);
  ~EndingsPlay();
  EndingsPlay(const EndingsPlay&) = delete;
  EndingsPlay& operator=(const EndingsPlay&) = delete;

  // Plays the timeline and returns the violations.
  [[nodiscard]] std::vector<std::string> play();

 private:
  struct Member {
    std::string name;
    int number = 0;         // of the server, for callers
    std::string operators;  // the valid operators' file
    std::unique_ptr<Server> server;
    bool is_up = false;
    double stop_at = -1;  // time of SIGKILL after a shutdown notice; < 0: no notice was sent
    double paused_until = -1;
    bool has_logged_exit = false;  // its shutdown is complete, only the exit remains
    bool was_killed_at_stop = false;
    bool has_logged_line = false;          // since its start
    std::ptrdiff_t base_descriptors = -1;  // after its first start, apart from connections; < 0: not counted
  };

  void build();
  [[nodiscard]] std::string addresses_of_planners();
  [[nodiscard]] SiteSpec site_for(const std::string& command, const std::string& name) const;
  void add_member(const std::string& command, const std::string& name, int number, const std::string& more);
  void draw_timeline();
  void add_event(const TimelineEvent& event);
  void add_wide_event(Member& member, const TimelineEvent& event);
  void add_flood();
  void at(double time, std::function<void()> act) { steps_.emplace(time, std::move(act)); }
  void record(const std::string& text);
  void on_log_line(Member& member, const std::string& line);

  bool start(Member& member);
  void kill(Member& member);
  void give_notice(Member& member);
  void send_requests_at_stop(const Member& member);
  void open_late_readers(const Member& member);
  void schedule_late_request(const Member& member, int reader, const Flow& flow, const std::string& key,
                             double when);
  void pause_at_stop(Member& member);
  void move_runtime(Member& member);
  void take_registry_down(Member& member, double seconds);
  void cut_levels(const Member& planner, bool cut);
  void reset_levels(const Member& planner);
  void send_early_or_late_signal(Member& member);
  void signal(Member& member, int number, const char* name);
  void reload(Member& member, bool is_valid);
  void pause(Member& member, double seconds);
  void check_ends();
  void handle_end(Member& member);
  void run_until(double time);

  void settle(std::vector<std::string>& broken);
  void check_counters(Member& member, std::vector<std::string>& broken);
  void shut_down_all(std::vector<std::string>& broken);
  [[nodiscard]] std::ptrdiff_t base_descriptors(const Member& member) const;
  void count_descriptors();
  void check_descriptors(Member& member, std::vector<std::string>& broken);
  void check_registry(std::vector<std::string>& broken);
  void check_losses(std::vector<std::string>& broken) const;
  void check_service_rules(std::vector<std::string>& broken) const;

  [[nodiscard]] double chance() { return draw_chance(random_); }
  [[nodiscard]] bool one_in(int n) { return random_() % static_cast<unsigned>(n) == 0; }

  const std::string binary_;
  const std::string folder_;
  pcg64 random_;
  const EndingsFleet drawn_;
  Loop loop_;
  Journal journal_;
  std::unique_ptr<FaultyNetwork> network_;  // between the levels, for wide seeds
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<AjpGateway> gateway_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Flood>> floods_;
  std::multimap<double, std::function<void()>> steps_;
  std::vector<std::string> findings_;  // errors of sanitizers, and stores that are not open
  double began_ = 0;
};

}  // namespace damsonspoke::standins
