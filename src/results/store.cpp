#include "results/store.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>

namespace damsonspoke::results {
namespace {

constexpr std::size_t kGroup = 64;   // jobs in one transaction: a few ms of work, or one sync
constexpr std::size_t kPiece = 256;  // recovered rows that are told at a time: under a millisecond
constexpr double kLook = 0.25;    // s; between looks at whether it is time to open, or what is to be dropped
constexpr int kLooksPerDrop = 4;  // and of these, one in so many asks the file for an operator's wishes
constexpr auto kLastWords = std::chrono::milliseconds(400);  // at the end, for what waits

}  // namespace

struct Store::Job {
  enum class What { kIntent, kResult, kErase, kFetch } what = What::kIntent;
  Row row;
  std::vector<Key> keys;
  Done done;
  Fetched fetched;
  // What became of it.
  bool good = false;
  std::optional<Row> found;
};

// What both threads hold. The thread may outlive the store when a disk hangs: then it talks to nobody any
// more.
struct Store::Shared {
  std::mutex lock;
  std::condition_variable changed;
  std::deque<Job> jobs;
  std::size_t in_hand = 0;
  bool closing = false;
  bool ended = false;
  Store* store = nullptr;  // none once it has gone
  net::Reactor* reactor = nullptr;
  Options options;
  double slowest = 0;

  // ---- Of the thread alone.
  std::unique_ptr<StoreLock> file_lock;
  std::unique_ptr<Database> database;
  StoreHealth health;
  int looks = 0;
  bool told_rows = false;  // a later opening in the same life has nothing new

  void tell(std::shared_ptr<Shared> self, std::function<void(Store&)> what) {
    const std::lock_guard guard(lock);
    if (store == nullptr) return;
    reactor->post_from_elsewhere([self = std::move(self), what = std::move(what)] {
      Store* there = nullptr;
      {
        const std::lock_guard inner(self->lock);
        there = self->store;
      }
      if (there != nullptr) what(*there);
    });
  }
  void run(const std::shared_ptr<Shared>& self);
  void open(const std::shared_ptr<Shared>& self);
  void trouble(const std::shared_ptr<Shared>& self, const DatabaseError& error);
  void work(const std::shared_ptr<Shared>& self, std::vector<Job>& group);
  void do_one(Job& job);
  void look_for_drops(const std::shared_ptr<Shared>& self);
};

void Store::Shared::do_one(Job& job) {
  switch (job.what) {
    case Job::What::kIntent:
      database->put_intent(job.row);
      job.good = true;
      break;
    case Job::What::kResult: job.good = database->put_result(job.row.key, job.row.result); break;
    case Job::What::kErase:
      for (const Key& key : job.keys) database->erase(key);
      job.good = true;
      break;
    case Job::What::kFetch: job.found = database->fetch(job.row.key); break;
  }
}

void Store::Shared::trouble(const std::shared_ptr<Shared>& self, const DatabaseError& error) {
  const double now = net::monotonic_now();
  health.on_fault(now, error.fault);
  if (health.state() == StoreState::kUnavailable || health.state() == StoreState::kDisabled) {
    database.reset();
    file_lock.reset();
  }
  tell(self, [fault = error.fault, why = std::string(error.what())](Store& store) {
    const StoreState before = store.health_.state();
    store.health_.on_fault(net::monotonic_now(), fault);
    store.report(before, why);
  });
}

void Store::Shared::open(const std::shared_ptr<Shared>& self) {
  try {
    file_lock = std::make_unique<StoreLock>(options.path);
    Database::Options how;
    how.sync_commits = options.sync_commits;
    how.max_file_bytes = options.max_file_bytes;
    database = std::make_unique<Database>(options.path, how);
    if (!told_rows) {
      tell(self, [seed = database->seed(), made = database->is_new()](Store& store) {
        store.events_.on_key_seed(seed, made);
      });
    }
    std::vector<Row> piece;
    const auto hand_over = [&] {
      tell(self, [rows = std::move(piece)](Store& store) { store.events_.on_entries_recovered(rows); });
      piece.clear();
    };
    if (!told_rows) {
      database->for_each([&](const Row& row) {
        piece.push_back(row);
        if (piece.size() >= kPiece) hand_over();
      });
      if (!piece.empty()) hand_over();
      told_rows = true;
    }
    health.on_opened();
    tell(self, [](Store& store) {
      const StoreState before = store.health_.state();
      store.health_.on_opened();
      store.report(before, "");
    });
  } catch (const DatabaseError& error) {
    // A disk with no room for opening it is away like any other: "full" means that it is open.
    const bool full = error.fault == DatabaseFault::kFull;
    trouble(self, full ? DatabaseError(DatabaseFault::kUnavailable, error.what()) : error);
  }
}

// One transaction for all; where that fails, one for each, so that what can be written is.
void Store::Shared::work(const std::shared_ptr<Shared>& self, std::vector<Job>& group) {
  if (!database) return;
  const auto attempt = [&](std::size_t first, std::size_t end) {
    try {
      database->begin();
      for (std::size_t i = first; i < end; ++i) do_one(group[i]);
      if (options.before_commit) options.before_commit();
      database->commit();
      return true;
    } catch (const DatabaseError& error) {
      if (database) database->rollback();
      for (std::size_t i = first; i < end; ++i) group[i].good = false, group[i].found.reset();
      if (end - first == 1) trouble(self, error);
      return false;
    }
  };
  const double begin = net::monotonic_now();
  bool wrote_intent = false;
  if (!attempt(0, group.size()) && group.size() > 1) {
    for (std::size_t i = 0; i < group.size() && database; ++i) attempt(i, i + 1);
  }
  for (const Job& job : group) wrote_intent = wrote_intent || (job.what == Job::What::kIntent && job.good);
  const double took = net::monotonic_now() - begin;
  {
    const std::lock_guard guard(lock);
    slowest = std::max(slowest, took);
  }
  if (!wrote_intent) return;
  if (!health.on_intent_written()) return;
  tell(self, [](Store& store) {
    const StoreState before = store.health_.state();
    store.health_.on_intent_written();
    store.report(before, "");
  });
}

void Store::Shared::look_for_drops(const std::shared_ptr<Shared>& self) {
  if (!database || ++looks % kLooksPerDrop != 0) return;
  try {
    std::vector<Key> keys = database->take_drop_requests();
    database->checkpoint();
    if (keys.empty()) return;
    tell(self, [keys = std::move(keys)](Store& store) { store.events_.on_drop_requests(keys); });
  } catch (const DatabaseError& error) {
    trouble(self, error);
  }
}

void Store::Shared::run(const std::shared_ptr<Shared>& self) {
  std::unique_lock guard(lock);
  for (;;) {
    const bool come = changed.wait_for(guard, std::chrono::duration<double>(kLook),
                                       [&] { return closing || !jobs.empty(); });
    if (closing && jobs.empty()) break;
    std::vector<Job> group;
    while (!jobs.empty() && group.size() < kGroup) {
      group.push_back(std::move(jobs.front()));
      jobs.pop_front();
    }
    in_hand = group.size();
    guard.unlock();
    if (!database && health.should_open(net::monotonic_now())) open(self);
    if (!group.empty()) {
      work(self, group);
      tell(self, [done = std::make_shared<std::vector<Job>>(std::move(group))](Store&) {
        for (Job& job : *done) {
          if (job.done) job.done(job.good);
          if (job.fetched) job.fetched(job.found);
        }
      });
    }
    if (!come) look_for_drops(self);
    guard.lock();
    in_hand = 0;
  }
  guard.unlock();
  database.reset();
  file_lock.reset();
  guard.lock();
  ended = true;
  changed.notify_all();
}

Store::Store(net::Reactor& reactor, Options options, StoreEvents& events)
    : reactor_(reactor), options_(std::move(options)), events_(events), shared_(std::make_shared<Shared>()) {
  shared_->store = this;
  shared_->reactor = &reactor;
  shared_->options = options_;
  thread_ = std::thread([shared = shared_] {
    try {
      shared->open(shared);
      shared->run(shared);
    } catch (const std::exception& error) {  // out of memory, say: what waits is told at its own patience
      std::fprintf(stderr, "damsonspoke: store: %s\n", error.what());
      const std::lock_guard guard(shared->lock);
      shared->ended = true;
      shared->changed.notify_all();
    }
  });
}

Store::~Store() {
  std::unique_lock guard(shared_->lock);
  shared_->closing = true;
  shared_->store = nullptr;
  shared_->changed.notify_all();
  const bool ended = shared_->changed.wait_for(guard, kLastWords, [this] { return shared_->ended; });
  guard.unlock();
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();  // a disk that hangs must not keep the program from ending
  }
}

