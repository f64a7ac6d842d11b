// How fronts share one backend's connections and its time for reading. Pure policy.
//
// Connections: each listener has a floor that is kept for it, whoever comes first; what lies above all floors
// goes to whoever asks. So one listener never fills the table of another, and an idle listener costs only its
// floor. Reading: while more than one listener has something to read, each gets its share of messages in a
// period of a few milliseconds; a listener alone is never held back. So a flood on one protocol does not make
// what comes on the other late before anybody could weigh it: what a request is worth is then decided by the
// module, whatever its protocol. After max-min fairness with guarantees (Bertsekas and Gallager, 6.5.2).
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::conns {

struct ConnectionQuotaOptions {
  double period_seconds = 0.01;  // s
  int messages_per_period =
      64;  // that all fronts together may read in a period once more than one of them reads
};

class ConnectionQuota {
 public:
  // `total`: connections in all; `floors`: each listener's share of them, together at most 1.
  ConnectionQuota(std::size_t total, const std::vector<double>& floors, ConnectionQuotaOptions options = {});

  // ---- Connections.
  bool has_capacity(std::size_t listener) const;
  void on_opened(std::size_t listener) { ++listeners_[listener].open; }
  void on_closed(std::size_t listener);
  std::size_t open_count(std::size_t listener) const { return listeners_[listener].open; }
  std::size_t guaranteed(std::size_t listener) const { return listeners_[listener].guaranteed; }
  std::size_t total() const { return total_; }
  // So many from now on, the floors' shares as they were; what is open beyond it stays until it ends.
  void resize(std::size_t total);

  // ---- Reading. One message is about to be read; false: not before next_period_at().
  bool try_read(std::size_t listener, double now);
  double next_period_at() const { return period_start_ + options_.period_seconds; }

 private:
  struct Listener {
    std::size_t guaranteed = 0, open = 0;
    double weight = 1;
    int messages_read = 0;    // in this period
    bool was_active = false;  // it read something in the period before
  };
  void start_period_if_due(double now);

  std::size_t total_ = 0;
  const ConnectionQuotaOptions options_;
  std::vector<Listener> listeners_;
  double period_start_ = -1;
};

}  // namespace damsonspoke::conns
