// damsonspoke results stat|list|verify|drop: a store of results, at rest or in use by a running program.
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

#include "app/commands.h"
#include "results/database.h"

namespace damsonspoke {
namespace {

using results::Database;
using results::DatabaseError;
using results::Key;
using results::Row;

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string store_path(const cxxopts::ParseResult& flags) {
  if (flags.count("store") > 0) return flags["store"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty()) throw WrongUse("no store: give --store FILE, or an operators' file that names one");
  std::string store = read_operator_file(path).options.results.store;
  if (store.empty()) throw WrongUse(fmt::format("{} names no store", path));
  return store;
}

std::string left(std::int64_t until_ms) {
  const double seconds = static_cast<double>(until_ms - now_ms()) / 1000;
  return seconds <= 0 ? "over" : fmt::format("{:.1f} s", seconds);
}

bool in_use(const std::string& path) {
  try {
    const results::StoreLock lock(path);
    return false;
  } catch (const DatabaseError&) {
    return true;
  }
}

int stat(Database& database, const std::string& path) {
  const Database::Totals totals = database.totals();
  fmt::print(
      "store    {}\nform     {}\nin use   {}\nintents  {}\nresults  {}\nbytes    {} in results, {} in the "
      "file\n",
      path, Database::kSchemaVersion, in_use(path) ? "yes" : "no", totals.intents, totals.results,
      totals.result_bytes, totals.file_bytes);
  if (totals.intents + totals.results > 0)
    fmt::print("windows  soonest {}, latest {}\n", left(totals.first_expiry_ms), left(totals.last_expiry_ms));
  return kDone;
}

int list(Database& database, std::size_t most) {
  std::size_t shown = 0, more = 0;
  fmt::print("{:<33}{:<17}{:<16}{:<8}{:>7}  {}\n", "key", "op", "op type", "state", "bytes", "window");
  database.for_each([&](const Row& row) {
    if (shown >= most) return static_cast<void>(++more);
    ++shown;
    fmt::print("{:<33}{:016x} {:<16}{:<8}{:>7}  {}\n", to_hex(row.key), row.request_id, row.route,
               row.has_result ? "result" : "intent", row.result_bytes, left(row.expires_at_ms));
  });
  if (more > 0) fmt::print("and {} more; --limit shows more\n", more);
  return kDone;
}

int verify(Database& database, const std::string& path) {
  const std::vector<std::string> wrong = database.verify();
  for (const std::string& line : wrong) fmt::print("{}\n", line);
  fmt::print("{}: {}\n", path, wrong.empty() ? "sound" : fmt::format("{} things wrong", wrong.size()));
  return wrong.empty() ? kDone : kFailed;
}

// A program that has the store is asked; otherwise it is done here.
int drop(Database& database, const std::string& path, const cxxopts::ParseResult& flags) {
  std::vector<Key> keys;
  const bool expired = flags.count("expired") > 0;
  if (flags.count("key") > 0) {
    Key key;
    const std::string text = flags["key"].as<std::string>();
    if (!results::parse_key(text, key)) throw WrongUse(fmt::format("'{}' is no key of 32 hex digits", text));
    if (!database.fetch(key)) {
      fmt::print("{}: no such key\n", text);
      return kFailed;
    }
    keys.push_back(key);
  } else if (expired || flags.count("all") > 0) {
    const std::int64_t now = now_ms();
    database.for_each([&](const Row& row) {
      if (!expired || row.expires_at_ms <= now) keys.push_back(row.key);
    });
  } else {
    throw WrongUse("results drop takes --key KEY, --expired or --all; a dropped key's op may run again");
  }
  const bool ask = in_use(path);
  database.begin();
  for (const Key& key : keys) ask ? database.request_drop(key) : database.erase(key);
  database.commit();
  fmt::print("{} {}\n", keys.size(),
             ask ? "keys asked of the running program, which drops what has ended" : "keys dropped");
  return kDone;
}

}  // namespace

int results_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action != "stat" && action != "list" && action != "verify" && action != "drop")
    throw WrongUse("results takes stat, list, verify or drop");
  const std::string path = store_path(flags);
  Database::Options how;
  how.must_exist = true;
  Database database(path, how);
  if (action == "stat") return stat(database, path);
  if (action == "list") return list(database, flags["limit"].as<std::size_t>());
  if (action == "verify") return verify(database, path);
  return drop(database, path, flags);
}

}  // namespace damsonspoke
