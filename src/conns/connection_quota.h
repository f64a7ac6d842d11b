// How fronts share one backend's connections and its time for reading. Pure policy.
//
// Connections: each front has a floor that is kept for it, whoever comes first; what lies above all floors
// goes to whoever asks. So one front never fills the table of another, and an idle front costs only its
// floor. Reading: while more than one front has something to read, each gets its share of messages in a
// period of a few milliseconds; a front alone is never held back. So a flood on one protocol does not make
// what comes on the other late before anybody could weigh it: what a request is worth is then decided by the
// module, whatever its protocol. After max-min fairness with guarantees (Bertsekas and Gallager, 6.5.2).
#pragma once

#include <cstddef>
#include <vector>

namespace damsonspoke::conns {

struct ConnectionQuotaOptions {
  double period = 0.01;  // s
  int messages = 64;     // that all fronts together may read in a period once more than one of them reads
};

class ConnectionQuota {
 public:
  // `total`: connections in all; `floors`: each front's share of them, together at most 1.
  ConnectionQuota(std::size_t total, const std::vector<double>& floors, ConnectionQuotaOptions terms = {});

  // ---- Connections.
  bool room(std::size_t front) const;
  void opened(std::size_t front) { ++fronts_[front].open; }
  void closed(std::size_t front);
  std::size_t open(std::size_t front) const { return fronts_[front].open; }
  std::size_t floor(std::size_t front) const { return fronts_[front].floor; }
  std::size_t total() const { return total_; }
  // So many from now on, the floors' shares as they were; what is open beyond it stays until it ends.
  void resize(std::size_t total);

  // ---- Reading. One message is about to be read; false: not before resume_at().
  bool may_read(std::size_t front, double now);
  double resume_at() const { return period_began_ + terms_.period; }

 private:
  struct Front {
    std::size_t floor = 0, open = 0;
    double weight = 1;
    int read = 0;         // in this period
    bool active = false;  // it read something in the period before
  };
  void turn(double now);

  std::size_t total_ = 0;
  const ConnectionQuotaOptions terms_;
  std::vector<Front> fronts_;
  double period_began_ = -1;
};

}  // namespace damsonspoke::conns
