#include "results/database.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#define XXH_STATIC_LINKING_ONLY  // the state on the stack
#include <xxhash.h>

#include <cstring>
#include <random>

namespace damsonspoke::results {
namespace {

constexpr int kApplicationId = 0x64616d73;  // "dams": tells our files from any others
constexpr int kPageBytes = 4096;
constexpr int kCacheKb = 512;   // of pages; beside it SQLite takes some 100 KB
constexpr int kLogPages = 256;  // of the write-ahead log, then its pages go to the file: 1 MB
constexpr int kLongestValue =
    256 * 1024;                        // bytes; results are far shorter, a spoilt length must not be believed
constexpr int kBusyMs = 500;           // another process, an operator's command, has it for a moment
constexpr std::size_t kKeyBytes = 16;  // as stored

struct StoredKey {
  explicit StoredKey(const Key& key) {
    for (int i = 0; i < 8; ++i) {
      bytes[i] = static_cast<char>(key.high >> (56 - 8 * i));
      bytes[8 + i] = static_cast<char>(key.low >> (56 - 8 * i));
    }
  }
  char bytes[kKeyBytes];
};

Key read_key(const void* data) {
  const auto* bytes = static_cast<const unsigned char*>(data);
  Key key;
  for (int i = 0; i < 8; ++i) {
    key.high = key.high << 8 | bytes[i];
    key.low = key.low << 8 | bytes[8 + i];
  }
  return key;
}

// Over all that an intent holds: a page that was changed under us must not become somebody's outcome.
std::int64_t checksum_of(const Row& row) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  const std::uint64_t fields[] = {row.key.high, row.key.low, row.request_id, row.fingerprint,
                                  static_cast<std::uint64_t>(row.expires_at_ms)};
  XXH3_64bits_update(&state, fields, sizeof fields);
  XXH3_64bits_update(&state, row.route.data(), row.route.size());
  return static_cast<std::int64_t>(XXH3_64bits_digest(&state));
}
// The key is part of it: one result is never another key's.
std::int64_t checksum_of(const Key& key, std::string_view result) {
  return static_cast<std::int64_t>(XXH3_64bits_withSeed(result.data(), result.size(), key.high ^ key.low));
}

}  // namespace

// One use of a prepared statement, reset at its end.
class Database::Statement {
 public:
  Statement(Database& database, const char* sql) : database_(database), statement_(database.prepared(sql)) {}
  ~Statement() {
    sqlite3_reset(statement_);
    sqlite3_clear_bindings(statement_);
  }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(const Key& key) {
    const StoredKey stored(key);
    sqlite3_bind_blob(statement_, ++bound_, stored.bytes, kKeyBytes, SQLITE_TRANSIENT);
    return *this;
  }
  Statement& bind(std::int64_t value) {
    sqlite3_bind_int64(statement_, ++bound_, value);
    return *this;
  }
  Statement& bind(std::string_view bytes) {  // valid until the statement's end
    sqlite3_bind_blob(statement_, ++bound_, bytes.data() ? bytes.data() : "", static_cast<int>(bytes.size()),
                      SQLITE_STATIC);
    return *this;
  }
  bool step() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) database_.throw_error(code, "cannot be read or written");
    return false;
  }
  std::int64_t number(int column) { return sqlite3_column_int64(statement_, column); }
  std::string bytes(int column) {
    const void* data = sqlite3_column_blob(statement_, column);
    const int size = sqlite3_column_bytes(statement_, column);
    return data ? std::string(static_cast<const char*>(data), static_cast<std::size_t>(size)) : std::string();
  }
  bool null(int column) { return sqlite3_column_type(statement_, column) == SQLITE_NULL; }

 private:
  Database& database_;
  sqlite3_stmt* statement_;
  int bound_ = 0;
};

void Database::throw_error(int code, const std::string& doing) const {
  const int kind = code & 0xff;
  DatabaseFault fault = DatabaseFault::kUnavailable;
  if (kind == SQLITE_FULL) fault = DatabaseFault::kFull;
  if (kind == SQLITE_CORRUPT) fault = DatabaseFault::kDamaged;
  if (kind == SQLITE_NOTADB) fault = DatabaseFault::kForeign;
  throw DatabaseError(fault, fmt::format("store '{}': {}: {}", path_, doing, sqlite3_errstr(code)));
}

Database::Database(const std::string& path, const Options& options) : path_(path) {
  const int mode =
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX | (options.must_exist ? 0 : SQLITE_OPEN_CREATE);
  const int code = sqlite3_open_v2(path.c_str(), &db_, mode, options.vfs);
  if (code != SQLITE_OK) {
    sqlite3_close(db_);
    throw_error(code, "cannot be opened");
  }
  try {
    sqlite3_extended_result_codes(db_, 1);
    sqlite3_busy_timeout(db_, kBusyMs);
    sqlite3_limit(db_, SQLITE_LIMIT_LENGTH, kLongestValue);
    initialize(options.must_exist);
    run(options.sync_commits ? "pragma synchronous=full" : "pragma synchronous=normal");
    if (options.max_file_bytes > 0) {
      run(fmt::format("pragma max_page_count={}",
                      std::max<std::uint64_t>(16, options.max_file_bytes / kPageBytes))
              .c_str());
    }
  } catch (...) {
    for (const auto& [sql, statement] : statements_) sqlite3_finalize(statement);
    sqlite3_close(db_);
    throw;
  }
}

