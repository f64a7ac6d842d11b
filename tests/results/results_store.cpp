// The store of results: crashes at every write, and the troubles a disk can make. CTest compares with
// tests/traces/store_NAME.txt. usage: results_store SCENARIO
#include <sys/stat.h>
#include <unistd.h>

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
using testing::DiskOp;
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
using Content = std::map<Key, std::string>;  // the result; "intent" without one

Content content_of(Database& database) {
  Content content;
  bool spoilt = false;
  std::vector<Key> ended;
  database.for_each([&](const Row& row) {
    if (row.request_id != row_of(static_cast<unsigned>(row.request_id)).request_id || row.route != "push" ||
        row.fingerprint != row.request_id * 7 || row.expires_at_ms != 1'000'000 ||
        row.key.high != row.request_id) {
      spoilt = true;
    }
    content[row.key] = "intent";
    if (row.has_result) ended.push_back(row.key);
  });
  for (const Key& key : ended) {
    const std::optional<Row> row = database.fetch(key);
    if (!row) throw DatabaseError(DatabaseFault::kDamaged, "an entry is not found by its key");
    content[key] = row->result;
  }
  if (spoilt) content[{}] = "an entry that nobody wrote";
  return content;
}

struct Recorded {
  std::vector<DiskOp> requests;
  std::vector<std::pair<std::size_t, Content>>
      committed;  // operations so far, and what is there from then on
};

Recorded record(RecordingDisk& disk, bool power_safe) {
  Recorded out;
  disk.begin_with({});
  Content content;
  {
    Database database("crash", {power_safe, 0, false, "recording"});
    out.committed.emplace_back(disk.requests().size(), content);
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
      out.committed.emplace_back(disk.requests().size(), content);
      if (group % 8 == 7) database.checkpoint();
    }
    out.requests = disk.requests();
  }
  return out;
}

struct Found {
  int crashes = 0, unopened = 0, lost = 0, foreign = 0;
  std::string first;
};

// What is there after a crash behind `count` operations must be what was committed by then, or with the
// transaction that was on its way; older: something acknowledged is lost; anything else: garbage.
void look(RecordingDisk& disk, const Recorded& recorded, std::size_t count, DiskState state, Found& found) {
  ++found.crashes;
  std::size_t succeeded = 0;
  bool made = false;
  for (std::size_t i = 0; i < recorded.committed.size(); ++i) {
    if (recorded.committed[i].first <= count) succeeded = i, made = true;
  }
  disk.begin_with(std::move(state));
  const auto told = [&](const std::string& what) {
    if (found.first.empty()) found.first = "after " + std::to_string(count) + " operations: " + what;
  };
  try {
    Database database("crash", {true, 0, false, "recording"});
    const Content content = content_of(database);
    if (!made) {  // it was being made: new again, or just made
      if (!content.empty()) ++found.foreign, told("entries that nobody wrote");
      return;
    }
    const bool next =
        succeeded + 1 < recorded.committed.size() && content == recorded.committed[succeeded + 1].second;
    if (content == recorded.committed[succeeded].second || next) return;
    for (std::size_t i = 0; i < succeeded; ++i) {
      if (content == recorded.committed[i].second)
        return ++found.lost, told("older than what was acknowledged");
    }
    ++found.foreign;
    told("a state that never was");
  } catch (const DatabaseError& error) {
    ++found.unopened;
    told(error.what());
  }
}

void told(const char* name, const Found& found, bool losses_expected) {
  std::printf("%s: does not open %d, never was %d, ", name, found.unopened, found.foreign);
  if (losses_expected) {
    std::printf("acknowledged and lost: %s\n", found.lost > 0 ? "some, as it should without syncs" : "none");
  } else {
    std::printf("acknowledged and lost %d\n", found.lost);
  }
  if (found.unopened + found.foreign + (losses_expected ? 0 : found.lost) > 0)
    std::printf("  %s\n", found.first.c_str());
}

