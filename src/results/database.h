// The SQLite database in which idempotency keys and results survive a restart. Used by one thread at a time.
//
// Each keyed request writes an intent record before it runs and its result when it completes; an intent
// without a result therefore means that the request may have run. Every record carries a checksum, so that a
// page that a faulty disk has changed is never returned as a result. Every error is thrown as a
// DatabaseError.
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

enum class DatabaseFault : std::uint8_t {
  kFull,          // the size limit is reached or the disk is full; the stored data is intact
  kUnavailable,   // cannot be opened, read or written at present
  kDamaged,       // the stored data cannot be trusted
  kNewerSchema,   // written by a newer program; the file is left unchanged
  kUnrecognized,  // not a results store; the file is left unchanged
};

struct DatabaseError : std::runtime_error {
  DatabaseError(DatabaseFault kind, const std::string& text) : std::runtime_error(text), fault(kind) {}
  DatabaseFault fault;
};

// One entry of the store.
struct Row {
  Key key;
  RequestId request_id = 0;
  std::string route;
  Fingerprint fingerprint = 0;
  std::int64_t expires_at_ms = 0;  // Unix time
  bool has_result = false;         // false: only an intent is stored
  std::string result;
  std::size_t result_bytes = 0;
};

class Database {
 public:
  // To be raised with each change after which an older program could not read the tables.
  static constexpr int kSchemaVersion = 1;

  struct Options {
    bool sync_commits = false;  // true: commits survive a power cut; false: only the end of the process
    std::uint64_t max_file_bytes = 0;  // 0: the limit is left unchanged
    bool must_exist = false;           // do not create a missing file
    const char* vfs = nullptr;         // name of another SQLite VFS, for tests
  };

  // Opens and checks the file, and creates it if it is missing.
  Database(const std::string& path, const Options& options);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Whether the file was created by this object.
  [[nodiscard]] bool is_new() const { return is_new_; }
  // The seed of the store's keys; see KeyDeriver.
  [[nodiscard]] std::uint64_t seed() const { return seed_; }

  // ---- Transactions.
  void begin();
  void commit();
  void rollback() noexcept;

  // ---- Entries.
  void put_intent(const Row& row);
  // Returns false and writes nothing if there is no intent with this key.
  bool put_result(const Key& key, std::string_view result);
  void erase(const Key& key);
  // Returns the entry with its result; nullopt if there is none.
  std::optional<Row> fetch(const Key& key);
  // Visits all entries without their results, in order of expiry. Throws kDamaged at the first entry that is
  // not intact.
  void for_each(const std::function<void(const Row&)>& visit);
  // Reads the entire database. Returns one line for each problem.
  std::vector<std::string> verify();

  // ---- Operators' requests to drop keys. They are processed by the program that has the store open.
  void request_drop(const Key& key);
  std::vector<Key> take_drop_requests();

  // Copies the write-ahead log into the database file, as far as concurrent readers allow.
  void checkpoint();

  struct Totals {
    std::uint64_t intents = 0;
    std::uint64_t results = 0;
    std::uint64_t result_bytes = 0;
    std::uint64_t file_bytes = 0;
    std::int64_t first_expiry_ms = 0;  // Unix time; 0: no entries
    std::int64_t last_expiry_ms = 0;
  };
  Totals totals();

 private:
  class Statement;
  struct CloseConnection {
    void operator()(sqlite3* connection) const;
  };
  struct FinalizeStatement {
    void operator()(sqlite3_stmt* statement) const;
  };
  using Connection = std::unique_ptr<sqlite3, CloseConnection>;
  using StatementHandle = std::unique_ptr<sqlite3_stmt, FinalizeStatement>;

  [[noreturn]] void throw_error(int code, std::string_view problem) const;
  [[noreturn]] void throw_fault(DatabaseFault fault, std::string_view problem) const;
  void run(const std::string& sql);
  std::int64_t read_number(const char* sql);
  // Returns the statement for this text, which must be a literal. Compiles it on first use.
  sqlite3_stmt* prepared(const char* sql);
  void open(const Options& options);
  void initialize(bool must_exist);
  void check_schema(std::int64_t tables, bool must_exist);
  void create_tables();
  void check_integrity();
  std::vector<std::string> stored_keys();

  const std::string path_;
  Connection connection_;
  std::vector<std::pair<const char*, StatementHandle>> statements_;
  bool is_new_ = false;
  std::uint64_t seed_ = 0;
};

// A lock file that is held by the program that has the store open, so that no second program opens it.
class StoreLock {
 public:
  // Throws DatabaseError (kUnavailable) if another process holds the lock.
  explicit StoreLock(const std::string& path);
  ~StoreLock();
  StoreLock(const StoreLock&) = delete;
  StoreLock& operator=(const StoreLock&) = delete;

 private:
  int fd_ = -1;
};

}  // namespace damsonspoke::results
