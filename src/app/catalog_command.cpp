// `damsonspoke catalog show|check|snapshot|append|compare`: shows the active catalog of a running backend,
// and writes, checks and compares the files that backends read.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

#include "app/commands.h"
#include "catalog/folder.h"
#include "catalog/line_reader.h"
#include "control/server.h"

namespace damsonspoke {
namespace {

namespace cat = catalog;

constexpr double kControlTimeoutSeconds = 2;
constexpr std::size_t kMaxDifferencesShown = 20;
constexpr cat::CatalogLimits kToolLimits{1000000, 4000000, true};  // the maxima of the directives

std::string choose_folder(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty())
    throw UsageError("no catalog folder: use --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.catalog.folder;
  if (folder.empty()) throw UsageError(fmt::format("{}: no 'folder' in section 'catalog'", path));
  return folder;
}

int check(const std::string& folder) {
  const cat::LoadedFolder loaded = cat::load_folder(folder, kToolLimits);
  for (const cat::FollowerMessage& message : loaded.messages)
    if (message.is_error) fmt::print("{}\n", message.text);
  const cat::Version version = loaded.catalog->version();
  fmt::print("version {}.{}, {} routes, {} tenants, {} bytes of changes\n", version.epoch, version.sequence,
             loaded.catalog->route_count(), loaded.catalog->tenant_count(), loaded.changes_bytes);
  return loaded.rejected_changes.empty() ? kExitSuccess : kExitFailure;
}

// Writes a snapshot of the entries of a file or, without one, of the present content of the folder, which
// makes the file of changes redundant.
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
      throw cat::CatalogFileError(
          fmt::format("epoch {} is lower than the epoch {} of the folder", version.epoch, now.epoch));
    history = cat::extend_history(history, lines);
  } else {
    lines = cat::encode_entries(*loaded.catalog);
  }
  cat::write_snapshot(folder, version, history, lines);
  fmt::print("version {}.{}, {} bytes\n", version.epoch, version.sequence, lines.size());
  return kExitSuccess;
}

int append(const std::string& folder, const cxxopts::ParseResult& flags) {
  if (flags.count("entries") == 0) throw UsageError("no changes: use --entries FILE");
  const std::string lines = cat::read_lines(flags["entries"].as<std::string>());
  if (lines.empty()) throw UsageError("the file of --entries contains no change");
  const cat::Version version =
      cat::append_changes(folder, flags["epoch"].as<std::uint64_t>(), lines, kToolLimits);
  fmt::print("version {}.{}\n", version.epoch, version.sequence);
  return kExitSuccess;
}

// Compares two sorted texts and prints the first lines that are in only one of them. Returns their total
// number.
std::size_t print_differences(const std::string& left, const std::string& right) {
  std::size_t differences = 0;
  const auto print = [&](char side, std::string_view line) {
    if (++differences <= kMaxDifferencesShown) fmt::print("{} {}\n", side, line);
  };
  std::size_t left_offset = 0;
  std::size_t right_offset = 0;
  std::optional<std::string_view> left_line = cat::next_line(left, left_offset);
  std::optional<std::string_view> right_line = cat::next_line(right, right_offset);
  while (left_line || right_line) {
    const bool is_only_left = left_line && (!right_line || *left_line < *right_line);
    const bool is_only_right = right_line && (!left_line || *right_line < *left_line);
    if (is_only_left) print('-', *left_line);
    if (is_only_right) print('+', *right_line);
    if (!is_only_right) left_line = cat::next_line(left, left_offset);
    if (!is_only_left) right_line = cat::next_line(right, right_offset);
  }
  return differences;
}

int compare(const std::string& folder, const cxxopts::ParseResult& flags) {
  if (flags.count("other") == 0) throw UsageError("no folder to compare with: use --other FOLDER");
  const cat::LoadedFolder left = cat::load_folder(folder, kToolLimits);
  const cat::LoadedFolder right = cat::load_folder(flags["other"].as<std::string>(), kToolLimits);
  const std::size_t differences =
      print_differences(cat::encode_entries(*left.catalog), cat::encode_entries(*right.catalog));
  const cat::Version left_version = left.catalog->version();
  const cat::Version right_version = right.catalog->version();
  const bool same_history = left.catalog->history() == right.catalog->history();
  fmt::print("versions {} and {}, histories {}, {} entries differ\n", cat::to_string(left_version),
             cat::to_string(right_version), same_history ? "the same" : "differ", differences);
  return differences == 0 && left_version == right_version && same_history ? kExitSuccess : kExitFailure;
}

}  // namespace

int catalog_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action == "show") {
    fmt::print("{}", control::send_query(control_folder(flags), {"catalog"}, kControlTimeoutSeconds));
    return kExitSuccess;
  }
  if (action == "check") return check(choose_folder(flags));
  if (action == "snapshot") return snapshot(choose_folder(flags), flags);
  if (action == "append") return append(choose_folder(flags), flags);
  if (action == "compare") return compare(choose_folder(flags), flags);
  throw UsageError("catalog takes show, check, snapshot, append or compare");
}

}  // namespace damsonspoke