void crash() {
  RecordingDisk disk("recording");
  const Recorded fast = record(disk, false), safe = record(disk, true);
  Found killed, torn, cut, unsynced;
  for (std::size_t count = 0; count <= fast.requests.size(); ++count) {
    look(disk, fast, count, RecordingDisk::after_kill(fast.requests, count, false), killed);
    // The write in the middle of which it was killed never returned.
    if (count > 0) look(disk, fast, count - 1, RecordingDisk::after_kill(fast.requests, count, true), torn);
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
      look(disk, fast, count, RecordingDisk::after_power_cut(fast.requests, count, seed * 1000 + count),
           unsynced);
  }
  for (std::size_t count = 0; count <= safe.requests.size(); ++count) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
      look(disk, safe, count, RecordingDisk::after_power_cut(safe.requests, count, seed * 1000 + count), cut);
  }
  std::printf("enough crashes: %s\n", killed.crashes > 200 && cut.crashes > 1200 ? "yes" : "no");
  told("killed, process-safe", killed, false);
  told("killed in the middle of a write, process-safe", torn, false);
  told("power cut, power-safe", cut, false);
  told("power cut, process-safe", unsynced, true);
}

// A byte that was changed under us is found out before anybody is told what it says: anywhere, and in each
// byte of the heads of the intents, which nothing else would miss.
void flipped() {
  RecordingDisk disk("recording");
  const Recorded recorded = record(disk, true);
  DiskState whole = RecordingDisk::after_kill(recorded.requests, recorded.requests.size(), false);
  std::string& file = whole["crash"];
  whole.erase("crash-wal");  // what was not written back from the log is gone
  disk.begin_with(whole);
  const Content content = [&] {
    Database database("crash", {true, 0, true, "recording"});
    return content_of(database);
  }();
  std::vector<std::size_t> places;
  for (const auto& [key, what] : content) {
    if (what != "intent") continue;
    std::string bytes;
    for (const std::uint64_t half : {key.high, key.low}) {
      for (int shift = 56; shift >= 0; shift -= 8) bytes += static_cast<char>(half >> shift);
    }
    for (std::size_t at = 0; (at = file.find(bytes, at)) != std::string::npos; ++at) {
      for (std::size_t i = 0; i < 60 && at + i < file.size(); ++i) places.push_back(at + i);
    }
  }
  std::printf("heads of intents in the file: %s\n", places.empty() ? "none" : "some");
  pcg32 random(5);
  for (int i = 0; i < 400; ++i) places.push_back(random() % file.size());
  int wrong = 0, refused = 0, harmless = 0;
  for (const std::size_t at : places) {
    DiskState state = whole;
    state["crash"][at] = static_cast<char>(file[at] ^ (1 + random() % 255));
    disk.begin_with(std::move(state));
    try {
      Database database("crash", {true, 0, true, "recording"});
      bool same = true;
      for (const auto& [key, what] : content_of(database)) {
        const auto n = static_cast<unsigned>(key.high);
        same = same && key == row_of(n).key && (what == "intent" || what == result_of(n));
      }
      same ? ++harmless : ++wrong;
    } catch (const DatabaseError&) {
      ++refused;
    }
  }
  std::printf("told as somebody's: %d; found out: %s; where nothing stands: %s\n", wrong,
              refused > 100 ? "many" : "few", harmless > 0 ? "some" : "none");
}

