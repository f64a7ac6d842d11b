// The interface of the reactor's thread to the results store. Writes go through a bounded queue to a worker
// thread that owns the database; queued writes are combined into one transaction. No call waits for a disk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net/reactor.h"
#include "results/database.h"
#include "results/health.h"

namespace damsonspoke::results {

// All functions are called on the reactor's thread.
class StoreEvents {
 public:
  StoreEvents() = default;
  virtual ~StoreEvents() = default;
  StoreEvents(const StoreEvents&) = delete;
  StoreEvents& operator=(const StoreEvents&) = delete;

  // After the store was opened for the first time: the seed of its keys, then its rows in batches, then the
  // state kHealthy.
  virtual void on_key_seed(std::uint64_t seed, bool is_new) = 0;
  virtual void on_entries_recovered(const std::vector<Row>& rows) = 0;
  // `error`: one line; empty if the change was not caused by an error.
  virtual void on_store_state_changed(StoreState state, const std::string& error) = 0;
  // An operator has requested to drop these keys.
  virtual void on_drop_requests(const std::vector<Key>& keys) = 0;
};

class Store {
 public:
  struct Options {
    std::string path;
    bool sync_commits = false;            // see Database::Options
    std::uint64_t max_file_bytes = 0;     // see Database::Options
    std::size_t max_queued_jobs = 0;      // beyond this, intents and fetches are rejected
    std::function<void()> before_commit;  // called on the worker thread; lets tests simulate a slow disk
  };
  using WriteCallback = std::function<void(bool is_durable)>;
  using FetchCallback = std::function<void(const std::optional<Row>& row)>;

  // Callbacks and events run on the reactor's thread in a later event-loop iteration, in the order of the
  // calls. None runs after the destructor.
  Store(net::Reactor& reactor, Options options, StoreEvents& events);
  // Waits for queued writes for a short time. Detaches a worker thread that hangs in a disk operation.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Returns false and writes nothing if the store does not accept intents now.
  [[nodiscard]] bool write_intent(Row row, WriteCallback on_written);
  // Results are always accepted, since there is at most one for each intent.
  void write_result(const Key& key, std::string result, WriteCallback on_written);
  void erase(std::vector<Key> keys);
  // Returns false if the queue is full. The callback gets nullopt if the row is not stored or cannot be read.
  [[nodiscard]] bool fetch(const Key& key, FetchCallback on_fetched);

  [[nodiscard]] bool accepts_intents(double now) const {
    return health_.accepts_intents(now) && pending_jobs() < options_.max_queued_jobs;
  }
  // Whether the queue has capacity for work that is not urgent.
  [[nodiscard]] bool has_spare_capacity() const { return pending_jobs() < options_.max_queued_jobs / 2 + 1; }
  // Seconds after which a request that was rejected because of the store may be retried.
  double retry_after(double now) const { return health_.retry_after(now); }
  StoreState state() const { return health_.state(); }
  // The number of jobs that are queued or in progress.
  std::size_t pending_jobs() const;
  // The duration of the longest transaction so far.
  double max_commit_seconds() const;

 private:
  struct Job;
  struct Worker;

  void enqueue(Job job);
  void on_opened();
  void on_intent_written();
  void on_fault(DatabaseFault fault, const std::string& error);
  void report_change(StoreState before, const std::string& error);

  const Options options_;
  StoreEvents& events_;
  StoreHealth health_;  // as last reported by the worker thread
  std::shared_ptr<Worker> worker_;
  std::thread thread_;
};

}  // namespace damsonspoke::results
