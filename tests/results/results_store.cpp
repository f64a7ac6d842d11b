// The results store: crashes at every write, and faults of the disk. CTest compares the output with
// tests/traces/store_NAME.txt. usage: results_store SCENARIO
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <thread>

#include "admission/options.h"
#include "net/reactor.h"
#include "recording_disk.h"
#include "results/database.h"
#include "results/health.h"
#include "results/recovery.h"
#include "results/store.h"

using namespace damsonspoke;
using namespace damsonspoke::results;
using testing::DiskOperation;
using testing::DiskState;
using testing::RecordingDisk;

namespace {

Row row_of(unsigned n, std::int64_t until_ms = 1'000'000) {
  Row row;
  row.key = {n, n * 31ULL};
  row.request_id = n;
  row.route = "push";
  row.fingerprint = n * 7ULL;
  row.expires_at_ms = until_ms;
  return row;
}
std::string result_of(unsigned n) {
  return std::string(200 + n * 997 % 3000, static_cast<char>('a' + n % 26));
}

// ---- Crashes.
using Content = std::map<Key, std::string>;  // the result of each entry, or "intent" if it has none

Content content_of(Database& database) {
  Content content;
  bool has_unknown_entry = false;
  std::vector<Key> completed;
  database.for_each([&](const Row& row) {
    if (row.request_id != row_of(static_cast<unsigned>(row.request_id)).request_id || row.route != "push" ||
        row.fingerprint != row.request_id * 7 || row.expires_at_ms != 1'000'000 ||
        row.key.high != row.request_id) {
      has_unknown_entry = true;
    }
    content[row.key] = "intent";
    if (row.has_result) completed.push_back(row.key);
  });
  for (const Key& key : completed) {
    const std::optional<Row> row = database.fetch(key);
    if (!row) throw DatabaseError(DatabaseFault::kDamaged, "an entry is not found by its key");
    content[key] = row->result;
  }
  if (has_unknown_entry) content[{}] = "an entry that was never written";
  return content;
}

struct Recorded {
  std::vector<DiskOperation> operations;
  std::vector<std::pair<std::size_t, Content>>
      committed;  // the number of operations up to each commit, and the content from then on
};

Recorded record(RecordingDisk& disk, bool sync_commits) {
  Recorded out;
  disk.begin_with({});
  Content content;
  {
    Database database("crash", {sync_commits, 0, false, "recording"});
    out.committed.emplace_back(disk.operations().size(), content);
    unsigned next = 0;
    for (unsigned group = 0; group < 40; ++group) {
      database.begin();
      for (unsigned i = 0; i < 1 + group % 3; ++i) {
        const unsigned n = ++next;
        database.put_intent(row_of(n));
        content[row_of(n).key] = "intent";
        if (n > 2) {
          database.put_result(row_of(n - 2).key, result_of(n - 2));
          content[row_of(n - 2).key] = result_of(n - 2);
        }
        if (n > 20) {
          database.erase(row_of(n - 20).key);
          content.erase(row_of(n - 20).key);
        }
      }
      database.commit();
      out.committed.emplace_back(disk.operations().size(), content);
      if (group % 8 == 7) database.checkpoint();
    }
    out.operations = disk.operations();
  }
  return out;
}

struct CrashReport {
  int crashes = 0;
  int unopened = 0;
  int lost = 0;       // the state is older than the acknowledged one
  int corrupted = 0;  // the state never existed
  std::string first_failure;

