// A planner that keeps to a script: it speaks the protocol between the tiers and is sound, or wrong in one
// way. What it runs goes to the journal.
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

enum class PlannerManner {
  kSound,
  kMute,        // takes requests, answers pings, says nothing of requests, not even to a fence
  kRejections,  // refuses everything
  kHalf,        // sends the first half of its first answer and then nothing, ever
  kLies,        // says that a fenced attempt never ran, and acks it all the same
  kStranger     // answers attempts that it was never given, those on their way to it too, then what it was
};

class Planner {
 public:
  struct Options {
    PlannerManner manner = PlannerManner::kSound;
    double takes = 0.005;  // s a request
    std::uint32_t window = 64;
    double cold = 0;  // attempts: its budget, handed out in parts; 0: warm, everybody has the window
  };
  Planner(Loop& loop, Journal& journal, Options options, std::uint16_t port = 0);
  ~Planner();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::uint64_t taken() const { return taken_; }
  std::uint64_t fences() const { return fences_; }
  std::size_t linked() const { return links_.size(); }
  // Cold: attempts open here at once, over all forwarders, at most; and the fewest that any linked one sent.
  std::size_t most_open() const { return most_open_; }
  std::uint64_t fewest_sent() const;
  Options options;

 private:
  void accept();
  void read(int fd);
  void take(int fd, const wire::tier::Message& message);
  void submit(int fd, const wire::tier::Submit& request);
  void guess(int fd, std::uint64_t serial, std::uint64_t last);
  void answer(int fd, std::uint64_t serial, std::uint64_t attempt, wire::tier::Result result,
              const std::string& body);
  void put(int fd, const wire::tier::Message& message) { loop_.send(fd, wire::tier::encode(message)); }

  struct Link {
    std::string in;
    std::uint64_t serial = 0;  // a descriptor may come again
    bool halved = false;
    std::uint64_t last = 0;          // attempt that it was given
    std::vector<std::string> types;  // as its hello names them
    std::uint64_t sent = 0;          // attempts that it was given
    std::size_t open = 0;            // and has not answered
    std::uint32_t told = 0;          // the part that it was told of
  };
  void hand_out();
  std::size_t open() const;
  tier::SlowStartShares parts_;
  std::size_t most_open_ = 0;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // timers may outlive this
  Loop& loop_;
  Journal& journal_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::map<int, Link> links_;
  std::uint64_t epoch_, next_serial_ = 1, taken_ = 0, fences_ = 0, made_ = 0;
};

}  // namespace damsonspoke::standins
