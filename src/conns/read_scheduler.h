// Decides which of the connections whose next message is held back may read it first.
//
// Start-time fair queueing (Goyal, Vin and Cheng, IEEE/ACM Transactions on Networking 5(5), 1997) with a cost
// of one message divided by its weight: each connection gets its share of the messages that are read, however
// many it has sent, and messages of greater weight are read first. A connection with a single message
// waits for at most about one message of each other connection, so none starves.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace damsonspoke::conns {

// Connections are identified by tags. Holds one entry for each connection that has waited and is still open.
class ReadScheduler {
 public:
  // The smallest weight that counts: bounds the wait behind messages of greater weight.
  static constexpr double kMinWeight = 0.125;

  // The next message of the connection waits; no effect if it waits already. `weight`: of the message,
  // relative to the greatest one: values are limited to the range from kMinWeight to 1.
  // `now`: monotonic seconds.
  void add(std::uint64_t tag, double weight, double now);
  // The connection that may read its message now, which no longer waits; none waits: nullopt.
  std::optional<std::uint64_t> take_next();
  // The same for the connection that has waited for longest.
  std::optional<std::uint64_t> take_oldest();
  // Since when the oldest one waits; none waits: nullopt.
  [[nodiscard]] std::optional<double> oldest_since() const;
  // Forgets a connection that has closed.
  void remove(std::uint64_t tag);

  [[nodiscard]] bool empty() const { return queue_.empty(); }

 private:
  // Start tag, the negated weight, order of arrival, connection.
  using Position = std::tuple<double, double, std::uint64_t, std::uint64_t>;
  struct Flow {
    double finish = 0;  // finish tag of its latest message, in virtual time
    std::optional<Position> position;
  };

  struct Waiting {
    std::uint64_t tag = 0;
    double since = 0;
  };

  void take(std::uint64_t tag);

  std::unordered_map<std::uint64_t, Flow> flows_;
  std::set<Position> queue_;
  std::map<std::uint64_t, Waiting> by_arrival_;  // the connections of the queue
  double virtual_time_ = 0;                      // start tag of the message that was taken last
  std::uint64_t last_arrival_ = 0;
};

}  // namespace damsonspoke::conns