  void add_failure(int& count, std::size_t operations, const std::string& what) {
    ++count;
    if (first_failure.empty()) first_failure = "after " + std::to_string(operations) + " operations: " + what;
  }
};

// After a crash behind `count` operations, the store must contain what was committed by then, with or without
// the transaction that was in progress.
void check_after_crash(RecordingDisk& disk, const Recorded& recorded, std::size_t count, DiskState state,
                       CrashReport& report) {
  ++report.crashes;
  std::size_t last = 0;
  bool is_created = false;
  for (std::size_t i = 0; i < recorded.committed.size(); ++i) {
    if (recorded.committed[i].first > count) continue;
    last = i;
    is_created = true;
  }
  disk.begin_with(std::move(state));
  try {
    Database database("crash", {true, 0, false, "recording"});
    const Content content = content_of(database);
    if (!is_created) {  // the crash happened while the store was being created
      if (!content.empty()) report.add_failure(report.corrupted, count, "entries that were never written");
      return;
    }
    const bool has_next = last + 1 < recorded.committed.size();
    if (content == recorded.committed[last].second) return;
    if (has_next && content == recorded.committed[last + 1].second) return;
    const auto acknowledged = recorded.committed.begin() + static_cast<std::ptrdiff_t>(last);
    const bool is_older = std::any_of(recorded.committed.begin(), acknowledged,
                                      [&](const auto& committed) { return committed.second == content; });
    if (is_older) {
      report.add_failure(report.lost, count, "older than the acknowledged state");
    } else {
      report.add_failure(report.corrupted, count, "a state that never existed");
    }
  } catch (const DatabaseError& error) {
    report.add_failure(report.unopened, count, error.what());
  }
}

void print(const char* name, const CrashReport& report, bool are_losses_expected) {
  std::printf("%s: cannot be opened %d, invalid state %d, ", name, report.unopened, report.corrupted);
  if (are_losses_expected) {
    std::printf("acknowledged and lost: %s\n", report.lost > 0 ? "some, as expected without syncs" : "none");
  } else {
    std::printf("acknowledged and lost %d\n", report.lost);
  }
  if (report.unopened + report.corrupted + (are_losses_expected ? 0 : report.lost) > 0)
    std::printf("  %s\n", report.first_failure.c_str());
}

void crash() {
  RecordingDisk disk("recording");
  const Recorded fast = record(disk, false);
  const Recorded synced = record(disk, true);
  CrashReport killed;
  CrashReport torn;
  CrashReport power_cut;
  CrashReport unsynced;
  for (std::size_t count = 0; count <= fast.operations.size(); ++count) {
    const std::vector<DiskOperation>& operations = fast.operations;
    check_after_crash(disk, fast, count, RecordingDisk::after_kill(operations, count, false), killed);
    // A write during which the process was killed has not returned, so it does not count as done.
    if (count > 0)
      check_after_crash(disk, fast, count - 1, RecordingDisk::after_kill(operations, count, true), torn);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      check_after_crash(disk, fast, count,
                        RecordingDisk::after_power_cut(operations, count, seed * 1000 + count), unsynced);
    }
  }
  for (std::size_t count = 0; count <= synced.operations.size(); ++count) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      check_after_crash(disk, synced, count,
                        RecordingDisk::after_power_cut(synced.operations, count, seed * 1000 + count),
                        power_cut);
    }
  }
  std::printf("enough crashes: %s\n", killed.crashes > 200 && power_cut.crashes > 1200 ? "yes" : "no");
  print("killed, process-safe", killed, false);
  print("killed in the middle of a write, process-safe", torn, false);
  print("power cut, power-safe", power_cut, false);
  print("power cut, process-safe", unsynced, true);
}

constexpr std::size_t kHeaderBytes = 60;  // of an intent record

// Returns the offsets of the intent records' headers. Only the checksums detect a changed byte there.
std::vector<std::size_t> intent_offsets(const Content& content, const std::string& file) {
  std::vector<std::size_t> offsets;
  for (const auto& [key, result] : content) {
    if (result != "intent") continue;
    std::string bytes;
    for (const std::uint64_t half : {key.high, key.low}) {
      for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(half >> shift);
    }
    for (std::size_t at = 0; (at = file.find(bytes, at)) != std::string::npos; ++at) {
      for (std::size_t i = 0; i < kHeaderBytes && at + i < file.size(); ++i) offsets.push_back(at + i);
    }
  }
  return offsets;
}

// Whether each entry is still as record() wrote it. Missing entries are not detected.
bool is_as_written(const Content& content) {
  return std::all_of(content.begin(), content.end(), [](const auto& item) {
    const auto& [key, result] = item;
    const auto number = static_cast<unsigned>(key.high);
    return key == row_of(number).key && (result == "intent" || result == result_of(number));
  });
}

