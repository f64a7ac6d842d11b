// The results store as the reactor sees it. Writes go through a bounded queue to a thread that owns the
// database; writes that wait together become one transaction. Nothing here waits for a disk.
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

// Called on the reactor's thread.
class StoreEvents {
 public:
  StoreEvents() = default;
  virtual ~StoreEvents() = default;
  StoreEvents(const StoreEvents&) = delete;
  StoreEvents& operator=(const StoreEvents&) = delete;

  // When the store is opened first: the seed of its keys, then its rows in batches, then kHealthy.
  virtual void on_key_seed(std::uint64_t seed, bool is_new) = 0;
  virtual void on_entries_recovered(const std::vector<Row>& rows) = 0;
  // `error`: the error in one line; empty where there is none.
  virtual void on_store_state_changed(StoreState state, const std::string& error) = 0;
  // Keys that an operator wants dropped.
  virtual void on_drop_requests(const std::vector<Key>& keys) = 0;
};

class Store {
 public:
  struct Options {
    std::string path;
    bool sync_commits = false;            // see Database::Options
    std::uint64_t max_file_bytes = 0;     // see Database::Options
    std::size_t max_queued_jobs = 0;      // more intents and fetches are refused
    std::function<void()> before_commit;  // on the thread, for tests that make the disk slow
  };
  using WriteCallback = std::function<void(bool is_durable)>;
  using FetchCallback = std::function<void(const std::optional<Row>& row)>;

  // Callbacks and events come on the reactor's thread, on a later turn, in the order of the requests; none
  // come after the destructor.
  Store(net::Reactor& reactor, Options options, StoreEvents& events);
  // Gives queued writes a short time; a thread that hangs on its disk is detached.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // False, and nothing is written, where the store does not accept intents now.
  [[nodiscard]] bool write_intent(Row row, WriteCallback on_written);
  // Always accepted: there is at most one for each intent.
  void write_result(const Key& key, std::string result, WriteCallback on_written);
  void erase(std::vector<Key> keys);
  // False where the queue is full. The row is missing where it is not stored or can't be read.
  [[nodiscard]] bool fetch(const Key& key, FetchCallback on_fetched);

  [[nodiscard]] bool accepts_intents(double now) const {
    return health_.accepts_intents(now) && pending_jobs() < options_.max_queued_jobs;
  }
  // Whether the queue has capacity for work that can wait.
  [[nodiscard]] bool has_spare_capacity() const { return pending_jobs() < options_.max_queued_jobs / 2 + 1; }
  // Seconds until a request that was rejected for the store may come back.
  double retry_after(double now) const { return health_.retry_after(now); }
  StoreState state() const { return health_.state(); }
  // Queued and in progress.
  std::size_t pending_jobs() const;
  // The longest transaction so far.
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
  StoreHealth health_;  // as the reactor's thread knows it
  std::shared_ptr<Worker> worker_;
  std::thread thread_;
};

}  // namespace damsonspoke::results
