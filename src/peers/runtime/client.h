// The client of the runtime, which runs the requests. It survives the loss of its link: on a new link it
// first reads the notices that it missed, then sends the commands that the ledger selects. A start that may
// have been lost is not sent again where its run must not be repeated; the end of that run is awaited until
// the deadline of its request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "peers/runtime/command_ledger.h"
#include "peers/runtime/process_identity.h"
#include "settings/settings.h"
#include "wire/runtime_lines.h"

namespace damsonspoke::peers {

// One link to the runtime at a time; while it is replaced, a second one is being connected. Sends commands
// and reports the runtime's notices as events.
class RuntimeClient : public RuntimePort, private net::ConnectionOwner {
 public:
  // Connects at once. `output_bytes`: of pending commands; beyond them the link is closed and reconnected.
  // `gauges`: what the runtime's gauges are, in their order. Throws std::runtime_error where the address
  // can't be used.
  RuntimeClient(net::Reactor& reactor, const std::string& address, std::size_t output_bytes,
                std::vector<Gauge> gauges, RuntimeEvents& events, Counters& counters, Logger& log);
  ~RuntimeClient() override;
  RuntimeClient(const RuntimeClient&) = delete;
  RuntimeClient& operator=(const RuntimeClient&) = delete;

  // Connects to the runtime at another address; its runs and the numbering of its notices continue. Waits
  // first for the commands on the old link to be acknowledged.
  void move_to(const std::string& address);

  void start(const RunStart& run) override;
  void stop(RequestId id) override;
  void resume(RequestId id, double seconds_left) override;
  void send_reply(RequestId id, std::string_view reply, const RequestedCall& call) override;
  void skip_call(RequestId id, std::uint64_t notice) override;
  // Removes the commands of the run: none of them is sent again.
  void forget_run(RequestId id) override { ledger_.erase(id); }
  // Does nothing while the link is not synchronized.
  void self_test(std::uint64_t tag) override;
  // Does nothing while the runtime is not up on this link, or an earlier request is unanswered.
  void request_gauges() override;
  [[nodiscard]] Gauges gauges(double now) const override;

 private:
  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::CloseReason why) override;

  void connect();
  void on_link_lost(const net::Connection& link, bool by_peer);
  void open_next_link();
  void finish_move();
  void release_commands();
  void poll_for_greeting();
  void handle_notice(const wire::Notice& notice);
  void handle_run_end(const wire::Notice& notice);
  void handle_call_wanted(const wire::Notice& notice);
  void handle_ready(const wire::Notice& notice);
  void handle_gauges(const wire::Notice& notice);
  void handle_rejection(const wire::Notice& notice);
  [[nodiscard]] bool accept_number(std::uint64_t number, RequestId id);
  void store_gauges(const std::vector<double>& values, double now);
  void on_restart();
  void on_synchronized();
  void issue(CommandLedger::CommandKey key, RuntimeCommand command);
  void send_waiting_commands();
  void send(const CommandLedger::Outgoing& command);
  void write(std::string_view text);
  [[nodiscard]] bool takes_commands() const { return is_synchronized_ && !is_moving_; }
  void schedule_give_up();
  void give_up_due_requests();
  void check_silence();

  net::Reactor& reactor_;
  std::string address_;
  std::size_t output_bytes_;
  std::vector<Gauge> gauge_order_;
  RuntimeEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::shared_ptr<net::Connection> link_;
  std::shared_ptr<net::Connection> next_link_;  // replaces link_ once it is connected
  std::uint64_t stream_bytes_ = 0;              // written to link_ since it was connected
  bool is_runtime_up_ = false;                  // a `ready` was received on this link
  bool has_missed_notices_ = false;     // the response behind them was read; input behind it may be unread
  bool is_synchronized_ = false;        // the missed notices were read on this link
  bool is_moving_ = false;              // commands are held back for the link to another address
  bool has_connect_timed_out_ = false;  // the last attempt at this address
  bool was_ever_ready_ = false;         // on any link
  double link_known_alive_at_ = 0;      // when the latest answered request for gauges was sent
  double greeting_absent_until_ = 0;    // no `ready` had arrived on this link until then
  RuntimeProcessIdentity process_;
  std::uint64_t last_notice_ = 0;
  std::uint64_t synced_notice_ = 0;     // the last notice before this link
  std::uint64_t requested_notice_ = 0;  // the missing notice for which the link was reconnected
  CommandLedger ledger_;
  std::uint64_t gauges_tag_ = 0;          // of the latest request for gauges
  std::uint64_t sent_before_gauges_ = 0;  // the ledger's position at that request
  double gauges_requested_at_ = -1;       // < 0: not waiting for gauges
  Gauges gauges_;
  double gauges_at_ = -1e9;
  double last_input_at_ = 0;
  net::Reactor::TimerId connect_timer_;
  net::Reactor::TimerId greeting_timer_;
  net::Reactor::TimerId move_timer_;
  net::Reactor::TimerId give_up_timer_;
  net::Reactor::TimerId silence_timer_;
};

}  // namespace damsonspoke::peers
