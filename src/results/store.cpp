#include "results/store.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <mutex>
#include <span>
#include <utility>

#include "store/worker_thread.h"

namespace damsonspoke::results {
namespace {

constexpr std::size_t kMaxJobsPerTransaction = 64;   // bounds how long a transaction delays its first write
constexpr std::size_t kRecoveredRowsPerEvent = 256;  // bounds the duration of an event-loop iteration
constexpr std::chrono::milliseconds kPollInterval{250};
constexpr int kPollsPerDropCheck = 4;
constexpr std::chrono::milliseconds kStopTimeout{400};

}  // namespace

struct Store::Job {
  enum class Kind : std::uint8_t { kIntent, kResult, kErase, kFetch };

  Kind kind = Kind::kIntent;
  Row row;
  std::vector<Key> keys;  // of kErase
  WriteCallback on_written;
  FetchCallback on_fetched;
  // Set by the worker thread.
  bool is_done = false;
  std::optional<Row> fetched;
};

// The state of the worker thread, which is owned jointly with the store. The thread may outlive the store if
// a disk operation hangs; it then makes no more callbacks.
struct Store::Worker : store::WorkerThreadState, std::enable_shared_from_this<Store::Worker> {
  Worker(Store& owner, net::Reactor& events_reactor, Options store_options)
      : store(&owner), reactor(&events_reactor), options(std::move(store_options)) {}

  // ---- Guarded by the mutex.
  Store* store;  // null once it has been destroyed
  net::Reactor* const reactor;
  std::deque<Job> jobs;
  std::size_t jobs_in_progress = 0;
  double max_commit_seconds = 0;

  // ---- Used by the worker thread only.
  const Options options;
  std::unique_ptr<StoreLock> file_lock;
  std::unique_ptr<Database> database;
  StoreHealth health;
  int polls = 0;
  bool has_reported_rows = false;  // the rows are reported only when this process opens the store first

  void run();
  void finish();

