// `damsonspoke results stat|list|verify|drop`: inspects a results store or drops entries of it, also while a
// running program uses it.
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <optional>

#include "app/commands.h"
#include "results/database.h"

namespace damsonspoke {
namespace {

using results::Database;
using results::DatabaseError;
using results::Key;
using results::Row;

constexpr double kMillisecondsPerSecond = 1000;

std::int64_t unix_now_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::string store_path(const cxxopts::ParseResult& flags) {
  if (flags.count("store") > 0) return flags["store"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty()) throw UsageError("no store: use --store FILE, or an operators' file that names one");
  std::string store = read_operator_file(path).options.results.store;
  if (store.empty()) throw UsageError(fmt::format("{}: no 'store' in section 'results'", path));
  return store;
}

std::string remaining_text(std::int64_t expires_at_ms) {
  const double seconds = static_cast<double>(expires_at_ms - unix_now_ms()) / kMillisecondsPerSecond;
  return seconds <= 0 ? "over" : fmt::format("{:.1f} s", seconds);
}

bool is_in_use(const std::string& path) {
  try {
    const results::StoreLock lock(path);
    return false;
  } catch (const DatabaseError&) {
    return true;
  }
}

int stat(Database& database, const std::string& path) {
  const Database::Totals totals = database.totals();
  fmt::print("store    {}\n", path);
  fmt::print("form     {}\n", Database::kSchemaVersion);
  fmt::print("in use   {}\n", is_in_use(path) ? "yes" : "no");
  fmt::print("intents  {}\n", totals.intents);
  fmt::print("results  {}\n", totals.results);
  fmt::print("bytes    {} in results, {} in the file\n", totals.result_bytes, totals.file_bytes);
  if (totals.intents + totals.results > 0) {
    fmt::print("windows  soonest {}, latest {}\n", remaining_text(totals.first_expiry_ms),
               remaining_text(totals.last_expiry_ms));
  }
  return kExitSuccess;
}

int list(Database& database, std::size_t max_rows) {
  std::size_t rows = 0;
  fmt::print("{:<33}{:<17}{:<16}{:<8}{:>7}  {}\n", "key", "op", "op type", "state", "bytes", "window");
  database.for_each([&](const Row& row) {
    if (++rows > max_rows) return;
    fmt::print("{:<33}{:016x} {:<16}{:<8}{:>7}  {}\n", to_hex(row.key), row.request_id, row.route,
               row.has_result ? "result" : "intent", row.result_bytes, remaining_text(row.expires_at_ms));
  });
  if (rows > max_rows) fmt::print("and {} more; --limit shows more\n", rows - max_rows);
  return kExitSuccess;
}

int verify(Database& database, const std::string& path) {
  const std::vector<std::string> problems = database.verify();
  for (const std::string& line : problems) fmt::print("{}\n", line);
  fmt::print("{}: {}\n", path,
             problems.empty() ? "sound" : fmt::format("{} problems found", problems.size()));
  return problems.empty() ? kExitSuccess : kExitFailure;
}

std::vector<Key> stored_keys(Database& database, bool only_expired) {
  std::vector<Key> keys;
  const std::int64_t now_ms = unix_now_ms();
  database.for_each([&](const Row& row) {
    if (!only_expired || row.expires_at_ms <= now_ms) keys.push_back(row.key);
  });
  return keys;
}

// If a running program uses the store, requests that it drop the keys, because it also has them in memory;
// otherwise erases them.
void drop_keys(Database& database, const std::string& path, const std::vector<Key>& keys) {
  const bool is_store_in_use = is_in_use(path);
  database.begin();
  for (const Key& key : keys) {
    if (is_store_in_use) {
      database.request_drop(key);
    } else {
      database.erase(key);
    }
  }
  database.commit();
  fmt::print("{} {}\n", keys.size(),
             is_store_in_use
                 ? "keys requested to be dropped by the running program, if their requests have ended"
                 : "keys dropped");
}

int drop(Database& database, const std::string& path, const cxxopts::ParseResult& flags) {
  const bool only_expired = flags.count("expired") > 0;
  if (flags.count("key") > 0) {
    const std::string text = flags["key"].as<std::string>();
    const std::optional<Key> key = results::parse_key(text);
    if (!key) throw UsageError(fmt::format("'{}' is not a key of 32 hex digits", text));
    if (!database.fetch(*key)) {
      fmt::print("{}: no such key\n", text);
      return kExitFailure;
    }
    drop_keys(database, path, {*key});
  } else if (only_expired || flags.count("all") > 0) {
    drop_keys(database, path, stored_keys(database, only_expired));
  } else {
    throw UsageError(
        "results drop takes --key KEY, --expired or --all; the request of a dropped key may run again");
  }
  return kExitSuccess;
}

}  // namespace

int results_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action != "stat" && action != "list" && action != "verify" && action != "drop")
    throw UsageError("results takes stat, list, verify or drop");
  const std::string path = store_path(flags);
  Database::Options options;
  options.must_exist = true;
  Database database(path, options);
  if (action == "stat") return stat(database, path);
  if (action == "list") return list(database, flags["limit"].as<std::size_t>());
  if (action == "verify") return verify(database, path);
  return drop(database, path, flags);
}

}  // namespace damsonspoke
