// The file in which keys and results survive: one SQLite database, opened, checked, written and read by one
// thread. Every error is a DatabaseError with one plain line.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "admission/request.h"
#include "results/key.h"

struct sqlite3;
struct sqlite3_stmt;

namespace damsonspoke::results {

enum class DatabaseFault {
  kFull,         // the bound or the disk is reached; what is there is sound
  kUnavailable,  // cannot be opened, read or written now
  kDamaged,      // what it holds can't be trusted
  kNewer,        // another version's form, left as it is
  kForeign,      // no store of results
};

struct DatabaseError : std::runtime_error {
  DatabaseError(DatabaseFault t, const std::string& text) : std::runtime_error(text), trouble(t) {}
  DatabaseFault trouble;
};

struct Row {
  Key key;
  RequestId request = 0;
  std::string type;
  Fingerprint fingerprint = 0;
  std::int64_t until_ms = 0;  // Unix; when its window ends
  bool ended = false;         // with the result; otherwise an intent alone
  std::string result;
  std::size_t result_size = 0;
};

class Database {
 public:
  static constexpr int kForm = 1;  // of the tables; one more where an older program could not read them

  struct Options {
    bool power_safe = false;     // each commit is synced
    std::uint64_t bytes = 0;     // most that the file may take; 0: as it is
    bool only_if_there = false;  // no new file is made
    const char* vfs = nullptr;   // another file layer, for tests
  };
  Database(const std::string& path, const Options& options);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  bool made_new() const { return made_new_; }
  std::uint64_t seed() const { return seed_; }

  void begin();
  void commit();
  void roll_back() noexcept;

  void put_intent(const Row& row);
  // False where its intent is not there: nothing is written.
  bool put_result(const Key& key, std::string_view result);
  void erase(const Key& key);
  // With its result; nothing where it is not there.
  std::optional<Row> fetch(const Key& key);
  // All of them without their results, soonest end first. Throws kDamaged at the first one that is not sound.
  void each(const std::function<void(const Row&)>& take);
  // What is wrong with it, a line each, looking at every byte that counts.
  std::vector<std::string> verify();

  // Keys that an operator wants forgotten, for the program that has the store to take.
  void ask_to_drop(const Key& key);
  std::vector<Key> take_drops();
  // Writes back what waits in the log beside the file; cheap where little waits.
  void tidy();

  struct Sums {
    std::uint64_t intents = 0, results = 0, result_bytes = 0, file_bytes = 0;
    std::int64_t soonest_ms = 0, latest_ms = 0;  // Unix; 0: none
  };
  Sums sums();

 private:
  class Statement;
  void run(const char* sql);
  std::int64_t number(const char* sql);
  [[noreturn]] void raise(int code, const std::string& doing) const;
  sqlite3_stmt* prepared(const char* sql);
  void set_up(bool only_if_there);

  std::string path_;
  sqlite3* db_ = nullptr;
  std::vector<std::pair<const char*, sqlite3_stmt*>> statements_;
  bool made_new_ = false;
  std::uint64_t seed_ = 0;
};

// Held while a program has the store, so that no second one does.
class StoreLock {
 public:
  explicit StoreLock(const std::string& path);  // throws DatabaseError where another has it
  ~StoreLock();
  StoreLock(const StoreLock&) = delete;
  StoreLock& operator=(const StoreLock&) = delete;

 private:
  int fd_ = -1;
};

}  // namespace damsonspoke::results
