// Which planner a request goes to. Pure policy: what planners say and how their attempts end goes in, a
// planner comes out, or none.
//
// With a key (a site with hot subjects): rendezvous hashing, so that a subject stays at one planner while
// planners come and go, with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016), so that a hot one does not
// drown it. Else the better of two by chance (Mitzenmacher 1996), by what the planner's next free slot is
// worth and how full it is. A planner that has come up is given more and more (slow start); one whose
// attempts end badly beside the others' is left out for a while, never more than half of them by our own
// doing.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damsonspoke::tier {

struct PickerOptions {
  double slow_start_seconds = 1.5;        // s in which a planner that has come up grows to its whole window
  double initial_window_share = 0.25;     // of its window that it begins with
  double load_bound = 1.25;               // x the mean use of windows that a key's planner may have
  double base_ejection_seconds = 2;       // s, doubled each time in a row up to max_ejection_seconds
  double max_ejection_seconds = 30;       // s
  double max_ejected_share = 0.5;         // share of the planners that are up
  int min_outcomes = 16;                  // outcomes by which a planner is judged
  double failure_share_margin = 0.5;      // of them that ended badly, beyond what the others' do
  double slow_factor = 5;                 // x the median of the others' times to an answer
  double rejection_cooldown_seconds = 0;  // s that an attempt which was rejected keeps its room
};

// How an attempt ended, as far as it says something about its planner.
enum class AttemptOutcome { kSucceeded, kRejected, kFailed };

class Picker {
 public:
  Picker(PickerOptions options, std::vector<std::string> names);

  // Planners are named by position; new ones come last, ones that are no longer listed stay as holes.
  int add(std::string name, double now);
  void remove(int planner);
  void restore(int planner);  // it is listed again

  void on_link_up(int planner, std::uint32_t window, double now);
  void on_link_down(int planner);
  void on_draining(int planner);  // it sends no more requests its way; what is open there goes on
  void on_load_report(int planner, std::uint32_t window, double slot_value, bool healthy);

  void on_attempt_sent(int planner);
  // One attempt fewer is open there; `latency` s from sending to its end.
  void on_attempt_ended(int planner, AttemptOutcome how, double latency, double now);
  void release(int planner);  // one fewer, and nothing is learned of it
  void on_attempt_late(int planner,
                       double now);  // it has not answered in its share of the time; still open there

  // `random` gives numbers from 0 to under 1. None where no planner has room. `exclude`: where the request
  // was.
  std::optional<int> pick(std::uint64_t key, double now, const std::function<double()>& random,
                          std::optional<int> exclude = std::nullopt);

  bool accepts_requests(int planner) const;  // it is up and does not leave; with or without room
  bool is_listed(int planner) const { return at(planner).listed; }
  // Whether it can be asked what it remembers, listed or not; and how many more may be open there at once.
  bool is_reachable(int planner) const { return at(planner).up && !at(planner).leaving; }
  int lookup_capacity(int planner, double now) const;
  bool any_accepts_requests() const;          // whether any takes requests, with or without room
  int total_free_capacity(double now) const;  // attempts that may be begun now, over all planners
  int open_attempts(int planner) const { return at(planner).open; }
  int free_capacity(int planner, double now) const;
  bool is_ejected(int planner, double now) const { return at(planner).ejected_until > now; }
  int ejected_count(double now) const;
  std::uint64_t ejections() const { return ejections_; }
  std::size_t size() const { return planners_.size(); }
  const std::string& name(int planner) const { return at(planner).name; }

 private:
  struct Planner {
    std::string name;
    std::uint64_t hash = 0;
    bool listed = true, up = false, leaving = false, healthy = true;
    std::uint32_t window = 0;
    double slot_value = 0;
    double up_since = 0;
    int open = 0;
    double outcomes = 0, failed = 0, rejected = 0;  // fading counts
    double latency = 0;                             // s, of served ones, a fading mean; 0: none yet
    double ejected_until = 0;
    int ejected_in_a_row = 0;
    std::deque<double> cooldowns;  // until when room stays taken that rejected attempts had
  };
  const Planner& at(int planner) const { return planners_[static_cast<std::size_t>(planner)]; }
  Planner& at(int planner) { return planners_[static_cast<std::size_t>(planner)]; }
  bool has_capacity(int planner, double now) const;
  double effective_window(const Planner& p, double now) const;
  static int rejections_cooling_down(const Planner& p, double now);
  double utilization(int planner, double now) const;
  bool is_better(int a, int b, double now) const;
  void eject_if_outlier(int planner, double now);
  std::optional<int> pick_by_key(std::uint64_t key, double now, const std::vector<int>& from) const;

  const PickerOptions options_;
  std::vector<Planner> planners_;
  std::uint64_t ejections_ = 0;
};

}  // namespace damsonspoke::tier