// ---- The store and its thread.
class Watch : public StoreEvents {
 public:
  void on_key_seed(std::uint64_t, bool is_new) override {
    std::printf("seed, %s file\n", is_new ? "a new" : "an old");
  }
  void on_entries_recovered(const std::vector<Row>& rows) override {
    std::printf("recovered %zu\n", rows.size());
  }
  void on_store_state_changed(StoreState state, const std::string& why) override {
    const std::size_t colon = why.rfind(": ");
    std::printf("store: %s%s%s\n", std::string(name_of(state)).c_str(), why.empty() ? "" : ", ",
                colon == std::string::npos ? "" : why.substr(colon + 2).c_str());
    last = state;
  }
  void on_drop_requests(const std::vector<Key>& keys) override {
    std::printf("an operator wants %zu dropped\n", keys.size());
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
  std::string file() const { return std::string(name_) + "/results"; }

 private:
  char name_[32] = "/tmp/damsonspoke-XXXXXX";
};

// A reactor that turns on a thread of its own; everything about a store happens on it.
class Turning {
 public:
  template <typename What>
  auto on(What what) {
    std::promise<decltype(what())> promise;
    reactor.post_from_elsewhere([&] { promise.set_value(what()); });
    return promise.get_future().get();
  }
  Turning() : thread_([this] { reactor.run(); }) {}
  ~Turning() {
    on([this] { return reactor.stop(), 0; });
    thread_.join();
  }
  // Until it is enough, or ten seconds are over.
  void go_on(const std::function<bool()>& enough) {
    const double until = net::monotonic_now() + 10;
    while (!on(enough) && net::monotonic_now() < until)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  net::Reactor reactor;

 private:
  std::thread thread_;
};

// A store that is made and ends on its reactor's thread.
class Held {
 public:
  Held(Turning& turning, Store::Options options, StoreEvents& events) : turning_(turning) {
    turning_.on([&] { return store_ = std::make_unique<Store>(turning_.reactor, options, events), 0; });
  }
  ~Held() {
    turning_.on([&] { return store_.reset(), 0; });
  }
  Store* operator->() { return store_.get(); }