Database::~Database() {
  for (const auto& [sql, statement] : statements_) sqlite3_finalize(statement);
  sqlite3_close(db_);
}

void Database::initialize(bool must_exist) {
  run(fmt::format("pragma cache_size=-{}", kCacheKb).c_str());
  run("pragma temp_store=memory");
  // A file of somebody else's is told before anything is written to it, the mode of its log included.
  const std::int64_t id = number("pragma application_id"), form = number("pragma user_version");
  const std::int64_t tables = number("select count(*) from sqlite_schema");
  if (tables > 0 && id != kApplicationId)
    throw DatabaseError(DatabaseFault::kForeign, fmt::format("store '{}': is no store of results", path_));
  if (form > kSchemaVersion) {
    throw DatabaseError(DatabaseFault::kNewer,
                        fmt::format("store '{}': written by a newer program (form {}, known up to {})", path_,
                                    form, kSchemaVersion));
  }
  if (tables == 0 && must_exist)
    throw DatabaseError(DatabaseFault::kForeign, fmt::format("store '{}': is empty", path_));
  run("pragma journal_mode=wal");
  run(fmt::format("pragma wal_autocheckpoint={}", kLogPages).c_str());
  run(fmt::format("pragma journal_size_limit={}", kLogPages * kPageBytes).c_str());
  if (tables == 0) {
    std::random_device chance;
    const std::uint64_t seed = std::uint64_t{chance()} << 32 | chance();
    begin();
    run(fmt::format("pragma application_id={}", kApplicationId).c_str());
    run(fmt::format("pragma user_version={}", kSchemaVersion).c_str());
    run("create table meta(name text primary key, value integer not null)");
    run("create table entries(key blob primary key not null, op integer not null, type blob not null,"
        " fingerprint integer not null, until_ms integer not null, sum integer not null, result blob,"
        " result_sum integer)");
    run("create table drops(key blob primary key not null)");
    run(fmt::format("insert into meta values('seed', {})", static_cast<std::int64_t>(seed)).c_str());
    commit();
    is_new_ = true;
  } else {
    Statement check(*this, "pragma quick_check(1)");
    if (!check.step() || check.bytes(0) != "ok")
      throw DatabaseError(DatabaseFault::kDamaged, fmt::format("store '{}': is damaged", path_));
  }
  seed_ = static_cast<std::uint64_t>(number("select value from meta where name='seed'"));
}

void Database::run(const char* sql) {
  const int code = sqlite3_exec(db_, sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) throw_error(code, "cannot be set up or written");
}

std::int64_t Database::number(const char* sql) {
  sqlite3_stmt* statement = nullptr;
  int code = sqlite3_prepare_v2(db_, sql, -1, &statement, nullptr);
  if (code == SQLITE_OK) code = sqlite3_step(statement);
  const std::int64_t value = code == SQLITE_ROW ? sqlite3_column_int64(statement, 0) : 0;
  sqlite3_finalize(statement);
  if (code != SQLITE_ROW && code != SQLITE_DONE) throw_error(code, "cannot be read");
  return value;
}

sqlite3_stmt* Database::prepared(const char* sql) {
  for (const auto& [known, statement] : statements_) {
    if (std::strcmp(known, sql) == 0) return statement;
  }
  sqlite3_stmt* statement = nullptr;
  const int code = sqlite3_prepare_v3(db_, sql, -1, SQLITE_PREPARE_PERSISTENT, &statement, nullptr);
  if (code != SQLITE_OK) throw_error(code, "cannot be read");
  statements_.emplace_back(sql, statement);
  return statement;
}

void Database::begin() { run("begin immediate"); }
void Database::commit() { run("commit"); }
void Database::rollback() noexcept { sqlite3_exec(db_, "rollback", nullptr, nullptr, nullptr); }

void Database::put_intent(const Row& row) {
  Statement put(
      *this,
      "insert or replace into entries(key, op, type, fingerprint, until_ms, sum, result, result_sum)"
      " values(?,?,?,?,?,?,null,null)");
  put.bind(row.key).bind(static_cast<std::int64_t>(row.request_id)).bind(std::string_view(row.route));
  put.bind(static_cast<std::int64_t>(row.fingerprint)).bind(row.expires_at_ms).bind(checksum_of(row));
  put.step();
}

bool Database::put_result(const Key& key, std::string_view result) {
  Statement put(*this, "update entries set result=?, result_sum=? where key=?");
  put.bind(result).bind(checksum_of(key, result)).bind(key);
  put.step();
  return sqlite3_changes(db_) > 0;
}

