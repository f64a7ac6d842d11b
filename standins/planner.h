// A scripted planner that speaks the tier protocol, either correctly or with one fault. Its runs are recorded
// in the journal.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "journal.h"
#include "loop.h"
#include "tier/slow_start_shares.h"
#include "wire/tier.h"

namespace damsonspoke::standins {

// The behavior of a planner: correct, or the fault that it shows.
enum class PlannerMode {
  kCorrect,
  kSilent,         // takes requests and answers pings, but answers neither requests nor fences
  kRejectsAll,     // rejects every request
  kPartialAnswer,  // sends the first half of its first answer, then nothing more
  kFalseProofs,    // reports that a fenced attempt never ran, then answers it with a success
  kForgedAnswers   // answers attempts that it has not received, some of them in transit, then the received
                   // ones
};

// Listens on a loopback port from its construction on; `loop` and `journal` outlive this.
class Planner {
 public:
  struct Options {
    PlannerMode mode = PlannerMode::kCorrect;
    double run_seconds = 0.005;  // s per request
    std::uint32_t window = 64;
    double slow_start_budget = 0;  // attempts in flight that forwarders share during slow start; 0: no slow
                                   // start, each has the window
  };
  Planner(Loop& loop, Journal& journal, Options options, std::uint16_t port = 0);
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;
  ~Planner();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Attempts and fences received so far.
  std::uint64_t attempts_received() const { return attempts_received_; }
  std::uint64_t fences_received() const { return fences_received_; }
  // Forwarders that are connected now.
  std::size_t connected_forwarders() const { return links_.size(); }
  // The maximum number of attempts in flight at once, over all forwarders.
  std::size_t max_in_flight() const { return max_in_flight_; }
  // The minimum number of attempts that a connected forwarder has sent.
  std::uint64_t min_attempts_per_forwarder() const;

  Options options;  // may change at any time

 private:
  void accept();
  void read(int fd);
  void take(int fd, const wire::tier::Message& message);
  void answer_hello(int fd, const wire::tier::Hello& hello);
  void answer_fence(int fd, const wire::tier::Fence& fence);
  void submit(int fd, const wire::tier::Submit& request);
  void forge_answers(int fd, std::uint64_t serial, std::uint64_t last);
  void answer(int fd, std::uint64_t serial, std::uint64_t attempt, wire::tier::Result result,
              const std::string& body);
  void send_message(int fd, const wire::tier::Message& message) {
    loop_.send(fd, wire::tier::encode(message));
  }

  // A forwarder's link.
  struct Link {
    std::string in;
    std::uint64_t serial = 0;           // identifies a link, as descriptors are reused
    bool is_cut_short = false;          // half an answer was sent; nothing follows
    std::uint64_t last_attempt = 0;     // number of the last one received
    std::vector<std::string> routes;    // from its hello
    std::uint64_t sent = 0;             // attempts received
    std::size_t in_flight = 0;          // attempts without an answer
    std::uint32_t announced_share = 0;  // last one sent to the forwarder
  };
  // Announces their shares to the forwarders, as a planner does during slow start, periodically.
  void announce_shares();
  // Attempts in flight of all forwarders.
  std::size_t count_in_flight() const;

  tier::SlowStartShares shares_;
  std::size_t max_in_flight_ = 0;
  std::shared_ptr<bool> is_alive_ =
      std::make_shared<bool>(true);  // false after destruction, for timers that outlive this
  Loop& loop_;
  Journal& journal_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, Link> links_;
  std::uint64_t epoch_, next_serial_ = 1, attempts_received_ = 0, fences_received_ = 0, result_count_ = 0;
};

}  // namespace damsonspoke::standins