// Tests that a changed byte is detected before it is used in an answer, at random offsets and in each byte of
// the intents' headers.
void flipped() {
  RecordingDisk disk("recording");
  const Recorded recorded = record(disk, true);
  DiskState intact = RecordingDisk::after_kill(recorded.operations, recorded.operations.size(), false);
  const std::string& file = intact["crash"];
  intact.erase("crash-wal");  // removes the changes that were not checkpointed
  disk.begin_with(intact);
  const Content content = [&] {
    Database database("crash", {true, 0, true, "recording"});
    return content_of(database);
  }();
  std::vector<std::size_t> offsets = intent_offsets(content, file);
  std::printf("headers of intents in the file: %s\n", offsets.empty() ? "none" : "some");
  pcg32 random(5);
  for (int i = 0; i < 400; ++i) offsets.push_back(random() % file.size());
  int wrong = 0;
  int detected = 0;
  int harmless = 0;
  for (const std::size_t offset : offsets) {
    DiskState state = intact;
    state["crash"][offset] = static_cast<char>(file[offset] ^ (1 + random() % 255));
    disk.begin_with(std::move(state));
    try {
      Database database("crash", {true, 0, true, "recording"});
      ++(is_as_written(content_of(database)) ? harmless : wrong);
    } catch (const DatabaseError&) {
      ++detected;
    }
  }
  std::printf("read as valid: %d; detected: %s; in unused bytes: %s\n", wrong,
              detected > 100 ? "many" : "few", harmless > 0 ? "some" : "none");
}

// ---- The store and its thread.
class PrintedEvents : public StoreEvents {
 public:
  void on_key_seed(std::uint64_t, bool is_new) override {
    std::printf("seed of %s file\n", is_new ? "a new" : "an existing");
  }
  void on_entries_recovered(const std::vector<Row>& rows) override {
    std::printf("recovered %zu\n", rows.size());
  }
  void on_store_state_changed(StoreState state, const std::string& error) override {
    const std::size_t colon = error.rfind(": ");
    std::printf("store: %s%s%s\n", std::string(name_of(state)).c_str(), error.empty() ? "" : ", ",
                colon == std::string::npos ? "" : error.substr(colon + 2).c_str());
    last = state;
  }
  void on_drop_requests(const std::vector<Key>& keys) override {
    std::printf("drop requests: %zu\n", keys.size());
  }
  StoreState last = StoreState::kOpening;
};