void Database::erase(const Key& key) {
  Statement put(*this, "delete from entries where key=?");
  put.bind(key).step();
}

std::optional<Row> Database::fetch(const Key& key) {
  Statement get(*this,
                "select op, type, fingerprint, until_ms, sum, result, result_sum from entries where key=?");
  if (!get.bind(key).step()) return std::nullopt;
  Row row;
  row.key = key;
  row.request_id = static_cast<RequestId>(get.number(0));
  row.route = get.bytes(1);
  row.fingerprint = static_cast<Fingerprint>(get.number(2));
  row.expires_at_ms = get.number(3);
  row.has_result = !get.null(5);
  if (row.has_result) row.result = get.bytes(5);
  row.result_bytes = row.result.size();
  if (get.number(4) != checksum_of(row) ||
      (row.has_result && get.number(6) != checksum_of(key, row.result))) {
    throw DatabaseError(DatabaseFault::kDamaged,
                        fmt::format("store '{}': the entry {} is not what was written", path_, to_hex(key)));
  }
  return row;
}

void Database::for_each(const std::function<void(const Row&)>& take) {
  Statement get(
      *this,
      "select key, op, type, fingerprint, until_ms, sum, length(result), result is null from entries"
      " order by until_ms");
  while (get.step()) {
    const std::string key = get.bytes(0);
    Row row;
    if (key.size() == kKeyBytes) row.key = read_key(key.data());
    row.request_id = static_cast<RequestId>(get.number(1));
    row.route = get.bytes(2);
    row.fingerprint = static_cast<Fingerprint>(get.number(3));
    row.expires_at_ms = get.number(4);
    row.has_result = get.number(7) == 0;
    row.result_bytes = static_cast<std::size_t>(get.number(6));
    if (key.size() != kKeyBytes || get.number(5) != checksum_of(row)) {
      throw DatabaseError(DatabaseFault::kDamaged,
                          fmt::format("store '{}': an entry is not what was written", path_));
    }
    take(row);
  }
}

std::vector<std::string> Database::verify() {
  std::vector<std::string> wrong;
  {
    Statement check(*this, "pragma integrity_check(20)");
    while (check.step()) {
      if (const std::string line = check.bytes(0); line != "ok") wrong.push_back(line);
    }
  }
  std::vector<std::string> keys;
  {
    Statement all(*this, "select key from entries");
    while (all.step()) keys.push_back(all.bytes(0));
  }
  for (const std::string& key : keys) {
    if (key.size() != kKeyBytes) {
      wrong.push_back("an entry's key has a wrong length");
      continue;
    }
    try {
      fetch(read_key(key.data()));
    } catch (const DatabaseError& error) {
      wrong.push_back(error.what());
    }
  }
  return wrong;
}

void Database::request_drop(const Key& key) {
  Statement put(*this, "insert or ignore into drops values(?)");
  put.bind(key).step();
}

std::vector<Key> Database::take_drop_requests() {
  std::vector<Key> keys;
  {
    Statement all(*this, "select key from drops limit 1000");
    while (all.step()) {
      if (const std::string key = all.bytes(0); key.size() == kKeyBytes) keys.push_back(read_key(key.data()));
    }
  }
  if (keys.empty()) return keys;
  begin();
  for (const Key& key : keys) {
    Statement gone(*this, "delete from drops where key=?");
    gone.bind(key).step();
  }
  commit();
  return keys;
}

void Database::checkpoint() {
  sqlite3_wal_checkpoint_v2(db_, nullptr, SQLITE_CHECKPOINT_PASSIVE, nullptr, nullptr);
}

Database::Totals Database::totals() {
  Totals totals;
  Statement all(*this,
                "select count(*) - count(result), count(result), coalesce(sum(length(result)), 0),"
                " coalesce(min(until_ms), 0), coalesce(max(until_ms), 0) from entries");
  if (all.step()) {
    totals.intents = static_cast<std::uint64_t>(all.number(0));
    totals.results = static_cast<std::uint64_t>(all.number(1));
    totals.result_bytes = static_cast<std::uint64_t>(all.number(2));
    totals.first_expiry_ms = all.number(3);
    totals.last_expiry_ms = all.number(4);
  }
  totals.file_bytes = static_cast<std::uint64_t>(number("pragma page_count") * kPageBytes);
  return totals;
}

StoreLock::StoreLock(const std::string& path) {
  const std::string name = path + ".lock";
  fd_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd_ < 0) {
    throw DatabaseError(DatabaseFault::kUnavailable,
                        fmt::format("store '{}': cannot make its lock: {}", path, std::strerror(errno)));
  }
  if (::flock(fd_, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd_);
    throw DatabaseError(DatabaseFault::kUnavailable, fmt::format("store '{}': another program has it", path));
  }
}
StoreLock::~StoreLock() { ::close(fd_); }

}  // namespace damsonspoke::results
