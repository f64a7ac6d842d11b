// Chooses the planner that a request is sent to, from the planners' load reports and the outcomes of their
// attempts. Policy without I/O; times are seconds on one monotonic clock.
//
// With a key (sites with hot subjects): rendezvous hashing, so that a subject stays at one planner when
// others are added or removed, with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016), so that a hot
// subject does not overload its planner. Otherwise the better of two random choices (Mitzenmacher 1996), by
// the value of the planner's next free slot and by utilization. A planner that has just connected gets a
// growing part of its window (slow start). An outlier, whose attempts end much worse than those of the
// others, is ejected for some time; by default never more than half of the planners are ejected.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damsonspoke::tier {

struct PickerOptions {
  double slow_start_seconds = 1.5;     // until a planner that has connected gets its full window
  double initial_window_share = 0.25;  // of the window, when a planner has just connected
  double load_bound = 1.25;            // x the mean utilization: limit for the planner of a key
  double base_ejection_seconds = 2;    // doubled with each consecutive ejection, up to max_ejection_seconds
  double max_ejection_seconds = 30;
  double max_ejected_share = 0.5;         // of the planners that are up
  int min_outcomes = 16;                  // outcomes before a planner can be ejected
  double failure_share_margin = 0.5;      // of failed attempts, above the others' median
  double slow_factor = 5;                 // x the median of the others' latencies
  double rejection_cooldown_seconds = 0;  // how long a rejected attempt keeps using capacity
};

// The outcome of an attempt, if it says something about its planner.
enum class AttemptOutcome { kSucceeded, kRejected, kFailed };

// Planners are identified by their position, which never changes.
class Picker {
 public:
  Picker(PickerOptions options, const std::vector<std::string>& names);

  // Adds a planner at the next position and returns that position.
  int add(const std::string& name);
  // The planner is no longer on the endpoint list: it is sent no more requests.
  void remove(int planner) { at(planner).is_listed = false; }
  // The planner is on the endpoint list again.
  void restore(int planner) { at(planner).is_listed = true; }

  // The planner has connected and starts without history. `window`: attempts that may be open there.
  void on_link_up(int planner, std::uint32_t window, double now);
  void on_link_down(int planner) { at(planner).is_up = false; }
  // The planner shuts down gracefully: it accepts no more requests but completes its open attempts.
  void on_draining(int planner) { at(planner).is_draining = true; }
  // `slot_value`: of its next free slot, in units of priority weight.
  void on_load_report(int planner, std::uint32_t window, double slot_value, bool is_healthy);

  void on_attempt_sent(int planner) { ++at(planner).open; }
  // `latency`: s from sending to the answer; counts for successes only.
  void on_attempt_ended(int planner, AttemptOutcome outcome, double latency, double now);
  // An attempt ended, and its outcome says nothing about its planner.
  void release(int planner);
  // An attempt is late, which counts as a failure. It stays open.
  void on_attempt_late(int planner, double now);

  // Chooses the planner for a request. Returns none if no planner has capacity. `key`: 0 if the request may
  // go to any planner. `random` returns numbers in [0, 1). `exclude`: the planner of the previous attempt.
  [[nodiscard]] std::optional<int> pick(std::uint64_t key, double now, const std::function<double()>& random,
                                        std::optional<int> exclude = std::nullopt);

  // Whether it is listed, up and not draining, with or without capacity.
  [[nodiscard]] bool accepts_requests(int planner) const;
  [[nodiscard]] bool any_accepts_requests() const;
  [[nodiscard]] bool is_listed(int planner) const { return at(planner).is_listed; }
  // Whether it can be asked which keys it remembers, listed or not.
  [[nodiscard]] bool is_reachable(int planner) const { return at(planner).is_up && !at(planner).is_draining; }
  // Attempts that may be begun there now.
  [[nodiscard]] int free_capacity(int planner, double now) const;
  // The same for key lookups, which are also sent to ejected and unlisted planners.
  [[nodiscard]] int lookup_capacity(int planner, double now) const;
  [[nodiscard]] int open_attempts(int planner) const { return at(planner).open; }
  [[nodiscard]] bool is_ejected(int planner, double now) const { return at(planner).ejected_until > now; }
  [[nodiscard]] int ejected_count(double now) const;
  [[nodiscard]] std::uint64_t ejections() const { return ejections_; }
  [[nodiscard]] std::size_t size() const { return planners_.size(); }
  [[nodiscard]] const std::string& name(int planner) const { return at(planner).name; }

 private:
  // Decaying counts of the outcomes of attempts, and the mean latency of those that succeeded.
  struct Outcomes {
    double total = 0;
    double failed = 0;
    double rejected = 0;
    double mean_latency = 0;  // s; 0: not known
    [[nodiscard]] double failed_share() const { return failed / total; }
    [[nodiscard]] double rejected_share() const { return rejected / total; }
  };
  struct Planner {
    std::string name;
    std::uint64_t name_hash = 0;
    bool is_listed = true;
    bool is_up = false;
    bool is_draining = false;
    bool is_healthy = true;
    std::uint32_t window = 0;
    double slot_value = 0;
    double slow_start_from = 0;
    int open = 0;
    Outcomes outcomes;
    double ejected_until = 0;
    int ejections_in_a_row = 0;
    std::deque<double> cooldowns;  // when the capacity of rejected attempts becomes free
  };
  // The medians over the other planners.
  struct Baseline {
    double failed_share = 0;
    double rejected_share = 0;
    double latency = 0;  // s; 0: not known
    int planners_up = 0;
  };

  [[nodiscard]] const Planner& at(int planner) const { return planners_[static_cast<std::size_t>(planner)]; }
  [[nodiscard]] Planner& at(int planner) { return planners_[static_cast<std::size_t>(planner)]; }
  [[nodiscard]] double effective_window(const Planner& planner, double now) const;
  [[nodiscard]] double utilization(int planner, double now) const;
  [[nodiscard]] bool is_better(int a, int b, double now) const;
  [[nodiscard]] std::optional<int> pick_by_key(std::uint64_t key, double now,
                                               const std::vector<int>& candidates) const;
  [[nodiscard]] std::optional<Baseline> baseline_without(int planner, double now) const;
  [[nodiscard]] bool is_outlier(const Outcomes& outcomes, const Baseline& others) const;
  void eject_if_outlier(int planner, double now);

  const PickerOptions options_;
  std::vector<Planner> planners_;
  std::uint64_t ejections_ = 0;
};

}  // namespace damsonspoke::tier
