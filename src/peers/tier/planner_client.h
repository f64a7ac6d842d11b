// A forwarder's client of its planners: one link to each, with pings, reconnected when it ends. It tracks
// which submitted attempts have been written as complete frames, and reports the others when a link is lost.
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

// Receives the planners' messages and the changes of their links. Planners are identified by their position.
class PlannerEvents {
 public:
  PlannerEvents() = default;
  virtual ~PlannerEvents() = default;
  PlannerEvents(const PlannerEvents&) = delete;
  PlannerEvents& operator=(const PlannerEvents&) = delete;

  // The planner's hello has arrived. `epoch`: of its session with this forwarder; `window`: attempts that may
  // be open there.
  virtual void on_link_up(int planner, std::uint64_t epoch, std::uint32_t window) = 0;
  // `unwritten`: attempts of which no complete frame was written.
  virtual void on_link_lost(int planner, const std::vector<std::uint64_t>& unwritten) = 0;
  // The planner reported its window, slot value and health.
  virtual void on_load_report(int planner, const wire::tier::LoadReport& report) = 0;
  // The planner shuts down gracefully: it answers its open attempts and must not be sent new ones.
  virtual void on_planner_draining(int planner) = 0;
  // `epoch`: of the session in which the planner answered.
  virtual void on_answer(int planner, std::uint64_t epoch, const wire::tier::Answer& answer) = 0;
};

// Maintains the links to the planners of the endpoint list. add() assigns the positions of planners, which
// never change.
class PlannerClient : private net::ConnectionOwner {
 public:
  // The properties of this forwarder that it sends to its planners.
  struct Self {
    std::string name;
    std::uint64_t epoch = 0;          // of this process
    std::vector<std::string> routes;  // their names; a submit contains the position
    // Local address of the links, without a port; empty: chosen by the system.
    std::string local_address = {};
  };
  // `output_bytes`: limit for all links together of the bytes that wait to be sent.
  PlannerClient(net::Reactor& reactor, Self self, std::size_t output_bytes, PlannerEvents& events,
                Counters& counters, Logger& log);
  ~PlannerClient() override;
  PlannerClient(const PlannerClient&) = delete;
  PlannerClient& operator=(const PlannerClient&) = delete;

  // Adds a planner at the next position and connects. Throws std::runtime_error if the address is not valid.
  void add(const std::string& address);
  // The planner is no longer listed: close_if_draining() will close its link.
  void remove(int planner);
  // The planner is listed again: connects if there is no connection.
  void restore(int planner);
  // Sends an attempt to a planner whose link is up. If its frame has not been written when the link ends,
  // on_link_lost() reports it.
  void submit(int planner, const wire::tier::Submit& submit);
  // Notifies the planner that the caller of the attempt has disconnected; does nothing without a link.
  void cancel(int planner, std::uint64_t attempt);
  // Asks for proof that the attempt never ran and never will; does nothing without a link.
  void fence(int planner, std::uint64_t attempt);
  // To be called if no attempt is open at the planner: closes the link if the planner drains or is not
  // listed.
  void close_if_draining(int planner);
  // Number of planners whose link is up.
  [[nodiscard]] std::size_t linked_planners() const;

 private:
  struct UnprovenSubmit {
    std::uint64_t end = 0;  // end of its frame, in bytes sent on the connection
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
    double backoff = 0;                           // s before the next connection attempt
    std::uint64_t sent_bytes = 0;                 // passed to this connection
    std::deque<UnprovenSubmit> unproven_submits;  // that may not be written completely, the oldest first
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
  // Returns whether the connection accepted the message.
  bool send(Link& link, const wire::tier::Message& message);
  [[nodiscard]] static bool has_timed_out(const Link& link, double now);
  void read_late_links(double now);
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