void Store::put(Job job) {
  const std::lock_guard guard(shared_->lock);
  shared_->jobs.push_back(std::move(job));
  shared_->changed.notify_one();
}

void Store::report(StoreState before, const std::string& why) {
  if (before != health_.state()) events_.on_store_state_changed(health_.state(), why);
}

bool Store::write_intent(Row row, Done done) {
  if (!accepts_intents(net::monotonic_now())) return false;
  Job job;
  job.row = std::move(row);
  job.done = std::move(done);
  put(std::move(job));
  return true;
}

void Store::write_result(const Key& key, std::string result, Done done) {
  Job job;
  job.what = Job::What::kResult;
  job.row.key = key;
  job.row.result = std::move(result);
  job.done = std::move(done);
  put(std::move(job));
}

void Store::erase(std::vector<Key> keys) {
  if (keys.empty()) return;
  Job job;
  job.what = Job::What::kErase;
  job.keys = std::move(keys);
  put(std::move(job));
}

bool Store::fetch(const Key& key, Fetched fetched) {
  if (pending_jobs() >= options_.max_queued_jobs) return false;
  Job job;
  job.what = Job::What::kFetch;
  job.row.key = key;
  job.fetched = std::move(fetched);
  put(std::move(job));
  return true;
}

std::size_t Store::pending_jobs() const {
  const std::lock_guard guard(shared_->lock);
  return shared_->jobs.size() + shared_->in_hand;
}
double Store::max_commit_seconds() const {
  const std::lock_guard guard(shared_->lock);
  return shared_->slowest;
}

}  // namespace damsonspoke::results