 private:
  void post_to_store(std::function<void(Store&)> action);
  void open();
  void open_database();
  void report_rows();
  void on_fault(const DatabaseError& error);
  std::vector<Job> take_jobs();
  void execute(std::vector<Job>& group);
  bool commit(std::span<Job> group);
  void execute(Job& job);
  void report_intent_written();
  void report_done(std::vector<Job> group);
  void poll_drop_requests();
};

// Runs the action on the reactor's thread, unless the store has been destroyed by then.
void Store::Worker::post_to_store(std::function<void(Store&)> action) {
  const std::lock_guard guard(mutex);
  if (store == nullptr) return;
  reactor->post_from_other_thread([self = shared_from_this(), action = std::move(action)] {
    Store* target = nullptr;
    {
      const std::lock_guard inner(self->mutex);
      target = self->store;
    }
    if (target != nullptr) action(*target);
  });
}

// ---- Opening and faults.

void Store::Worker::open() {
  try {
    open_database();
    if (!has_reported_rows) report_rows();
    has_reported_rows = true;
    health.on_opened();
    post_to_store([](Store& target) { target.on_opened(); });
  } catch (const DatabaseError& error) {
    // kFull implies that the store is open. If the disk is too full to open it, it counts as unavailable.
    const bool is_full = error.fault == DatabaseFault::kFull;
    on_fault(is_full ? DatabaseError(DatabaseFault::kUnavailable, error.what()) : error);
  }
}

void Store::Worker::open_database() {
  file_lock = std::make_unique<StoreLock>(options.path);
  Database::Options database_options;
  database_options.sync_commits = options.sync_commits;
  database_options.max_file_bytes = options.max_file_bytes;
  database = std::make_unique<Database>(options.path, database_options);
}

void Store::Worker::report_rows() {
  post_to_store([seed = database->seed(), is_new = database->is_new()](Store& target) {
    target.events_.on_key_seed(seed, is_new);
  });
  std::vector<Row> batch;
  const auto post_batch = [&] {
    post_to_store(
        [rows = std::exchange(batch, {})](Store& target) { target.events_.on_entries_recovered(rows); });
  };
  database->for_each([&](const Row& row) {
    batch.push_back(row);
    if (batch.size() >= kRecoveredRowsPerEvent) post_batch();
  });
  if (!batch.empty()) post_batch();
}

void Store::Worker::on_fault(const DatabaseError& error) {
  health.on_fault(net::monotonic_now(), error.fault);
  if (health.state() == StoreState::kUnavailable || health.state() == StoreState::kDisabled) {
    database.reset();
    file_lock.reset();
  }
  post_to_store([fault = error.fault, text = std::string(error.what())](Store& target) {
    target.on_fault(fault, text);
  });
}

// ---- Jobs.

std::vector<Store::Job> Store::Worker::take_jobs() {
  std::vector<Job> group;
  while (!jobs.empty() && group.size() < kMaxJobsPerTransaction) {
    group.push_back(std::move(jobs.front()));
    jobs.pop_front();
  }
  jobs_in_progress = group.size();
  return group;
}

void Store::Worker::execute(Job& job) {
  switch (job.kind) {
    case Job::Kind::kIntent:
      database->put_intent(job.row);
      job.is_done = true;
      break;
    case Job::Kind::kResult: job.is_done = database->put_result(job.row.key, job.row.result); break;
    case Job::Kind::kErase:
      for (const Key& key : job.keys) database->erase(key);
      job.is_done = true;
      break;
    case Job::Kind::kFetch: job.fetched = database->fetch(job.row.key); break;
  }
}

// Executes all jobs in one transaction. Returns false if that failed; then none of the jobs is done.
bool Store::Worker::commit(std::span<Job> group) {
  try {
    database->begin();
    for (Job& job : group) execute(job);
    if (options.before_commit) options.before_commit();
    database->commit();
    return true;
  } catch (const DatabaseError& error) {
    database->rollback();
    for (Job& job : group) {
      job.is_done = false;
      job.fetched.reset();
    }
    if (group.size() == 1) on_fault(error);
    return false;
  }
}

// Executes all jobs in one transaction. If that fails, uses one transaction for each job, so that a failing
// job does not prevent the others from being written.
void Store::Worker::execute(std::vector<Job>& group) {
  if (!database) return;
  const double began = net::monotonic_now();
  if (!commit(group) && group.size() > 1) {
    for (std::size_t i = 0; i < group.size() && database; ++i) commit(std::span(group).subspan(i, 1));
  }
  const double seconds = net::monotonic_now() - began;
  {
    const std::lock_guard guard(mutex);
    max_commit_seconds = std::max(max_commit_seconds, seconds);
  }
  const bool has_written_intent = std::any_of(group.begin(), group.end(), [](const Job& job) {
    return job.kind == Job::Kind::kIntent && job.is_done;
  });
  if (has_written_intent) report_intent_written();
}

void Store::Worker::report_intent_written() {
  const StoreState before = health.state();
  health.on_intent_written();
  if (health.state() == before) return;
  post_to_store([](Store& target) { target.on_intent_written(); });
}

void Store::Worker::report_done(std::vector<Job> group) {
  post_to_store([done = std::make_shared<std::vector<Job>>(std::move(group))](Store&) {
    for (const Job& job : *done) {
      if (job.on_written) job.on_written(job.is_done);
      if (job.on_fetched) job.on_fetched(job.fetched);
    }
  });
}

void Store::Worker::poll_drop_requests() {
  if (!database || ++polls % kPollsPerDropCheck != 0) return;
  try {
    std::vector<Key> keys = database->take_drop_requests();
    database->checkpoint();
    if (keys.empty()) return;
    post_to_store([keys = std::move(keys)](Store& target) { target.events_.on_drop_requests(keys); });
  } catch (const DatabaseError& error) {
    on_fault(error);
  }
}

void Store::Worker::run() {
  open();
  std::unique_lock guard(mutex);
  for (;;) {
    const bool was_notified =
        changed.wait_for(guard, kPollInterval, [this] { return closing || !jobs.empty(); });
    if (closing && jobs.empty()) break;
    std::vector<Job> group = take_jobs();
    guard.unlock();
    if (!database && health.should_open(net::monotonic_now())) open();
    if (!group.empty()) {
      execute(group);
      report_done(std::move(group));
    }
    if (!was_notified) poll_drop_requests();
    guard.lock();
    jobs_in_progress = 0;
  }
  guard.unlock();
  database.reset();
  file_lock.reset();
}

void Store::Worker::finish() {
  const std::lock_guard guard(mutex);
  ended = true;
  changed.notify_all();
}

// ---- Called on the reactor's thread.

Store::Store(net::Reactor& reactor, Options options, StoreEvents& events)
    : options_(std::move(options)),
      events_(events),
      worker_(std::make_shared<Worker>(*this, reactor, options_)) {
  thread_ = std::thread([worker = worker_] {
    try {
      worker->run();
    } catch (const std::exception& error) {  // such as std::bad_alloc; pending requests time out
      std::fprintf(stderr, "damsonspoke: results store: worker thread failed: %s\n", error.what());
    }
    worker->finish();
  });
}

Store::~Store() {
  {
    const std::lock_guard guard(worker_->mutex);
    worker_->store = nullptr;
  }
  store::stop_worker_thread(*worker_, thread_, kStopTimeout);
}

void Store::enqueue(Job job) {
  const std::lock_guard guard(worker_->mutex);
  worker_->jobs.push_back(std::move(job));
  worker_->changed.notify_one();
}

bool Store::write_intent(Row row, WriteCallback on_written) {
  if (!accepts_intents(net::monotonic_now())) return false;
  Job job;
  job.row = std::move(row);
  job.on_written = std::move(on_written);
  enqueue(std::move(job));
  return true;
}

void Store::write_result(const Key& key, std::string result, WriteCallback on_written) {
  Job job;
  job.kind = Job::Kind::kResult;
  job.row.key = key;
  job.row.result = std::move(result);
  job.on_written = std::move(on_written);
  enqueue(std::move(job));
}

void Store::erase(std::vector<Key> keys) {
  if (keys.empty()) return;
  Job job;
  job.kind = Job::Kind::kErase;
  job.keys = std::move(keys);
  enqueue(std::move(job));
}

bool Store::fetch(const Key& key, FetchCallback on_fetched) {
  if (pending_jobs() >= options_.max_queued_jobs) return false;
  Job job;
  job.kind = Job::Kind::kFetch;
  job.row.key = key;
  job.on_fetched = std::move(on_fetched);
  enqueue(std::move(job));
  return true;
}

void Store::on_opened() {
  const StoreState before = health_.state();
  health_.on_opened();
  report_change(before, "");
}

void Store::on_intent_written() {
  const StoreState before = health_.state();
  health_.on_intent_written();
  report_change(before, "");
}

void Store::on_fault(DatabaseFault fault, const std::string& error) {
  const StoreState before = health_.state();
  health_.on_fault(net::monotonic_now(), fault);
  report_change(before, error);
}

void Store::report_change(StoreState before, const std::string& error) {
  if (before != health_.state()) events_.on_store_state_changed(health_.state(), error);
}

std::size_t Store::pending_jobs() const {
  const std::lock_guard guard(worker_->mutex);
  return worker_->jobs.size() + worker_->jobs_in_progress;
}

double Store::max_commit_seconds() const {
  const std::lock_guard guard(worker_->mutex);
  return worker_->max_commit_seconds;
}

}  // namespace damsonspoke::results
