// damsonspoke knowledge show|verify|forget: what a folder of knowledge holds, and what would be believed of
// it.
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

#include "app/commands.h"
#include "statistics/statistics_store.h"

namespace damsonspoke {
namespace {

double now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string folder_of(const cxxopts::ParseResult& flags) {
  if (flags.count("folder") > 0) return flags["folder"].as<std::string>();
  const std::string path = operator_path(flags);
  if (path.empty()) throw WrongUse("no folder: give --folder FOLDER, or an operators' file that names one");
  std::string folder = read_operator_file(path).options.knowledge.folder;
  if (folder.empty()) throw WrongUse(fmt::format("{} names no folder for knowledge", path));
  return folder;
}

std::string shown(const LearnedDurations& times) {
  double count = 0;
  for (const double n : times.bins) count += n;
  return count > 0 ? fmt::format("{:.4f} s of {:.1f} values", times.sum / count, count) : "nothing";
}

int show(const statistics::Reading& read) {
  if (!read.record) {
    fmt::print("{}\n", read.problem);
    return kFailed;
  }
  const statistics::StatisticsRecord& r = *read.record;
  fmt::print("written   {:.0f} s ago by {}, which had lived {:.0f} s{}\n", now() - r.written, r.site, r.lived,
             read.older ? " (the generation before)" : "");
  fmt::print("cores     {}\nbad spell {}\nlives that began with it and did not last: {}\n", r.cores,
             r.troubled ? "yes" : "no", read.starts);
  fmt::print("{:<20}{:<36}{}\n", "op type", "runs, mean", "at calls, mean");
  for (const statistics::RouteRecord& t : r.types)
    fmt::print("{:<20}{:<36}{}\n", t.name, shown(t.run), shown(t.away));
  fmt::print("calls     {}\nreturns   {:.2f}\n", shown(r.calls), r.returns);
  return kDone;
}

}  // namespace

int knowledge_command(const cxxopts::ParseResult& flags) {
  const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
  if (action != "show" && action != "verify" && action != "forget")
    throw WrongUse("knowledge takes show, verify or forget");
  const std::string path = folder_of(flags);
  const std::unique_ptr<store::FileSystem> disk = store::open_folder(path);
  statistics::StatisticsFolder folder(*disk);
  if (action == "forget") {
    if (!disk->try_lock()) throw SettingsError(text_of(disk->last_error()));
    folder.forget();
    fmt::print("{}: forgotten\n", path);
    return kDone;
  }
  const statistics::Reading read = folder.read();
  if (action == "show") return show(read);
  fmt::print("{}: {}{}\n", path, read.problem.empty() ? "sound" : read.problem,
             read.older ? ", the generation before is used" : "");
  return read.problem.empty() && !read.older ? kDone : kFailed;
}

}  // namespace damsonspoke
