// Simulates a fleet of members: thousands of the program's own membership views with a simulated network and
// clock. Events happen in the order of their times, and all random draws come from a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "members/membership_view.h"

namespace damsonspoke::standins {

class MembersSim {
 public:
  struct Options {
    int count = 12;
    std::uint64_t seed = 1;
    double loss = 0;  // share of datagrams
    double latency = 0.001;
    double jitter = 0.001;  // s; drawn evenly and added to the latency, which is in s too
    members::MembershipOptions membership;
    std::string name_prefix = "n";  // a member's name is the prefix and its number
    int encode_one_in = 50;         // encodes one in so many datagrams to measure their bytes; 0: none
  };
  explicit MembersSim(Options options);

  // Starts all members. They know one another from the start, or only their seeds.
  void start_all(bool know_one_another);
  void run_until(double time);
  [[nodiscard]] double now() const { return now_; }

  void kill(int node);
  void start(int node);        // with a new epoch
  void start_clone(int node);  // a second process under the same name, which becomes the last node
  void leave(int node);
  void pause(int node, double seconds);
  // Returns whether datagrams from one node to the other are lost; push-pulls need both directions.
  std::function<bool(int from, int to)> is_cut;
  // Called with the state changes and notices of the views, for tracing.
  std::function<void(int node, const std::string& text)> on_change;
  double late_share = 0;        // of datagrams that arrive 2 s late
  double duplicated_share = 0;  // of datagrams that arrive twice

  [[nodiscard]] bool is_up(int number) const { return node(number).is_up; }
  [[nodiscard]] bool is_paused(int number) const { return node(number).paused_until > now_; }
  [[nodiscard]] members::MembershipView& view(int number) { return *node(number).view; }
  [[nodiscard]] int count() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] std::string name(int number) const { return node(number).name; }
  // The state of the member of that name in the view of one node; kLeft where the view does not have it.
  [[nodiscard]] members::MemberState state(int observer, const std::string& name) const;

  struct Death {
    double at = 0;
    int node = 0;
    std::vector<double> found;  // s from the death until a view declared it; one value a declaration
  };
  [[nodiscard]] const std::vector<Death>& deaths() const { return deaths_; }
  // A member was declared dead while the declared process was up. Declarations of the same member in close
  // succession count as one.
  struct FalseDeath {
    double at = 0;
    int by = 0;
    int of = 0;
  };
  [[nodiscard]] const std::vector<FalseDeath>& false_deaths() const { return false_deaths_; }
  [[nodiscard]] double member_seconds() const { return member_seconds_; }

  // Mean traffic that a member sent per second since reset_traffic(). Bytes include IP and UDP headers; they
  // are estimated by encoding a sample, so they are 0 where `encode_one_in` is 0.
  void reset_traffic();
  [[nodiscard]] double datagram_bytes_per_member_second() const;
  [[nodiscard]] double push_pull_bytes_per_member_second() const;
  [[nodiscard]] double bytes_per_member_second() const {
    return datagram_bytes_per_member_second() + push_pull_bytes_per_member_second();
  }
  [[nodiscard]] double datagrams_per_member_second() const {
    return per_member_second(static_cast<double>(datagrams_.sent));
  }
  [[nodiscard]] double records_per_member_second() const {
    return per_member_second(static_cast<double>(datagrams_.records));
  }
  [[nodiscard]] double push_pull_records_per_member_second() const {
    return per_member_second(static_cast<double>(push_pulls_.records));
  }
  // Returns whether every member that is up sees exactly the other members that are up as alive. If not,
  // writes a difference to `difference`.
  [[nodiscard]] bool views_agree(std::string* difference = nullptr);
  [[nodiscard]] members::MembershipView::Counts counts() const;

 private:
  using SharedMessage = std::shared_ptr<const members::Message>;

  struct Node : members::MembershipSink {
    MembersSim* sim = nullptr;
    int number = 0;
    std::string name;
    std::string address;
    std::unique_ptr<members::MembershipView> view;
    bool is_up = false;
    double paused_until = -1;
    std::uint64_t process = 0;  // number of its starts
    std::vector<std::pair<std::string, SharedMessage>>
        backlog;  // unread during a pause, with the sender's address
    void send(const std::string& to, const members::Message& message) override;
    void start_push_pull(const std::string& to) override;
    void on_state_changed(const std::string& member, members::MemberState state,
                          members::StateChangeReason reason) override;
    void on_notice(const members::Notice& notice) override;
    // The epoch of this name in the node's view; 0 where the view does not have it.
    [[nodiscard]] std::uint64_t known_epoch(const std::string& member) const;
  };
  struct Event {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct DatagramTraffic {
    std::uint64_t sent = 0;
    std::uint64_t records = 0;
    std::uint64_t encoded = 0;  // in the sample
    std::uint64_t encoded_bytes = 0;
  };
  struct PushPullTraffic {
    std::uint64_t records = 0;
    std::uint64_t encoded_records = 0;  // in the sample
    std::uint64_t encoded_bytes = 0;
  };

  [[nodiscard]] Node& node(int number) { return *nodes_[static_cast<std::size_t>(number)]; }
  [[nodiscard]] const Node& node(int number) const { return *nodes_[static_cast<std::size_t>(number)]; }
  Node& add_node(const std::string& name);
  void schedule(double time, std::function<void()> action);
  void schedule_timer(Node& node);
  void resume(Node& node);
  void deliver(int from, int to, const SharedMessage& message);
  void receive(int from, int to, const SharedMessage& message);
  void push_pull(Node& initiator, Node& other);
  void note_death_found(int dead);
  void note_false_death(int by, int of);
  [[nodiscard]] bool agrees_with_truth(int observer, std::string* difference);
  [[nodiscard]] double random_unit();
  [[nodiscard]] double per_member_second(double total) const;
  [[nodiscard]] bool is_lost(int from, int to) const { return is_cut && is_cut(from, to); }

  const Options options_;
  pcg64 random_;
  double now_ = 0;
  double member_seconds_ = 0;
  std::uint64_t next_event_ = 1;
  std::uint64_t next_epoch_ = 1000;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> by_address_;
  std::map<std::string, int> by_name_;
  std::vector<Death> deaths_;
  std::vector<FalseDeath> false_deaths_;
  std::map<int, double> last_false_death_at_;  // by node
  DatagramTraffic datagrams_;
  PushPullTraffic push_pulls_;
  std::uint64_t push_pull_count_ = 0;
  double traffic_since_ = 0;
};

}  // namespace damsonspoke::standins
