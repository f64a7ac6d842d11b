// `damsonspoke statistics show|verify|forget`: shows, verifies or deletes the learned statistics in a folder,
// also while a running program uses it (`forget` fails then).
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <numeric>

#include "app/commands.h"
#include "statistics/statistics_store.h"

namespace damsonspoke {
namespace {

double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string folder_of(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty())
    throw UsageError("no statistics folder: use --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.statistics.folder;
  if (folder.empty()) throw UsageError(fmt::format("{}: no 'folder' in section 'knowledge'", path));
  return folder;
}

std::string mean_text(const LearnedDurations& durations) {
  const double count = std::accumulate(durations.bins.begin(), durations.bins.end(), 0.0);
  return count > 0 ? fmt::format("{:.4f} s of {:.1f} values", durations.sum / count, count) : "nothing";
}

// The texts of the output are part of the command's interface: operators' scripts parse them.
int show(const statistics::RecordReadResult& reading) {
  if (!reading.record) {
    fmt::print("{}\n", text_of(reading.problem));
    return kExitFailure;
  }
  const statistics::StatisticsRecord& record = *reading.record;
  fmt::print("written   {:.0f} s ago by {}, which had lived {:.0f} s{}\n", unix_now() - record.written_at,
             record.server_name, record.uptime_seconds,
             reading.is_previous ? " (the generation before)" : "");
  fmt::print("cores     {}\nbad spell {}\nlives that began with it and did not last: {}\n", record.cores,
             record.under_pressure ? "yes" : "no", reading.failed_starts);
  fmt::print("{:<20}{:<36}{}\n", "op type", "runs, mean", "at calls, mean");
  for (const statistics::RouteRecord& route : record.routes)
    fmt::print("{:<20}{:<36}{}\n", route.name, mean_text(route.run), mean_text(route.call));
  fmt::print("calls     {}\nreturns   {:.2f}\n", mean_text(record.calls), record.returning_share);
  return kExitSuccess;
}

int verify(const std::string& path, const statistics::RecordReadResult& reading) {
  const bool is_intact = reading.problem == statistics::ReadProblem::kNone;
  fmt::print("{}: {}{}\n", path, is_intact ? "sound" : text_of(reading.problem),
             reading.is_previous ? ", the generation before is used" : "");
  return is_intact && !reading.is_previous ? kExitSuccess : kExitFailure;
}

int forget(const std::string& path, store::FileSystem& file_system) {
  if (!file_system.try_lock()) throw SettingsError(text_of(file_system.last_error()));
  statistics::StatisticsFolder(file_system).remove();
  fmt::print("{}: forgotten\n", path);
  return kExitSuccess;
}

}  // namespace

int statistics_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action != "show" && action != "verify" && action != "forget")
    throw UsageError("statistics takes show, verify or forget");
  const std::string path = folder_of(flags);
  const std::unique_ptr<store::FileSystem> file_system = store::open_folder(path);
  if (action == "forget") return forget(path, *file_system);
  const statistics::RecordReadResult reading = statistics::StatisticsFolder(*file_system).read();
  return action == "show" ? show(reading) : verify(path, reading);
}

}  // namespace damsonspoke
