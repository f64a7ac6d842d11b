// A scripted planner: it speaks the protocol between the tiers and is sound, or wrong in one way. What it
// runs goes to the journal.
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

// How a planner behaves.
enum class PlannerMode {
  kCorrect,
  kSilent,         // takes requests, answers pings, says nothing of requests, not even in answer to a fence
  kRejectsAll,     // rejects everything
  kPartialAnswer,  // sends the first half of its first answer and then nothing, ever
  kFalseProofs,    // says that a fenced attempt never ran, and answers it all the same
  kForgedAnswers   // answers attempts that it was never given, those on their way to it too, then what it was
};

// A planner on a loopback socket, from its construction on; `loop` and `journal` outlive it.
class Planner {
 public:
  struct Options {
    PlannerMode mode = PlannerMode::kCorrect;
    double run_seconds = 0.005;  // s a request
    std::uint32_t window = 64;
    double slow_start_budget =
        0;  // attempts: its budget while it warms up, shared out; 0: warm, everybody has the window
  };
  Planner(Loop& loop, Journal& journal, Options options, std::uint16_t port = 0);
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;
  ~Planner();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Attempts and fences that it got so far.
  std::uint64_t attempts_received() const { return attempts_received_; }
  std::uint64_t fences_received() const { return fences_received_; }
  // Forwarders that are linked now.
  std::size_t connected_forwarders() const { return links_.size(); }
  // The most attempts that were open here at once, over all forwarders.
  std::size_t max_in_flight() const { return max_in_flight_; }
  // The fewest attempts that any of the linked forwarders has sent.
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
    std::uint64_t serial = 0;           // a descriptor may come again
    bool is_cut_short = false;          // half an answer was sent on it, and nothing follows
    std::uint64_t last_attempt = 0;     // that came
    std::vector<std::string> routes;    // as its hello names them
    std::uint64_t sent = 0;             // attempts that came
    std::size_t in_flight = 0;          // of them without an answer
    std::uint32_t announced_share = 0;  // that the forwarder was told of
  };
  // Tells forwarders of their shares, as a planner does while it warms up, and goes on with that.
  void announce_shares();
  // Attempts of all forwarders.
  std::size_t count_in_flight() const;

  tier::SlowStartShares shares_;
  std::size_t max_in_flight_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // timers may outlive this
  Loop& loop_;
  Journal& journal_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, Link> links_;
  std::uint64_t epoch_, next_serial_ = 1, attempts_received_ = 0, fences_received_ = 0, result_count_ = 0;
};

}  // namespace damsonspoke::standins
