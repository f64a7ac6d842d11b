#include "results/database.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#define XXH_STATIC_LINKING_ONLY  // permits a hash state on the stack
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <random>

namespace damsonspoke::results {
namespace {

constexpr int kApplicationId =
    0x64616d73;  // "dams": distinguishes results stores from other SQLite databases
constexpr int kPageBytes = 4096;
constexpr std::uint64_t kMinPages = 16;
constexpr int kPageCacheKb = 512;
constexpr int kMaxLogPages = 256;           // of the write-ahead log, before it is copied into the file
constexpr int kMaxValueBytes = 256 * 1024;  // bounds what a corrupt length allocates; results are far shorter
constexpr int kBusyTimeoutMs = 500;         // wait for an operator's command that has locked the database
constexpr std::size_t kKeyBytes = 16;       // as stored, big endian
constexpr mode_t kLockFileMode = 0644;
constexpr int kPrimaryCodeMask = 0xff;  // of SQLite's extended result codes

using StoredKey = std::array<char, kKeyBytes>;

StoredKey encode_key(const Key& key) {
  StoredKey bytes{};
  for (std::size_t i = 0; i < 8; ++i) {
    bytes[i] = static_cast<char>(key.high >> (56 - 8 * i));
    bytes[8 + i] = static_cast<char>(key.low >> (56 - 8 * i));
  }
  return bytes;
}

// Returns nullopt if the stored value does not have the length of a key.
std::optional<Key> decode_key(std::string_view bytes) {
  if (bytes.size() != kKeyBytes) return std::nullopt;
  Key key;
  for (std::size_t i = 0; i < 8; ++i) {
    key.high = key.high << 8 | static_cast<unsigned char>(bytes[i]);
    key.low = key.low << 8 | static_cast<unsigned char>(bytes[8 + i]);
  }
  return key;
}

// The checksum of an intent record covers all its fields.
std::int64_t checksum_of(const Row& row) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  const std::array<std::uint64_t, 5> fields = {row.key.high, row.key.low, row.request_id, row.fingerprint,
                                               static_cast<std::uint64_t>(row.expires_at_ms)};
  XXH3_64bits_update(&state, fields.data(), sizeof fields);
  XXH3_64bits_update(&state, row.route.data(), row.route.size());
  return static_cast<std::int64_t>(XXH3_64bits_digest(&state));
}

// The checksum of a result. It covers the key, so that a result is never accepted for another key.
std::int64_t checksum_of(const Key& key, std::string_view result) {
  return static_cast<std::int64_t>(XXH3_64bits_withSeed(result.data(), result.size(), key.high ^ key.low));
}

DatabaseFault fault_of(int code) {
  switch (code & kPrimaryCodeMask) {
    case SQLITE_FULL: return DatabaseFault::kFull;
    case SQLITE_CORRUPT: return DatabaseFault::kDamaged;
    case SQLITE_NOTADB: return DatabaseFault::kUnrecognized;
    default: return DatabaseFault::kUnavailable;
  }
}

std::uint64_t random_seed() {
  std::random_device device;
  const std::uint64_t high = device();
  return high << 32 | device();
}

}  // namespace

void Database::CloseConnection::operator()(sqlite3* connection) const { sqlite3_close(connection); }
void Database::FinalizeStatement::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

