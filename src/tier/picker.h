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
  double slow_start = 1.5;     // s in which a planner that has come up grows to its whole window
  double first_share = 0.25;   // of its window that it begins with
  double bounded_load = 1.25;  // x the mean use of windows that a key's planner may have
  double eject_for = 2;        // s, doubled each time in a row up to eject_most
  double eject_most = 30;      // s
  double most_ejected = 0.5;   // share of the planners that are up
  int judged_over = 16;        // ends by which a planner is judged
  double bad_share = 0.5;      // of them that ended badly, beyond what the others' do
  double slow_multiple = 5;    // x the median of the others' times to an answer
  double rejection_rest = 0;   // s that an attempt which was rejected keeps its room
};

// How an attempt ended, as far as it says something about its planner.
enum class AttemptOutcome { kServed, kRejected, kBad };

class Picker {
 public:
  Picker(PickerOptions terms, std::vector<std::string> names);

  // Planners are named by position; new ones come last, ones that are no longer wanted stay as holes.
  int add(std::string name, double now);
  void remove(int planner);
  void restore(int planner);  // it is wanted again

  void up(int planner, std::uint32_t window, double now);
  void down(int planner);
  void leaving(int planner);  // it sends no more requests its way; what is open there goes on
  void window(int planner, std::uint32_t window, double slot_worth, bool good);

  void sent(int planner);
  // One attempt fewer is open there; `took` s from sending to its end.
  void ended(int planner, AttemptOutcome how, double took, double now);
  void let_go(int planner);            // one fewer, and nothing is learned of it
  void late(int planner, double now);  // it has not answered in its share of the time; still open there

  // `chance` gives numbers from 0 to under 1. None where no planner has room. `not_this`: where the request
  // was.
  std::optional<int> pick(std::uint64_t key, double now, const std::function<double()>& chance,
                          std::optional<int> not_this = std::nullopt);

  bool takes_requests(int planner) const;  // it is up and does not leave; with or without room
  bool wanted(int planner) const { return at(planner).wanted; }
  // Whether it can be asked what it remembers, wanted or not; and how many more may be open there at once.
  bool answers(int planner) const { return at(planner).up && !at(planner).leaving; }
  int asking_room(int planner, double now) const;
  bool any_up() const;         // whether any takes requests, with or without room
  int room(double now) const;  // attempts that may be begun now, over all planners
  int open(int planner) const { return at(planner).open; }
  int credits(int planner, double now) const;
  bool ejected(int planner, double now) const { return at(planner).ejected_until > now; }
  int ejected_now(double now) const;
  std::uint64_t ejections() const { return ejections_; }
  std::size_t size() const { return planners_.size(); }
  const std::string& name(int planner) const { return at(planner).name; }

 private:
  struct Planner {
    std::string name;
    std::uint64_t hash = 0;
    bool wanted = true, up = false, leaving = false, good = true;
    std::uint32_t window = 0;
    double slot_worth = 0;
    double up_since = 0;
    int open = 0;
    double ends = 0, bad = 0, rejected = 0;  // fading counts
    double took = 0;                         // s, of served ones, a fading mean; 0: none yet
    double ejected_until = 0;
    int ejected_in_a_row = 0;
    std::deque<double> rests;  // until when room stays taken that rejected attempts had
  };
  const Planner& at(int planner) const { return planners_[static_cast<std::size_t>(planner)]; }
  Planner& at(int planner) { return planners_[static_cast<std::size_t>(planner)]; }
  bool takes(int planner, double now) const;
  double effective(const Planner& p, double now) const;
  static int resting(const Planner& p, double now);
  double use(int planner, double now) const;
  bool better(int a, int b, double now) const;
  void judge(int planner, double now);
  std::optional<int> by_key(std::uint64_t key, double now, const std::vector<int>& from) const;

  const PickerOptions terms_;
  std::vector<Planner> planners_;
  std::uint64_t ejections_ = 0;
};

}  // namespace damsonspoke::tier
