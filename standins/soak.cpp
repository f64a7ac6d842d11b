// damsonspoke-soak: plays randomized tests of process ends. Each seed draws a fleet and a timeline of
// shutdown notices, kills and signals (endings_play.h). Exit status: 0: no violations, 1: violations, 2:
// usage error.
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>

#include "endings_play.h"
#include "loop.h"

using namespace damsonspoke::standins;

namespace {

struct Range {
  std::uint64_t first = 1;
  std::uint64_t last = 10;
};

// Parses "A-B" or one number.
Range range_of(const std::string& text) {
  std::size_t used = 0;
  Range range;
  range.first = range.last = std::stoull(text, &used);
  if (used == text.size()) return range;
  if (text[used] != '-') throw std::invalid_argument("seeds must be A-B or a number");
  range.last = std::stoull(text.substr(used + 1));
  if (range.last < range.first) throw std::invalid_argument("the last seed is less than the first");
  return range;
}

// Plays a seed and prints its violations; true if there are none.
bool play_seed(const cxxopts::ParseResult& flags, std::uint64_t seed) {
  const std::string binary = flags["binary"].as<std::string>();
  const std::string folder = fmt::format("{}/{}", flags["folder"].as<std::string>(), seed);
  std::filesystem::remove_all(folder);
  std::vector<std::string> broken;
  {
    EndingsPlay play(binary, seed, folder);
    broken = play.play();
  }
  fmt::print("seed {}: {}\n", seed, broken.empty() ? "well" : "BROKEN");
  if (broken.empty()) {
    if (flags.count("keep") == 0) std::filesystem::remove_all(folder);
    return true;
  }
  for (const std::string& line : broken) fmt::print("    {}\n", line);
  fmt::print("    logs, timeline and journal: {}\n", folder);
  fmt::print("    again: damsonspoke-soak --binary {} --folder {} --seed {}\n", binary,
             flags["folder"].as<std::string>(), seed);
  return false;
}

int soak(const cxxopts::ParseResult& flags) {
  Range seeds = range_of(flags["seeds"].as<std::string>());
  if (flags.count("seed") > 0) seeds.first = seeds.last = flags["seed"].as<std::uint64_t>();
  const double minutes = flags["minutes"].as<double>();
  const double began = now();
  std::uint64_t played = 0;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    if (minutes > 0 && now() - began >= minutes * 60) break;
    ++played;
    failed += play_seed(flags, seed) ? 0 : 1;
    if (flags.count("quiet") == 0)
      fmt::print(stderr, "{} of {} seeds, {} broken, {:.0f} s\n", played, seeds.last - seeds.first + 1,
                 failed, now() - began);
  }
  fmt::print("{} seeds, {} broken\n", played, failed);
  return failed == 0 ? 0 : 1;
}

int run(int argc, char** argv) {
  cxxopts::Options options("damsonspoke-soak", "tests the ends of processes under load, randomized by seed");
  options.add_options()("seeds", "first and last seed", cxxopts::value<std::string>()->default_value("1-10"),
                        "A-B")("seed", "a single seed", cxxopts::value<std::uint64_t>(), "N")(
      "minutes", "start no seed after this time; 0: no limit", cxxopts::value<double>()->default_value("0"),
      "N")("binary", "the program to test", cxxopts::value<std::string>()->default_value("build/damsonspoke"),
           "FILE")("folder", "for logs and journals of seeds with violations",
                   cxxopts::value<std::string>()->default_value("soak"),
                   "FOLDER")("keep", "also keep the folders of seeds without violations")(
      "quiet", "print no progress")("h,help", "print this help");
  const cxxopts::ParseResult flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  return soak(flags);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "damsonspoke-soak: %s\n", error.what());
    return 2;
  }
}
