// damsonspoke-rehearse: rehearsals of whole fleets under faults. `run` plays scripts and judges them,
// `search` draws timelines of faults until one fails and reduces it to a minimal one, `replay` plays scripts
// repeatedly. Exit status: 0 no failure, 1 a rehearsal failed, 2 wrong usage.
#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "rehearsal.h"
#include "rehearsal_search.h"

using namespace damsonspoke::standins;

namespace {

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(fmt::format("cannot read script '{}'", path));
  return {std::istreambuf_iterator<char>(in), {}};
}

struct JudgedRehearsal {
  RehearsalResult result, baseline;
  std::vector<std::string> failures;
};

class RehearsalRunner {
 public:
  explicit RehearsalRunner(const cxxopts::ParseResult& flags)
      : binary_(flags["binary"].as<std::string>()),
        quiet_(flags.count("quiet") > 0),
        always_plays_baseline_(flags.count("report") > 0) {}

  RehearsalResult play(const RehearsalScript& script, const char* variant) {
    Rehearsal rehearsal(binary_, script);
    const bool shows_progress = !quiet_ && ::isatty(STDERR_FILENO) != 0;
    rehearsal.on_progress = [&](const std::string& progress) {
      if (shows_progress) fmt::print(stderr, "\r\033[K{} ({}): {}", script.name, variant, progress);
    };
    RehearsalResult out = rehearsal.play();
    if (shows_progress) fmt::print(stderr, "\r\033[K");
    return out;
  }

  // Compares the judged seconds with those of a rehearsal of the same script without faults (the baseline):
  // the share of the load that is served must be nearly as high.
  JudgedRehearsal judge(const RehearsalScript& script) {
    JudgedRehearsal out;
    out.result = play(script, "with faults");
    out.failures = out.result.failures();
    if (script.faults.empty()) return out;
    // The baseline serves at most the whole load: where that can't change the verdict, it is only played for
    // a report.
    if (!always_plays_baseline_ && out.result.served_share_at_end >= script.min_served_ratio) return out;
    RehearsalScript baseline = script;
    baseline.faults.clear();
    out.baseline = play(baseline, "without faults");
    for (const std::string& line : out.baseline.failures()) out.failures.push_back("without faults: " + line);
    if (out.result.served_share_at_end < script.min_served_ratio * out.baseline.served_share_at_end)
      out.failures.push_back(fmt::format(
          "service did not recover: {:.3f} served in the last {:.1f} s, {:.3f} without faults",
          out.result.served_share_at_end, script.judged_seconds, out.baseline.served_share_at_end));
    return out;
  }

 private:
  const std::string binary_;
  const bool quiet_, always_plays_baseline_;
};

void write_json(const std::string& path, const RehearsalScript& script, const JudgedRehearsal& judged) {
  using nlohmann::json;
  const auto to_json = [](const RehearsalResult& result) {
    json seconds = json::array();
    for (const SecondStats& second : result.seconds)
      seconds.push_back({{"asked", second.requested_weight},
                         {"served", second.served_weight},
                         {"tries", second.attempts},
                         {"nacked", second.rejected},
                         {"failed", second.failed}});
    return json{{"served", result.served_share},
                {"served_last", result.served_share_at_end},
                {"tries_an_op", result.attempts_per_request},
                {"deaths_found_s", result.detection_seconds},
                {"deaths_wrong", result.false_deaths},
                {"counters", result.counters},
                {"seconds", std::move(seconds)}};
  };
  const json report = {{"name", script.name},
                       {"seed", script.seed},
                       {"script", text_of(script)},
                       {"broken", judged.failures},
                       {"faults", judged.result.fault_texts},
                       {"play", to_json(judged.result)},
                       {"calm", to_json(judged.baseline)}};
  std::ofstream(path) << report.dump(2) << '\n';
}

// Plots the service by second, with the faults' times, using gnuplot where it is installed.
void plot(const std::string& stem, const RehearsalScript& script, const JudgedRehearsal& judged) {
  {
    std::ofstream data(stem + ".dat");
    for (std::size_t i = 0; i + 1 < judged.result.seconds.size(); ++i) {
      const auto share = [&](const RehearsalResult& result) {
        return i < result.seconds.size() && result.seconds[i].requested_weight > 0
                   ? result.seconds[i].served_weight / result.seconds[i].requested_weight
                   : 0;
      };
      const SecondStats& second = judged.result.seconds[i];
      data << fmt::format("{} {:.4f} {:.4f} {}\n", static_cast<double>(i) + 0.5, share(judged.result),
                          share(judged.baseline), second.rejected);
    }
    std::ofstream plot_file(stem + ".gp");
    plot_file << fmt::format(
        "set terminal svg size 900,420 background '#ffffff'\nset output '{}.svg'\nset title '{} (seed {})'\n"
        "set xlabel 's'\nset ylabel 'share of priority weight served'\nset yrange [0:1.05]\nset xrange "
        "[0:{}]\n"
        "set y2label 'rejections per second'\nset y2tics\nset key below\n",
        stem, script.name, script.seed, script.load_seconds);
    int fault_number = 0;
    for (const FaultSpec& fault : script.faults) {
      const double label_height = 0.05 + 0.05 * (fault_number++ % 12);
      plot_file << fmt::format("set arrow from {0},0 to {0},1.05 nohead lc rgb '#c04040' dt 3\n", fault.at);
      plot_file << fmt::format("set label \"{}\" at {},{} font ',9' noenhanced\n", text_of(fault).substr(3),
                               fault.at + 0.03, label_height);
    }
    plot_file << fmt::format(
        "plot '{0}.dat' using 1:4 axes x1y2 with boxes lc rgb '#d8d8d8' title 'rejections per second', "
        "'{0}.dat' using 1:3 with lines lc rgb '#808080' title 'without faults', "
        "'{0}.dat' using 1:2 with linespoints lc rgb '#2050a0' title 'with faults'\n",
        stem);
  }
  if (std::system(fmt::format("gnuplot '{}.gp' 2>/dev/null", stem).c_str()) != 0)
    fmt::print(stderr, "gnuplot is missing or failed: {}.gp was written, but not plotted\n", stem);
}

