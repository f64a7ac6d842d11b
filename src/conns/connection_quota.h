// Divides the connections and the reading time of one server among its listeners.
//
// Connections: each listener is guaranteed a minimum number; the remaining ones are first come, first served.
// So no listener can use up the minimum of another, and an idle listener reserves no more than its guaranteed
// minimum. Reading: while more than one listener has messages to read, each may read its share of the
// messages of a period; a listener alone is not limited. Messages beyond that are held back for later
// periods. So a flood on one protocol does not delay requests of the other one before they reach the
// admission controller. This is max-min fairness with guarantees: Bertsekas and Gallager, Data
// Networks, 6.5.2.
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::conns {

struct ConnectionQuotaOptions {
  double period_seconds = 0.01;
  int messages_per_period = 64;  // of all listeners together, while more than one reads
};

// Listeners are numbered from 0. Invariant: the guaranteed minima add up to at most total().
class ConnectionQuota {
 public:
  // `total`: connections of all listeners; `shares`: the guaranteed share of each listener, together at
  // most 1.
  ConnectionQuota(std::size_t total, const std::vector<double>& shares, ConnectionQuotaOptions options = {});

  // Whether the listener may open another connection: one within its guaranteed minimum, or one that is not
  // needed for the minimum of another listener.
  [[nodiscard]] bool has_capacity(std::size_t listener) const;
  void on_opened(std::size_t listener) { ++listeners_[listener].open; }
  void on_closed(std::size_t listener);
  [[nodiscard]] std::size_t open_count(std::size_t listener) const { return listeners_[listener].open; }
  [[nodiscard]] std::size_t guaranteed(std::size_t listener) const { return listeners_[listener].guaranteed; }
  [[nodiscard]] std::size_t total() const { return total_; }
  // Changes the total and keeps the shares. Connections that exceed the new total are not closed.
  void resize(std::size_t total);

  // Takes the right to read one message from the period's budget; false: the listener has used up its share
  // until next_period_at(), and the message is to be held back. `now`: monotonic seconds.
  [[nodiscard]] bool try_read(std::size_t listener, double now);
  // The listener's share of a period's messages while all listeners read; at least 1.
  [[nodiscard]] int guaranteed_messages(std::size_t listener) const;
  [[nodiscard]] double next_period_at() const { return period_start_ + options_.period_seconds; }

 private:
  struct Listener {
    std::size_t guaranteed = 0;
    std::size_t open = 0;
    double share = 1;
    int messages_read = 0;    // in this period
    bool was_active = false;  // read in the previous period
  };
  void start_period_if_over(double now);

  std::size_t total_ = 0;
  const ConnectionQuotaOptions options_;
  std::vector<Listener> listeners_;
  double period_start_ = -1;  // < 0: nothing was read yet
};

}  // namespace damsonspoke::conns
