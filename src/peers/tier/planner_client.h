// A forwarder's client of its planners: one link to each, reconnected when it ends, with pings. It knows
// which of the submitted attempts have left as complete frames, and reports the others when a link is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "wire/tier.h"

namespace damsonspoke::peers {

// What the planners tell. Planners are identified by their position.
class PlannerEvents {
 public:
  PlannerEvents() = default;
  virtual ~PlannerEvents() = default;
  PlannerEvents(const PlannerEvents&) = delete;
  PlannerEvents& operator=(const PlannerEvents&) = delete;

  // The planner's hello has arrived. `epoch`: of its session with this forwarder; `window`: attempts that may
  // be open there.
  virtual void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) = 0;
  // `unwritten`: attempts of which no complete frame ever left.
  virtual void on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) = 0;
  // The planner's window, slot value and health from now on.
  virtual void on_load_report(int planner, const wire::tier::LoadReport& report) = 0;
  // It shuts down gracefully: it answers what is open and should get nothing more.
  virtual void on_planner_draining(int planner) = 0;
  // `epoch`: of the session in which the answer was given.
  virtual void on_answer(int planner, std::uint64_t epoch, const wire::tier::Answer& answer) = 0;
};

// Keeps the links to the planners of the endpoint list. The positions of planners are given by add() and
// stay.
class PlannerClient : private net::ConnectionOwner {
 public:
  // What this forwarder tells its planners about itself.
  struct Self {
    std::string name;
    std::uint64_t epoch = 0;          // of this process
    std::vector<std::string> routes;  // their names; a submit names the position
    // The address, without a port, that links come from; empty: the system's choice.
    std::string local_address = {};
  };
  // `output_bytes`: that may wait to be read by all planners together.
  PlannerClient(net::Reactor& reactor, Self self, std::size_t output_bytes, PlannerEvents& events,
                Counters& counters, Logger& log);
  ~PlannerClient() override;
  PlannerClient(const PlannerClient&) = delete;
  PlannerClient& operator=(const PlannerClient&) = delete;

  // Adds a planner at the next position and connects. Throws std::runtime_error where the address is not
  // valid.
  void add(const std::string& address);
  // The planner is no longer listed: its link is closed by close_if_draining().
  void remove(int planner);
  // It is listed again, and connected if it is not.
  void restore(int planner);
  // Sends an attempt to a planner whose link is up. Where it has not left when the link ends, on_link_lost()
  // reports it.
  void submit(int planner, const wire::tier::Submit& submit);
  // Tells the planner that the caller of the attempt has gone; without a link, nothing.
  void cancel(int planner, std::uint64_t attempt);
  // Asks for proof that the attempt never ran and never will; without a link, nothing.
  void fence(int planner, std::uint64_t attempt);
  // Nothing is open at the planner: closes the link if it drains or is not listed.
  void close_if_draining(int planner);
  // Planners with a link that is up.
  [[nodiscard]] std::size_t linked_planners() const;

 private:
  struct UnprovenSubmit {
    std::uint64_t end = 0;  // of its frame, in bytes sent on the connection
    std::uint64_t attempt = 0;
  };
  struct Link {
    std::string address;
    bool is_listed = true;
    bool is_up = false;        // the planner's hello has arrived
    bool is_draining = false;  // the planner drains, or it is not listed
    std::shared_ptr<net::Connection> connection;
    std::uint64_t epoch = 0;  // of the planner
    double last_message_at = 0;
    double connecting_since = 0;
    double backoff = 0;                           // s before the next connection
    std::uint64_t sent_bytes = 0;                 // handed to this connection
    std::deque<UnprovenSubmit> unproven_submits;  // of which bytes may still be here, the oldest first
    net::Reactor::TimerId reconnect_timer;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason reason) override;

  void connect(int planner);
  [[nodiscard]] static std::vector<std::uint64_t> unwritten_attempts(const Link& link);
  // False: the message violates the protocol.
  [[nodiscard]] bool handle_message(int planner, const wire::tier::Message& message);
  [[nodiscard]] bool handle_hello(int planner, const wire::tier::Hello& hello);
  // Whether the link has taken the message.
  bool send(Link& link, const wire::tier::Message& message);
  void check_links();
  [[nodiscard]] Link& at(int planner) { return *links_[static_cast<std::size_t>(planner)]; }

  net::Reactor& reactor_;
  const Self self_;
  net::OutputPool output_;  // of all links together
  PlannerEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::vector<std::unique_ptr<Link>> links_;
  std::uint64_t next_ping_ = 1;
  net::Reactor::TimerId check_timer_;
};

}  // namespace damsonspoke::peers
