// damsonspoke catalog show|check|snapshot|append|compare: what a running backend has in force, and the files
// that backends follow.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

#include "app/commands.h"
#include "catalog/folder.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

namespace cat = catalog;

constexpr double kControlTimeoutSeconds = 2;                       // s
constexpr std::size_t kMaxDifferencesShown = 20;                   // differences
constexpr cat::CatalogLimits kToolLimits{1000000, 4000000, true};  // what a directive may allow at most

std::string folder_of(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty()) throw WrongUse("no folder: give --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.catalog.folder;
  if (folder.empty()) throw WrongUse(fmt::format("{} names no folder for the catalog", path));
  return folder;
}

int check(const std::string& folder) {
  const cat::LoadedFolder loaded = cat::load_folder(folder, kToolLimits);
  for (const cat::FollowerMessage& message : loaded.messages)
    if (message.is_error) fmt::print("{}\n", message.text);
  const cat::Version version = loaded.catalog->version();
  fmt::print("version {}.{}, {} routes, {} tenants, {} bytes of changes\n", version.epoch, version.sequence,
             loaded.catalog->route_count(), loaded.catalog->tenant_count(), loaded.changes_bytes);
  return loaded.rejected_changes.empty() ? kDone : kFailed;
}

// Of the entries of a file, or of what the folder holds now: then the changes so far can go.
int snapshot(const std::string& folder, const cxxopts::ParseResult& flags) {
  const cat::LoadedFolder loaded = cat::load_folder(folder, kToolLimits);
  const cat::Version now = loaded.catalog->version();
  cat::Version version = now;
  cat::HistoryDigest history = loaded.catalog->history();
  std::string lines;
  if (flags.count("entries") > 0) {
    lines = cat::read_lines(flags["entries"].as<std::string>());
    version = {flags["epoch"].as<std::uint64_t>(), now.sequence + 1};
    if (version.epoch < now.epoch)
      throw cat::CatalogFileError(fmt::format("epoch {} is lower than {}", version.epoch, now.epoch));
    history = cat::extend_history(history, lines);
  } else {
    lines = cat::encode_entries(*loaded.catalog);
  }
  cat::write_snapshot(folder, version, history, lines);
  fmt::print("version {}.{}, {} bytes\n", version.epoch, version.sequence, lines.size());
  return kDone;
}

int append(const std::string& folder, const cxxopts::ParseResult& flags) {
  if (flags.count("entries") == 0) throw WrongUse("no changes: give --entries FILE");
  const std::string lines = cat::read_lines(flags["entries"].as<std::string>());
  if (lines.empty()) throw WrongUse("the file has no change");
  const cat::Version version =
      cat::append_changes(folder, flags["epoch"].as<std::uint64_t>(), lines, kToolLimits);
  fmt::print("version {}.{}\n", version.epoch, version.sequence);
  return kDone;
}

int compare(const std::string& folder, const cxxopts::ParseResult& flags) {
  if (flags.count("other") == 0) throw WrongUse("nothing to compare with: give --other FOLDER");
  const cat::LoadedFolder one = cat::load_folder(folder, kToolLimits);
  const cat::LoadedFolder other = cat::load_folder(flags["other"].as<std::string>(), kToolLimits);
  const std::string a = cat::encode_entries(*one.catalog), b = cat::encode_entries(*other.catalog);
  std::size_t differences = 0, at_a = 0, at_b = 0;
  const auto line_at = [](const std::string& text, std::size_t at) {
    return text.substr(at, text.find('\n', at) - at);
  };
  while (at_a < a.size() || at_b < b.size()) {
    const std::string x = at_a < a.size() ? line_at(a, at_a) : std::string();
    const std::string y = at_b < b.size() ? line_at(b, at_b) : std::string();
    const bool only_a = at_b >= b.size() || (at_a < a.size() && x < y);
    const bool only_b = at_a >= a.size() || (at_b < b.size() && y < x);
    if ((only_a || only_b) && ++differences <= kMaxDifferencesShown)
      fmt::print("{} {}\n", only_a ? "-" : "+", only_a ? x : y);
    if (!only_b) at_a += x.size() + 1;
    if (!only_a) at_b += y.size() + 1;
  }
  const cat::Version v = one.catalog->version(), w = other.catalog->version();
  const bool same_history = one.catalog->history() == other.catalog->history();
  fmt::print("versions {}.{} and {}.{}, histories {}, {} entries differ\n", v.epoch, v.sequence, w.epoch,
             w.sequence, same_history ? "the same" : "differ", differences);
  return differences == 0 && v == w && same_history ? kDone : kFailed;
}

}  // namespace

int catalog_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action == "show") {
    fmt::print("{}", control::ask(control_folder(flags), {"catalog"}, kControlTimeoutSeconds));
    return kDone;
  }
  if (action == "check") return check(folder_of(flags));
  if (action == "snapshot") return snapshot(folder_of(flags), flags);
  if (action == "append") return append(folder_of(flags), flags);
  if (action == "compare") return compare(folder_of(flags), flags);
  throw WrongUse("catalog takes show, check, snapshot, append or compare");
}

}  // namespace damsonspoke
