// The link to the runtime, which does the work. It survives the loss of the link: a new one first hears what
// was missed, and only then sends again what may not have arrived, so that nothing runs twice.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "peers/ports.h"
#include "settings/settings.h"
#include "wire/runtime_lines.h"

namespace damsonspoke::peers {

class RuntimeClient : public RuntimePort, private net::ConnectionOwner {
 public:
  // Commands may wait in so many bytes of output; over that the link is opened anew.
  RuntimeClient(net::Reactor& reactor, const std::string& address, std::size_t output_bytes,
                std::vector<Gauge> gauges, RuntimeEvents& events, Counters& counters, Logger& log);
  ~RuntimeClient() override;

  // The runtime is reached elsewhere from now on: runs and the numbers of notices go on.
  void move_to(const std::string& address);

  void start(RequestId id, std::string_view type, std::string_view body) override;
  void stop(RequestId id) override;
  void resume(RequestId id) override;
  void give(RequestId id, std::string_view reply) override;
  void omit(RequestId id, std::uint64_t notice) override;
  void forget(RequestId id) override { unproven_.erase(id); }
  void self_test(std::uint64_t tag) override;
  void ask_gauges() override;
  Gauges gauges(double now) const override;

 private:
  // A command that may not have arrived: kept until a later answer, or a notice about its request, shows that
  // it has.
  struct Unproven {
    std::uint64_t number = 0;  // 0: none
    int sends = 0;             // so far, on this link or another
    double sent_at = 0;        // last
    std::string text;
    bool begins = false;  // a start: before it is sent nothing runs
  };
  struct UnprovenOf {
    Unproven work;  // start, resume, give, omit: a run takes one at a time
    Unproven stop;
  };

  void on_connected(net::Connection& connection) override;
  std::size_t on_input(net::Connection& connection, std::string_view bytes) override;
  void on_end_of_input(net::Connection& connection) override;
  void on_end(net::Connection& connection, net::End why) override;

  void connect();
  void take(const wire::Notice& notice);
  bool is_new(std::uint64_t number);
  void take_ready(const wire::Notice& notice);
  void begins_anew();
  void take_gauges(const wire::Notice& notice);
  void take_rejection(const wire::Notice& notice);
  void caught_up();
  void command(Unproven& slot, std::string text, bool begins = false);
  void send(std::string_view text);
  void send(Unproven& one);
  void look_for_silence();

  net::Reactor& reactor_;
  std::string address_;
  std::size_t output_bytes_;
  std::vector<Gauge> order_;
  RuntimeEvents& events_;
  Counters& counters_;
  Logger& log_;
  std::shared_ptr<net::Connection> link_;
  std::shared_ptr<net::Connection> coming_;  // takes the place of link_ once it is made
  bool greeted_ = false;                     // the runtime has said on this link that it is up
  bool synced_ = false;                      // what was missed has been read on this link
  bool ready_ = false;                       // the runtime has come up
  double ready_at_ = 0;                      // and when we first heard of it
  std::uint64_t last_notice_ = 0;
  std::uint64_t gap_at_ = 0;    // the missing notice for which the link was opened anew
  double broke_at_ = -1e9;      // when the last link ended
  std::uint64_t commands_ = 0;  // sent so far, by number
  std::uint64_t proven_ = 0;    // all up to this one have arrived
  std::unordered_map<RequestId, UnprovenOf> unproven_;
  std::uint64_t tag_ = 0;           // of the gauges asked for
  std::uint64_t tag_commands_ = 0;  // commands sent before that
  double asked_at_ = -1;            // < 0: not waiting for gauges
  Gauges gauges_;
  double gauges_at_ = -1e9;
  double heard_at_ = 0;
  net::Reactor::TimerId connect_timer_, silence_timer_;
};

}  // namespace damsonspoke::peers