// One execution of a prepared statement; the destructor resets the statement. Values are bound in order.
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
    const StoredKey bytes = encode_key(key);
    sqlite3_bind_blob(statement_, ++bound_, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& bind(std::int64_t value) {
    sqlite3_bind_int64(statement_, ++bound_, value);
    return *this;
  }
  // The bytes must outlive this object.
  Statement& bind(std::string_view bytes) {
    const char* const data = bytes.data() == nullptr ? "" : bytes.data();  // a null pointer would bind NULL
    sqlite3_bind_blob(statement_, ++bound_, data, static_cast<int>(bytes.size()), SQLITE_STATIC);
    return *this;
  }

  // Advances to the next row. Returns false if there is none.
  bool step() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) database_.throw_error(code, "cannot execute a statement");
    return false;
  }
  std::int64_t number(int column) { return sqlite3_column_int64(statement_, column); }
  std::string bytes(int column) {
    const void* data = sqlite3_column_blob(statement_, column);
    const int size = sqlite3_column_bytes(statement_, column);
    if (data == nullptr) return {};
    return {static_cast<const char*>(data), static_cast<std::size_t>(size)};
  }
  bool is_null(int column) { return sqlite3_column_type(statement_, column) == SQLITE_NULL; }

 private:
  Database& database_;
  sqlite3_stmt* statement_;
  int bound_ = 0;
};

void Database::throw_fault(DatabaseFault fault, std::string_view problem) const {
  throw DatabaseError(fault, fmt::format("store '{}': {}", path_, problem));
}

void Database::throw_error(int code, std::string_view problem) const {
  throw_fault(fault_of(code), fmt::format("{}: {}", problem, sqlite3_errstr(code)));
}

// ---- Opening.

Database::Database(const std::string& path, const Options& options) : path_(path) {
  open(options);
  initialize(options.must_exist);
  run(options.sync_commits ? "pragma synchronous=full" : "pragma synchronous=normal");
  if (options.max_file_bytes == 0) return;
  run(fmt::format("pragma max_page_count={}", std::max(kMinPages, options.max_file_bytes / kPageBytes)));
}

Database::~Database() = default;

void Database::open(const Options& options) {
  const int creation = options.must_exist ? 0 : SQLITE_OPEN_CREATE;
  const int mode = SQLITE_OPEN_READWRITE | SQLITE_OPEN_NOMUTEX | creation;
  sqlite3* connection = nullptr;
  const int code = sqlite3_open_v2(path_.c_str(), &connection, mode, options.vfs);
  connection_.reset(connection);  // must be closed even if opening fails
  if (code != SQLITE_OK) throw_error(code, "cannot be opened");
  sqlite3_extended_result_codes(connection, 1);
  sqlite3_busy_timeout(connection, kBusyTimeoutMs);
  sqlite3_limit(connection, SQLITE_LIMIT_LENGTH, kMaxValueBytes);
}

void Database::initialize(bool must_exist) {
  run(fmt::format("pragma cache_size=-{}", kPageCacheKb));
  run("pragma temp_store=memory");
  const std::int64_t tables = read_number("select count(*) from sqlite_schema");
  // Must come before anything is written, including the journal mode: a file of another program must not be
  // changed.
  check_schema(tables, must_exist);
  run("pragma journal_mode=wal");
  run(fmt::format("pragma wal_autocheckpoint={}", kMaxLogPages));
  run(fmt::format("pragma journal_size_limit={}", kMaxLogPages * kPageBytes));
  if (tables == 0) {
    create_tables();
  } else {
    check_integrity();
  }
  seed_ = static_cast<std::uint64_t>(read_number("select value from meta where name='seed'"));
}

void Database::check_schema(std::int64_t tables, bool must_exist) {
  const std::int64_t application_id = read_number("pragma application_id");
  const std::int64_t version = read_number("pragma user_version");
  if (tables > 0 && application_id != kApplicationId)
    throw_fault(DatabaseFault::kUnrecognized, "not a results store");
  if (version > kSchemaVersion) {
    throw_fault(DatabaseFault::kNewerSchema,
                fmt::format("written by a newer program (schema version {}, supported up to {})", version,
                            kSchemaVersion));
  }
  if (tables == 0 && must_exist) throw_fault(DatabaseFault::kUnrecognized, "the database is empty");
}