 private:
  Turning& turning_;
  std::unique_ptr<Store> store_;
};

// The bound of the disk, and what is given up makes room again.
void full() {
  Folder folder;
  Turning turning;
  Watch watch;
  Held store(turning, {folder.file(), false, 1 << 20, 1000, {}}, watch);
  turning.go_on([&] { return watch.last == StoreState::kHealthy; });
  unsigned written = 0, refused = 0;
  for (unsigned n = 1; n <= 400 && refused == 0; ++n) {
    bool over = false;
    turning.on([&] {
      return store->write_intent(row_of(n), [&, n](bool durable) {
        if (!durable) {
          ++refused;
          over = true;
          return;
        }
        store->write_result(row_of(n).key, std::string(4096, 'r'), [&](bool good) {
          good ? ++written : ++refused;
          over = true;
        });
      });
    });
    turning.go_on([&] { return over; });
  }
  std::printf("written until full: %s\n",
              written > 150 && written < 256 ? "about what fits" : std::to_string(written).c_str());
  std::printf("an intent right after: %s\n",
              turning.on([&] { return store->write_intent(row_of(900), [](bool) {}); }) ? "taken"
                                                                                        : "refused at once");
  std::vector<Key> keys;
  for (unsigned n = 1; n <= 50; ++n) keys.push_back(row_of(n).key);
  turning.on([&] { return store->erase(keys), 0; });
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  bool durable = false;
  turning.on([&] { return store->write_intent(row_of(901), [&](bool good) { durable = good; }); });
  turning.go_on([&] { return durable; });
  std::printf("an intent after fifty went: %s\n", durable ? "durable" : "not durable");
  std::optional<Row> found;
  turning.on(
      [&] { return store->fetch(row_of(60).key, [&](const std::optional<Row>& row) { found = row; }); });
  turning.go_on([&] { return found.has_value(); });
  std::printf("what was there: %s\n", found && found->result == std::string(4096, 'r') ? "as it was" : "not");
}

// A disk that takes 60 ms a commit: what waits is bounded, and the reactor does not.
void slow() {
  Folder folder;
  Turning turning;
  Watch watch;
  Held store(turning,
             {folder.file(), true, 0, 20, [] { std::this_thread::sleep_for(std::chrono::milliseconds(60)); }},
             watch);
  turning.go_on([&] { return watch.last == StoreState::kHealthy; });
  unsigned asked = 0, taken = 0, durable = 0;
  double longest = 0;
  while (asked < 200) {
    const double begin = net::monotonic_now();
    turning.on([&] {
      for (int i = 0; i < 4; ++i)
        taken += store->write_intent(row_of(++asked), [&](bool good) { durable += good; });
      return 0;
    });
    longest = std::max(longest, net::monotonic_now() - begin);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  turning.go_on([&] { return durable == taken; });
  std::printf("of 200 intents: taken %s, all taken are durable: %s\n",
              taken > 20 && taken < 200 ? "some" : std::to_string(taken).c_str(),
              durable == taken ? "yes" : "no");
  std::printf("the reactor waited for the disk: %s\n", longest < 0.05 ? "no" : "yes");
}

// Two programs on one file; a newer form; somebody else's file. Each is left as it is.
void refused() {
  Folder folder;
  {
    Turning turning;
    Watch first, second;
    Held store(turning, {folder.file(), false, 0, 100, {}}, first);
    turning.go_on([&] { return first.last == StoreState::kHealthy; });
    Held other(turning, {folder.file(), false, 0, 100, {}}, second);
    turning.go_on([&] { return second.last != StoreState::kOpening; });
    std::printf("takes intents: %s\n",
                turning.on([&] { return other->accepts_intents(net::monotonic_now()); }) ? "yes" : "no");
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
    Turning turning;
    Watch watch;
    Held store(turning, {folder.file(), false, 0, 100, {}}, watch);
    turning.go_on([&] { return watch.last != StoreState::kOpening; });
  }
}

// ---- Policies beside the table.
void health() {
  StoreHealth health;
  const auto say = [&](const char* what, double now) {
    std::printf("%5.2f %-28s %-8s intents %-3s open %-3s come back in %.2f\n", now, what,
                std::string(name_of(health.state())).c_str(), health.accepts_intents(now) ? "yes" : "no",
                health.should_open(now) ? "yes" : "no", health.retry_after(now));
  };
  say("at the start", 0);
  health.on_fault(0, DatabaseFault::kUnavailable), say("unavailable", 0);
  say("later", 0.5);
  health.on_fault(0.5, DatabaseFault::kUnavailable), say("unavailable again", 0.5);
  say("later", 1.4);
  for (int i = 0; i < 9; ++i) health.on_fault(2, DatabaseFault::kUnavailable);
  say("for long", 2);
  health.on_opened(), say("opened", 12);
  health.on_fault(13, DatabaseFault::kFull), say("full", 13);
  say("later", 13.3);
  health.on_intent_written(), say("an intent was written", 13.3);
  health.on_fault(14, DatabaseFault::kDamaged), say("damaged", 14);
  health.on_fault(15, DatabaseFault::kFull), say("full", 15);
  say("much later", 1000);
}

void clocks() {
  Route push;
  push.idempotency_window = 10;
  const Recovery recovery({{"push", push.idempotency_window}});
  const auto say = [&](const char* what, const Row& row, std::int64_t now_ms) {
    const RecoveredEntry r = recovery.assess(row, now_ms);
    std::printf("%-34s %s, %.1f s left\n", what, r.is_live ? "kept" : "over", r.remaining_seconds);
  };
  say("four seconds on", row_of(1, 100'000), 94'000);
  say("its window is over", row_of(1, 100'000), 100'000);
  say("the clock went back an hour", row_of(1, 100'000 + 3'600'000), 94'000);
  Row other = row_of(1, 100'000 + 86'400'000);
  other.route = "gone";
  say("of a type that is no more", other, 94'000);
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {
      {"crash", crash},     {"flipped", flipped}, {"full", full},    {"slow", slow},
      {"refused", refused}, {"health", health},   {"clocks", clocks}};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (const auto& [name, play] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return play(), 0;
  }
  std::fprintf(stderr, "usage: results_store SCENARIO\n");
  return 2;
}