class Folder {
 public:
  Folder() {
    if (::mkdtemp(name_) == nullptr) std::abort();
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(name_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string file() const { return std::string(name_) + "/results"; }

 private:
  char name_[32] = "/tmp/damsonspoke-XXXXXX";
};

// A reactor that runs on its own thread. Stores are created, used and destroyed on that thread.
class ReactorThread {
 public:
  // Calls the function on the reactor's thread and returns its result.
  template <typename Function>
  auto run(Function function) {
    // Shared, because the reactor may still be in the task's call when the result arrives here.
    const auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto result = task->get_future();
    reactor_.post_from_other_thread([task] { (*task)(); });
    return result.get();
  }

  ReactorThread() : thread_([this] { reactor_.run(); }) {}
  ~ReactorThread() {
    run([this] { reactor_.stop(); });
    thread_.join();
  }
  ReactorThread(const ReactorThread&) = delete;
  ReactorThread& operator=(const ReactorThread&) = delete;

  // Waits until the condition holds on the reactor's thread, for at most ten seconds.
  void wait_until(const std::function<bool()>& condition) {
    const double until = net::monotonic_now() + 10;
    while (!run(condition) && net::monotonic_now() < until)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  net::Reactor& reactor() { return reactor_; }

 private:
  net::Reactor reactor_;
  std::thread thread_;
};

// A store that is created and destroyed on its reactor's thread.
class StoreOnReactor {
 public:
  StoreOnReactor(ReactorThread& reactor, const Store::Options& options, StoreEvents& events)
      : reactor_(reactor) {
    reactor_.run([&] { store_ = std::make_unique<Store>(reactor_.reactor(), options, events); });
  }
  ~StoreOnReactor() {
    reactor_.run([this] { store_.reset(); });
  }
  StoreOnReactor(const StoreOnReactor&) = delete;
  StoreOnReactor& operator=(const StoreOnReactor&) = delete;
  Store* operator->() { return store_.get(); }

 private:
  ReactorThread& reactor_;
  std::unique_ptr<Store> store_;
};

// The size limit of the store: intents are rejected when it is reached, until entries are erased.
void full() {
  Folder folder;
  ReactorThread reactor;
  PrintedEvents events;
  StoreOnReactor store(reactor, {folder.file(), false, 1 << 20, 1000, {}}, events);
  reactor.wait_until([&] { return events.last == StoreState::kHealthy; });
  unsigned written = 0;
  unsigned failed = 0;
  for (unsigned n = 1; n <= 400 && failed == 0; ++n) {
    bool is_over = false;
    reactor.run([&] {
      return store->write_intent(row_of(n), [&, n](bool durable) {
        if (!durable) {
          ++failed;
          is_over = true;
          return;
        }
        store->write_result(row_of(n).key, std::string(4096, 'r'), [&](bool is_durable) {
          ++(is_durable ? written : failed);
          is_over = true;
        });
      });
    });
    reactor.wait_until([&] { return is_over; });
  }
  std::printf("results written until the store is full: %s\n",
              written > 150 && written < 256 ? "about as many as fit" : std::to_string(written).c_str());
  std::printf(
      "an intent immediately after that: %s\n",
      reactor.run([&] { return store->write_intent(row_of(900), [](bool) {}); }) ? "accepted" : "rejected");
  std::vector<Key> keys;
  for (unsigned n = 1; n <= 50; ++n) keys.push_back(row_of(n).key);
  reactor.run([&] { store->erase(keys); });
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  bool durable = false;
  reactor.run(
      [&] { return store->write_intent(row_of(901), [&](bool is_durable) { durable = is_durable; }); });
  reactor.wait_until([&] { return durable; });
  std::printf("an intent after fifty entries were erased: %s\n", durable ? "durable" : "not durable");
  std::optional<Row> found;
  reactor.run(
      [&] { return store->fetch(row_of(60).key, [&](const std::optional<Row>& row) { found = row; }); });
  reactor.wait_until([&] { return found.has_value(); });
  std::printf("an earlier result: %s\n",
              found && found->result == std::string(4096, 'r') ? "unchanged" : "changed");
}

// A disk that needs 60 ms for each commit: the queue is bounded, and the reactor does not wait for the disk.
void slow() {
  Folder folder;
  ReactorThread reactor;
  PrintedEvents events;
  StoreOnReactor store(
      reactor,
      {folder.file(), true, 0, 20, [] { std::this_thread::sleep_for(std::chrono::milliseconds(60)); }},
      events);
  reactor.wait_until([&] { return events.last == StoreState::kHealthy; });
  unsigned requested = 0;
  unsigned accepted = 0;
  unsigned durable = 0;
  double longest = 0;
  while (requested < 200) {
    const double begin = net::monotonic_now();
    reactor.run([&] {
      for (int i = 0; i < 4; ++i) {
        const bool is_accepted =
            store->write_intent(row_of(++requested), [&](bool is_durable) { durable += is_durable ? 1 : 0; });
        if (is_accepted) ++accepted;
      }
    });
    longest = std::max(longest, net::monotonic_now() - begin);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  reactor.wait_until([&] { return durable == accepted; });
  std::printf("of 200 intents: accepted %s, all accepted ones are durable: %s\n",
              accepted > 20 && accepted < 200 ? "some" : std::to_string(accepted).c_str(),
              durable == accepted ? "yes" : "no");
  std::printf("the reactor waited for the disk: %s\n", longest < 0.05 ? "no" : "yes");
}

// Files that cannot be used: one that another process has open, one with a newer schema, and one of another
// program. Each is left unchanged.
void unusable() {
  Folder folder;
  {
    ReactorThread reactor;
    PrintedEvents first;
    PrintedEvents second;
    StoreOnReactor store(reactor, {folder.file(), false, 0, 100, {}}, first);
    reactor.wait_until([&] { return first.last == StoreState::kHealthy; });
    StoreOnReactor other(reactor, {folder.file(), false, 0, 100, {}}, second);
    reactor.wait_until([&] { return second.last != StoreState::kOpening; });
    std::printf("accepts intents: %s\n",
                reactor.run([&] { return other->accepts_intents(net::monotonic_now()); }) ? "yes" : "no");
  }
  const auto change = [&](const char* sql) {
    sqlite3* db = nullptr;
    sqlite3_open(folder.file().c_str(), &db);
    sqlite3_exec(db, sql, nullptr, nullptr, nullptr);
    sqlite3_close(db);
  };
  for (const char* sql : {"pragma user_version=99", "pragma user_version=1; pragma application_id=5"}) {
    change(sql);
    std::printf("-- %s\n", sql);
    ReactorThread reactor;
    PrintedEvents events;
    StoreOnReactor store(reactor, {folder.file(), false, 0, 100, {}}, events);
    reactor.wait_until([&] { return events.last != StoreState::kOpening; });
  }
}

// ---- Policies without I/O.
void health() {
  StoreHealth health;
  const auto print_state = [&](const char* event, double now) {
    std::printf("%5.2f %-28s %-8s intents %-3s open %-3s retry after %.2f\n", now, event,
                std::string(name_of(health.state())).c_str(), health.accepts_intents(now) ? "yes" : "no",
                health.should_open(now) ? "yes" : "no", health.retry_after(now));
  };
  print_state("at the start", 0);
  health.on_fault(0, DatabaseFault::kUnavailable);
  print_state("unavailable", 0);
  print_state("later", 0.5);
  health.on_fault(0.5, DatabaseFault::kUnavailable);
  print_state("unavailable again", 0.5);
  print_state("later", 1.4);
  for (int i = 0; i < 9; ++i) health.on_fault(2, DatabaseFault::kUnavailable);
  print_state("unavailable repeatedly", 2);
  health.on_opened();
  print_state("opened", 12);
  health.on_fault(13, DatabaseFault::kFull);
  print_state("full", 13);
  print_state("later", 13.3);
  health.on_intent_written();
  print_state("an intent was written", 13.3);
  health.on_fault(14, DatabaseFault::kDamaged);
  print_state("damaged", 14);
  health.on_fault(15, DatabaseFault::kFull);
  print_state("full", 15);
  print_state("much later", 1000);
}

constexpr double kAllowedLatenessSeconds = 3;

void clocks() {
  Route push;
  push.idempotency_window = 10;
  const Recovery recovery({{"push", push.idempotency_window}}, kAllowedLatenessSeconds);
  const auto print_remaining = [&](const char* name, const Row& row, std::int64_t now_ms) {
    const std::optional<double> remaining = recovery.remaining_seconds(row, now_ms);
    std::printf("%-34s %s, %.1f s left\n", name, remaining ? "valid" : "expired", remaining.value_or(0));
  };
  print_remaining("four seconds later", row_of(1, 100'000), 94'000);
  print_remaining("its window has just ended", row_of(1, 100'000), 101'000);
  print_remaining("its window has ended", row_of(1, 100'000), 103'000);
  print_remaining("the clock was set back an hour", row_of(1, 100'000 + 3'600'000), 94'000);
  Row other = row_of(1, 100'000 + 86'400'000);
  other.route = "removed";
  print_remaining("of a route that was removed", other, 94'000);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> scenarios[] = {
      {"crash", crash},       {"flipped", flipped}, {"full", full},    {"slow", slow},
      {"unusable", unusable}, {"health", health},   {"clocks", clocks}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (const auto& [name, run] : scenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) {
      run();
      return 0;
    }
  }
  std::fprintf(stderr, "usage: results_store SCENARIO\n");
  return 2;
}