void Database::create_tables() {
  begin();
  run(fmt::format("pragma application_id={}", kApplicationId));
  run(fmt::format("pragma user_version={}", kSchemaVersion));
  run("create table meta(name text primary key, value integer not null)");
  run("create table entries(key blob primary key not null, op integer not null, type blob not null,"
      " fingerprint integer not null, until_ms integer not null, sum integer not null, result blob,"
      " result_sum integer)");
  run("create table drops(key blob primary key not null)");
  run(fmt::format("insert into meta values('seed', {})", static_cast<std::int64_t>(random_seed())));
  commit();
  is_new_ = true;
}

void Database::check_integrity() {
  Statement check(*this, "pragma quick_check(1)");
  if (!check.step() || check.bytes(0) != "ok") throw_fault(DatabaseFault::kDamaged, "integrity check failed");
}

// ---- Statements.

void Database::run(const std::string& sql) {
  const int code = sqlite3_exec(connection_.get(), sql.c_str(), nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) throw_error(code, "cannot be initialized or written");
}

std::int64_t Database::read_number(const char* sql) {
  sqlite3_stmt* statement = nullptr;
  int code = sqlite3_prepare_v2(connection_.get(), sql, -1, &statement, nullptr);
  const StatementHandle owner(statement);
  if (code == SQLITE_OK) code = sqlite3_step(statement);
  if (code != SQLITE_ROW && code != SQLITE_DONE) throw_error(code, "cannot read a number");
  return code == SQLITE_ROW ? sqlite3_column_int64(statement, 0) : 0;
}

sqlite3_stmt* Database::prepared(const char* sql) {
  for (const auto& [text, statement] : statements_) {
    if (std::strcmp(text, sql) == 0) return statement.get();
  }
  sqlite3_stmt* statement = nullptr;
  const int code =
      sqlite3_prepare_v3(connection_.get(), sql, -1, SQLITE_PREPARE_PERSISTENT, &statement, nullptr);
  if (code != SQLITE_OK) throw_error(code, "cannot prepare a statement");
  statements_.emplace_back(sql, StatementHandle(statement));
  return statement;
}

void Database::begin() { run("begin immediate"); }
void Database::commit() { run("commit"); }
void Database::rollback() noexcept { sqlite3_exec(connection_.get(), "rollback", nullptr, nullptr, nullptr); }

// ---- Entries.

void Database::put_intent(const Row& row) {
  Statement insert(
      *this,
      "insert or replace into entries(key, op, type, fingerprint, until_ms, sum, result, result_sum)"
      " values(?,?,?,?,?,?,null,null)");
  insert.bind(row.key).bind(static_cast<std::int64_t>(row.request_id)).bind(std::string_view(row.route));
  insert.bind(static_cast<std::int64_t>(row.fingerprint)).bind(row.expires_at_ms).bind(checksum_of(row));
  insert.step();
}

bool Database::put_result(const Key& key, std::string_view result) {
  Statement update(*this, "update entries set result=?, result_sum=? where key=?");
  update.bind(result).bind(checksum_of(key, result)).bind(key);
  update.step();
  return sqlite3_changes(connection_.get()) > 0;
}

void Database::erase(const Key& key) {
  Statement remove(*this, "delete from entries where key=?");
  remove.bind(key).step();
}

std::optional<Row> Database::fetch(const Key& key) {
  Statement select(
      *this, "select op, type, fingerprint, until_ms, sum, result, result_sum from entries where key=?");
  if (!select.bind(key).step()) return std::nullopt;
  Row row;
  row.key = key;
  row.request_id = static_cast<RequestId>(select.number(0));
  row.route = select.bytes(1);
  row.fingerprint = static_cast<Fingerprint>(select.number(2));
  row.expires_at_ms = select.number(3);
  row.has_result = !select.is_null(5);
  if (row.has_result) row.result = select.bytes(5);
  row.result_bytes = row.result.size();
  const bool is_intact = select.number(4) == checksum_of(row) &&
                         (!row.has_result || select.number(6) == checksum_of(key, row.result));
  if (!is_intact)
    throw_fault(DatabaseFault::kDamaged, fmt::format("checksum mismatch in entry {}", to_hex(key)));
  return row;
}

