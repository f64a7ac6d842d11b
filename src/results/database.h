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
  DatabaseError(DatabaseFault f, const std::string& text) : std::runtime_error(text), fault(f) {}
  DatabaseFault fault;
};

struct Row {
  Key key;
  RequestId request_id = 0;
  std::string route;
  Fingerprint fingerprint = 0;
  std::int64_t expires_at_ms = 0;  // Unix; when its window ends
  bool has_result = false;         // with the result; otherwise an intent alone
  std::string result;
  std::size_t result_bytes = 0;
};

class Database {
 public:
  static constexpr int kSchemaVersion =
      1;  // of the tables; one more where an older program could not read them

  struct Options {
    bool sync_commits = false;         // each commit is synced
    std::uint64_t max_file_bytes = 0;  // most that the file may take; 0: as it is
    bool must_exist = false;           // no new file is made
    const char* vfs = nullptr;         // another file layer, for tests
  };
  Database(const std::string& path, const Options& options);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  bool is_new() const { return is_new_; }
  std::uint64_t seed() const { return seed_; }

  void begin();
  void commit();
  void rollback() noexcept;

  void put_intent(const Row& row);
  // False where its intent is not there: nothing is written.
  bool put_result(const Key& key, std::string_view result);
  void erase(const Key& key);
  // With its result; nothing where it is not there.
  std::optional<Row> fetch(const Key& key);
  // All of them without their results, soonest end first. Throws kDamaged at the first one that is not sound.
  void for_each(const std::function<void(const Row&)>& take);
  // What is wrong with it, a line each, looking at every byte that counts.
  std::vector<std::string> verify();

  // Keys that an operator wants forgotten, for the program that has the store to take.
  void request_drop(const Key& key);
  std::vector<Key> take_drop_requests();
  // Writes back what waits in the log beside the file; cheap where little waits.
  void checkpoint();

  struct Totals {
    std::uint64_t intents = 0, results = 0, result_bytes = 0, file_bytes = 0;
    std::int64_t first_expiry_ms = 0, last_expiry_ms = 0;  // Unix; 0: none
  };
  Totals totals();

 private:
  class Statement;
  void run(const char* sql);
  std::int64_t number(const char* sql);
  [[noreturn]] void throw_error(int code, const std::string& doing) const;
  sqlite3_stmt* prepared(const char* sql);
  void initialize(bool must_exist);

  std::string path_;
  sqlite3* db_ = nullptr;
  std::vector<std::pair<const char*, sqlite3_stmt*>> statements_;
  bool is_new_ = false;
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
