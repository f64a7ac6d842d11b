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
#include "crowd.h"
#include "fleet.h"

namespace damsonspoke::standins {

// What a seed draws of the fleet.
struct EndingsFleet {
  int backends = 0;  // or two levels:
  int forwarders = 0;
  int planners = 0;
  bool by_ajp = false;
  bool keeps_results = false;  // a store; "close" is keyed then
  bool limits_connections = false;
  bool keeps_statistics = false;
  bool has_crowd = false;
};

[[nodiscard]] EndingsFleet draw_endings_fleet(pcg64& random);
[[nodiscard]] std::string text_of(const EndingsFleet& fleet);

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
    std::string operators;  // the sound file
    std::unique_ptr<Server> server;
    bool is_up = false;
    double stop_at = -1;  // of SIGKILL after the notice; < 0: no notice was given
    double paused_until = -1;
    bool has_left = false;  // it has said that it left, and has only to exit
    bool was_stopped_by_force = false;
  };

  void build();
  [[nodiscard]] SiteSpec site_of(const std::string& command, const std::string& name) const;
  void add_member(const std::string& command, const std::string& name, int number, const std::string& more);
  void draw_timeline();
  void draw_event(std::size_t member, double at);
  void at(double time, std::function<void()> act) { steps_.emplace(time, std::move(act)); }
  void note(const std::string& text);
  void on_line(Member& member, const std::string& line);

  bool start(Member& member);
  void kill(Member& member);
  void give_notice(Member& member);
  void write_at_the_end(const Member& member);
  void signal(Member& member, int number, const char* name);
  void reload(Member& member, bool sound);
  void pause(Member& member, double seconds);
  void look_after_ends();
  void finish_end(Member& member);
  void run_until(double time);

  void settle(std::vector<std::string>& broken);
  void check_counters(Member& member, std::vector<std::string>& broken);
  void leave(std::vector<std::string>& broken);
  void check_losses(std::vector<std::string>& broken) const;
  void check_rules_of_service(std::vector<std::string>& broken) const;

  [[nodiscard]] double chance();
  [[nodiscard]] bool one_in(int n) { return random_() % static_cast<unsigned>(n) == 0; }

  const std::string binary_;
  const std::string folder_;
  pcg64 random_;
  const EndingsFleet drawn_;
  Loop loop_;
  Journal journal_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<AjpGateway> gateway_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Flood>> floods_;
  std::multimap<double, std::function<void()>> steps_;
  std::vector<std::string> findings_;  // of sanitizers, and stores that are not open
  double began_ = 0;
};

}  // namespace damsonspoke::standins
