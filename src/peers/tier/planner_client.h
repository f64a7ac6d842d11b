// The planners behind a forwarder: one link each, opened again when it ends, with pings both ways. It knows
// what of the requests that it was given ever left, and tells it when a link ends.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "wire/tier.h"

namespace damsonspoke::peers {

class PlannerEvents {
 public:
  virtual ~PlannerEvents() = default;
  virtual void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) = 0;
  virtual void on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) = 0;
  virtual void on_load_report(int planner, const wire::tier::LoadReport& window) = 0;
  virtual void on_planner_draining(int planner) = 0;
  virtual void on_answer(int planner, std::uint64_t epoch, const wire::tier::Answer& answer) = 0;
};

class PlannerClient : private net::ConnectionOwner {
 public:
  struct Self {
    std::string name;
    std::uint64_t epoch = 0;
    std::vector<std::string> types;
    std::string from = {};  // the address, without a port, that links come from; empty: the system's choice
  };
  // `output_bytes`: of all links together.
  PlannerClient(net::Reactor& reactor, Self self, std::size_t output_bytes, PlannerEvents& events,
                Counters& counters, Logger& log);
  ~PlannerClient() override;

  void add(const std::string& address);  // at the next position
  void remove(int planner);              // its link ends once nothing is open there; see close_if_draining()
  void restore(int planner);             // it is wanted again, and linked if it is not
  void submit(int planner, const wire::tier::Submit& submit);
  void cancel(int planner, std::uint64_t attempt);
  void fence(int planner, std::uint64_t attempt);
  // Nothing is open at it any more: a link to one that leaves, or is not wanted, ends.
  void close_if_draining(int planner);
  std::size_t linked() const;

 private:
  struct Link {
    std::string address;
    bool wanted = true;
    std::shared_ptr<net::Connection> connection;
    bool greeted = false, leaving = false;
    std::uint64_t epoch = 0;
    double heard_at = 0, began_at = 0, pause = 0;
    std::uint64_t given = 0;                                       // bytes, to this connection
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unproven;  // end of a submit's bytes, its attempt
    net::Reactor::TimerId again;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  void connect(int planner);
  bool take(int planner, const wire::tier::Message& message);
  bool put(Link& link, const wire::tier::Message& message);
  void look();
  Link& at(int planner) { return *links_[static_cast<std::size_t>(planner)]; }

  net::Reactor& reactor_;
  const Self self_;
  net::OutputPool output_;  // of all links together
  PlannerEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::vector<std::unique_ptr<Link>> links_;
  std::uint64_t next_ping_ = 1;
  net::Reactor::TimerId look_timer_;
};

}  // namespace damsonspoke::peers
