// The store as the reactor sees it: what is to be written goes through a bounded queue to a thread that has
// the database; writes that wait together are one transaction. Nothing here waits for a disk.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/reactor.h"
#include "results/database.h"
#include "results/health.h"

namespace damsonspoke::results {

class StoreEvents {
 public:
  virtual ~StoreEvents() = default;
  // What earlier lives wrote, in pieces; then that it is open. After trouble it may be opened again.
  virtual void on_key_seed(std::uint64_t seed, bool is_new) = 0;
  virtual void on_entries_recovered(const std::vector<Row>& rows) = 0;
  virtual void on_store_state_changed(StoreState state, const std::string& why) = 0;
  // Keys that an operator wants forgotten.
  virtual void on_drop_requests(const std::vector<Key>& keys) = 0;
};

class Store {
 public:
  struct Options {
    std::string path;
    bool sync_commits = false;
    std::uint64_t max_file_bytes = 0;
    std::size_t max_queued_jobs = 0;      // writes
    std::function<void()> before_commit;  // on the thread; tests make the disk slow with it
  };
  using Done = std::function<void(bool durable)>;
  using Fetched = std::function<void(const std::optional<Row>& row)>;

  // Callbacks come on the reactor's thread, on a later turn, in the order of what was asked. After the
  // destructor none come.
  Store(net::Reactor& reactor, Options options, StoreEvents& events);
  // Gives what waits a short time to be written.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // False at once, and nothing is written, where the store is in trouble or too much waits.
  bool write_intent(Row row, Done done);
  // Always taken: there are no more of them than intents. Done(false) where it could not be written.
  void write_result(const Key& key, std::string result, Done done);
  void erase(std::vector<Key> keys);
  bool fetch(const Key& key, Fetched fetched);

  bool accepts_intents(double now) const {
    return health_.accepts_intents(now) && pending_jobs() < options_.max_queued_jobs;
  }
  bool has_spare_capacity() const {
    return pending_jobs() < options_.max_queued_jobs / 2 + 1;
  }  // for what can wait
  double retry_after(double now) const { return health_.retry_after(now); }
  StoreState state() const { return health_.state(); }
  std::size_t pending_jobs() const;   // jobs
  double max_commit_seconds() const;  // s so far

 private:
  struct Job;
  struct Shared;
  void put(Job job);
  void report(StoreState before, const std::string& why);

  net::Reactor& reactor_;
  const Options options_;
  StoreEvents& events_;
  StoreHealth health_;  // of the reactor's thread
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::results
