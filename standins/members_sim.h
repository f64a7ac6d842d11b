// A fleet of members in a simulated network and time: the program's own View, thousands of them, with events
// in the order of their times and chance from a seed. Stands in for sockets, clocks and processes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "members/membership_view.h"

namespace damsonspoke::standins {

class MembersSim {
 public:
  struct Options {
    int count = 12;
    std::uint64_t seed = 1;
    double loss = 0;                         // share of datagrams
    double latency = 0.001, jitter = 0.001;  // s
    members::MembershipOptions membership;
    std::string names = "n";  // before each one's number
    int weigh_each = 50;      // of the datagrams one in so many is encoded, to know its bytes
  };
  explicit MembersSim(Options options);

  // Everybody knows everybody at the start, or each one its seeds alone.
  void begin(bool acquainted);
  void run_until(double time);
  double now() const { return now_; }

  void kill(int node);
  void start(int node);  // a new life
  void clone(int node);  // a second process under its name, as the last node
  void leave(int node);
  void pause(int node, double seconds);
  // What goes from the one to the other is lost; streams need both ways.
  std::function<bool(int from, int to)> cut;
  // What views say as it happens; for who looks for a cause.
  std::function<void(int node, const std::string& what)> on_change;
  double late = 0, doubled = 0;  // share of datagrams that come 2 s late, or twice

  bool up(int node) const { return nodes_[static_cast<std::size_t>(node)]->up; }
  bool paused(int node) const { return nodes_[static_cast<std::size_t>(node)]->paused_until > now_; }
  members::MembershipView& view(int node) { return *nodes_[static_cast<std::size_t>(node)]->view; }
  int count() const { return static_cast<int>(nodes_.size()); }
  std::string name(int node) const { return nodes_[static_cast<std::size_t>(node)]->name; }
  members::MemberState state(int of, const std::string& name);

  struct Death {
    double at = 0;  // s, of the end
    int node = 0;
    std::vector<double> found;  // s after it, by each who found it
  };
  const std::vector<Death>& deaths() const { return deaths_; }
  struct Wrong {
    double at = 0;
    int by = 0, of = 0;
  };
  // Called dead while that life of it was up: each first teller counts once a spell.
  const std::vector<Wrong>& wrong() const { return wrong_; }
  double member_seconds() const { return member_seconds_; }
  // Bytes that a member sent a second since forget_bytes(): in datagrams, with their IP and UDP heads; in
  // full exchanges; in both. By encoding a sample, so none where `weigh_each` is 0.
  double datagram_bytes_a_member_second() const;
  double exchange_bytes_a_member_second() const;
  double bytes_a_member_second() const {
    return datagram_bytes_a_member_second() + exchange_bytes_a_member_second();
  }
  void forget_bytes();
  // Counts since then, a member and second: datagrams, the records in them, records in full exchanges.
  double datagrams_a_member_second() const { return a_member_second(static_cast<double>(sent_)); }
  double records_a_member_second() const { return a_member_second(static_cast<double>(sent_records_)); }
  double exchanged_records_a_member_second() const {
    return a_member_second(static_cast<double>(exchanged_records_));
  }
  // Every member that is up sees each other one that is up as there, and nobody else.
  bool views_same(std::string* how_not = nullptr);
  members::MembershipView::Counts counts() const;

 private:
  struct Node : members::MembershipSink {
    MembersSim* sim = nullptr;
    int number = 0;
    std::string name, address;
    std::unique_ptr<members::MembershipView> view;
    bool up = false;
    double paused_until = -1;
    std::uint64_t life = 0;
    double next_wake = -1;
    std::vector<std::pair<std::string, std::shared_ptr<const members::Message>>> backlog;
    void send(const std::string& address, const members::Message& message) override;
    void start_push_pull(const std::string& address) override;
    void on_state_changed(const std::string& name, members::MemberState state,
                          members::StateChangeReason reason) override;
    void on_notice(const members::Notice& notice) override;
    std::uint64_t epoch_known(const std::string& who) const;  // the life that it knows under this name
  };
  struct Event {
    double at = 0;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  void at(double time, std::function<void()> act);
  void schedule_wake(Node& node);
  void deliver(int from, int to, std::shared_ptr<const members::Message> message);
  void resume(Node& node);
  double chance();
  double a_member_second(double total) const;
  bool is_cut(int from, int to) const { return cut && cut(from, to); }
  Node& add_node(const std::string& name);

  const Options options_;
  pcg64 random_;
  double now_ = 0, member_seconds_ = 0, bytes_since_ = 0;
  std::uint64_t next_event_ = 1, next_epoch_ = 1000;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> by_address_;
  std::map<std::string, int> by_name_;
  std::vector<Death> deaths_;
  std::vector<Wrong> wrong_;
  std::map<int, double> wrong_since_;
  std::uint64_t sent_ = 0, sent_records_ = 0, weighed_ = 0, weighed_bytes_ = 0;  // datagrams
  std::uint64_t exchanges_ = 0, exchanged_records_ = 0, weighed_records_ = 0, weighed_exchange_bytes_ = 0;
};

}  // namespace damsonspoke::standins