void Database::for_each(const std::function<void(const Row&)>& visit) {
  Statement select(
      *this,
      "select key, op, type, fingerprint, until_ms, sum, length(result), result is null from entries"
      " order by until_ms");
  while (select.step()) {
    const std::optional<Key> key = decode_key(select.bytes(0));
    Row row;
    row.key = key.value_or(Key{});
    row.request_id = static_cast<RequestId>(select.number(1));
    row.route = select.bytes(2);
    row.fingerprint = static_cast<Fingerprint>(select.number(3));
    row.expires_at_ms = select.number(4);
    row.has_result = select.number(7) == 0;
    row.result_bytes = static_cast<std::size_t>(select.number(6));
    if (!key || select.number(5) != checksum_of(row))
      throw_fault(DatabaseFault::kDamaged, "checksum mismatch in an entry");
    visit(row);
  }
}

std::vector<std::string> Database::stored_keys() {
  std::vector<std::string> keys;
  Statement select(*this, "select key from entries");
  while (select.step()) keys.push_back(select.bytes(0));
  return keys;
}

std::vector<std::string> Database::verify() {
  std::vector<std::string> problems;
  {
    Statement check(*this, "pragma integrity_check(20)");
    while (check.step()) {
      std::string line = check.bytes(0);
      if (line != "ok") problems.push_back(std::move(line));
    }
  }
  for (const std::string& stored : stored_keys()) {
    const std::optional<Key> key = decode_key(stored);
    if (!key) {
      problems.emplace_back("the key of an entry has a wrong length");
      continue;
    }
    try {
      fetch(*key);
    } catch (const DatabaseError& error) {
      problems.emplace_back(error.what());
    }
  }
  return problems;
}

// ---- Operators' requests, maintenance.

void Database::request_drop(const Key& key) {
  Statement insert(*this, "insert or ignore into drops values(?)");
  insert.bind(key).step();
}

std::vector<Key> Database::take_drop_requests() {
  std::vector<Key> keys;
  {
    Statement select(*this, "select key from drops limit 1000");
    while (select.step()) {
      if (const std::optional<Key> key = decode_key(select.bytes(0))) keys.push_back(*key);
    }
  }
  if (keys.empty()) return keys;
  begin();
  for (const Key& key : keys) {
    Statement remove(*this, "delete from drops where key=?");
    remove.bind(key).step();
  }
  commit();
  return keys;
}

void Database::checkpoint() {
  sqlite3_wal_checkpoint_v2(connection_.get(), nullptr, SQLITE_CHECKPOINT_PASSIVE, nullptr, nullptr);
}

Database::Totals Database::totals() {
  Totals totals;
  Statement select(*this,
                   "select count(*) - count(result), count(result), coalesce(sum(length(result)), 0),"
                   " coalesce(min(until_ms), 0), coalesce(max(until_ms), 0) from entries");
  if (select.step()) {
    totals.intents = static_cast<std::uint64_t>(select.number(0));
    totals.results = static_cast<std::uint64_t>(select.number(1));
    totals.result_bytes = static_cast<std::uint64_t>(select.number(2));
    totals.first_expiry_ms = select.number(3);
    totals.last_expiry_ms = select.number(4);
  }
  totals.file_bytes = static_cast<std::uint64_t>(read_number("pragma page_count") * kPageBytes);
  return totals;
}

// ---- The lock.

StoreLock::StoreLock(const std::string& path) {
  const std::string name = path + ".lock";
  fd_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode);
  if (fd_ < 0) {
    throw DatabaseError(
        DatabaseFault::kUnavailable,
        fmt::format("store '{}': cannot create the lock file: {}", path, std::strerror(errno)));
  }
  if (::flock(fd_, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd_);
    throw DatabaseError(DatabaseFault::kUnavailable,
                        fmt::format("store '{}': in use by another process", path));
  }
}

StoreLock::~StoreLock() { ::close(fd_); }

}  // namespace damsonspoke::results