void print_summary(const RehearsalScript& script, const JudgedRehearsal& judged) {
  fmt::print(
      "{}: {}; served {:.3f} (without faults {:.3f}), in the last {:.1f} s {:.3f} (without faults {:.3f}); "
      "{:.2f} attempts per request\n",
      script.name, judged.failures.empty() ? "well" : "BROKEN", judged.result.served_share,
      judged.baseline.served_share, script.judged_seconds, judged.result.served_share_at_end,
      judged.baseline.served_share_at_end, judged.result.attempts_per_request);
  for (const std::string& line : judged.failures) fmt::print("    {}\n", line);
}

void report(const cxxopts::ParseResult& flags, const RehearsalScript& script, const JudgedRehearsal& judged) {
  print_summary(script, judged);
  if (flags.count("report") == 0) return;
  const std::string folder = flags["report"].as<std::string>();
  std::filesystem::create_directories(folder);
  write_json(folder + "/" + script.name + ".json", script, judged);
  plot(folder + "/" + script.name, script, judged);
}

int run(const cxxopts::ParseResult& flags, int repetitions) {
  RehearsalRunner runner(flags);
  bool all_passed = true;
  for (const std::string& path : flags["scripts"].as<std::vector<std::string>>()) {
    const RehearsalScript script = parse_rehearsal(read_file(path));
    for (int i = 0; i < repetitions; ++i) {
      const JudgedRehearsal judged = runner.judge(script);
      report(flags, script, judged);
      all_passed = all_passed && judged.failures.empty();
    }
  }
  return all_passed ? 0 : 1;
}

int search(const cxxopts::ParseResult& flags) {
  RehearsalRunner runner(flags);
  const auto first_seed = flags["seed"].as<std::uint64_t>();
  for (const std::string& path : flags["scripts"].as<std::vector<std::string>>()) {
    RehearsalScript base = parse_rehearsal(read_file(path));
    base.faults.clear();
    for (int i = 0; i < flags["plays"].as<int>(); ++i) {
      const RehearsalScript script =
          draw_script(base, first_seed + static_cast<std::uint64_t>(i), flags["faults"].as<int>());
      const JudgedRehearsal judged = runner.judge(script);
      print_summary(script, judged);
      if (judged.failures.empty()) continue;
      const RehearsalScript shortest = minimize_script(
          script, flags["tries"].as<int>(),
          [&](const RehearsalScript& candidate) { return !runner.judge(candidate).failures.empty(); });
      fmt::print("minimal script that fails:\n\n{}", text_of(shortest));
      report(flags, shortest, runner.judge(shortest));
      return 1;
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  cxxopts::Options options("damsonspoke-rehearse",
                           "rehearsals of whole fleets under faults of processes and the network");
  options.add_options()("action", "run, search or replay", cxxopts::value<std::string>())(
      "scripts", "scripts of rehearsals", cxxopts::value<std::vector<std::string>>())(
      "binary", "the program under test", cxxopts::value<std::string>()->default_value("build/damsonspoke"),
      "FILE")("clock", "the library that shifts processes' clocks", cxxopts::value<std::string>(), "FILE")(
      "logs", "folder for the processes' logs, at level debug, and the journal",
      cxxopts::value<std::string>(),
      "FOLDER")("report", "folder for JSON reports, data and plots", cxxopts::value<std::string>(), "FOLDER")(
      "seed", "search: the first seed", cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
      "plays", "search: number of drawn scripts; replay: repetitions of each script",
      cxxopts::value<int>()->default_value("20"), "N")(
      "faults", "search: maximum number of faults in a script", cxxopts::value<int>()->default_value("6"),
      "N")("tries", "search: rehearsals without a failure until a shorter script counts as passed",
           cxxopts::value<int>()->default_value("2"),
           "N")("quiet", "show no progress")("h,help", "print this help");
  options.parse_positional({"action", "scripts"});
  options.positional_help("run|search|replay SCRIPT...");
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) return fmt::print("{}", options.help()), 0;
    const std::string action = flags.count("action") > 0 ? flags["action"].as<std::string>() : "";
    if (flags.count("scripts") == 0 || (action != "run" && action != "search" && action != "replay")) {
      fmt::print(stderr, "usage: damsonspoke-rehearse run|search|replay SCRIPT...; see --help\n");
      return 2;
    }
    if (flags.count("logs") > 0) {
      Rehearsal::log_folder = flags["logs"].as<std::string>();
      std::filesystem::create_directories(Rehearsal::log_folder);
    }
    if (flags.count("clock") > 0) Rehearsal::clock_library = flags["clock"].as<std::string>();
    if (action == "search") return search(flags);
    return run(flags, action == "replay" ? flags["plays"].as<int>() : 1);
  } catch (const std::exception& error) {
    fmt::print(stderr, "damsonspoke-rehearse: {}\n", error.what());
    return 2;
  }
}
