// One play of the soak of endings: a fleet and a timeline of ends, signals and faults, both drawn by a seed,
// among callers that use their connections until the end. Judged by the service rules and by what an end may
// cost.
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

  // What was broken; empty: nothing.
  [[nodiscard]] std::vector<std::string> play();

 private:
  struct Member {
    std::string name;
    int number = 0;         // as callers know it
    std::string operators;  // the sound file
    std::unique_ptr<Server> server;
    bool is_up = false;
    double stop_at = -1;  // of SIGKILL after the notice; < 0: no notice was given
    double paused_until = -1;
    bool has_logged_exit = false;  // it has said that it left, and has only to exit
    bool was_killed_at_stop = false;
    bool has_logged_line = false;          // in this life
    std::ptrdiff_t base_descriptors = -1;  // after its first start, without connections; < 0: not counted
  };

  void build();
  [[nodiscard]] std::string addresses_of_planners();
  [[nodiscard]] SiteSpec site_for(const std::string& command, const std::string& name) const;
  void add_member(const std::string& command, const std::string& name, int number, const std::string& more);
  void draw_timeline();
  void add_event(const EndingsEvent& event);
  void add_wide_event(Member& member, const EndingsEvent& event);
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
  std::unique_ptr<FaultyNetwork> network_;  // the levels, in wide seeds
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<AjpGateway> gateway_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Flood>> floods_;
  std::multimap<double, std::function<void()>> steps_;
  std::vector<std::string> findings_;  // of sanitizers, and stores that are not open
  double began_ = 0;
};

}  // namespace damsonspoke::standins
