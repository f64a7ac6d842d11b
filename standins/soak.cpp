// damsonspoke-soak: ends of processes, by the seed. Each seed draws a fleet and a timeline of notices, kills
// and signals (endings_play.h). Exit status: 0 nothing was broken, 1 something was, 2 wrong use.
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

// "A-B", or one number.
Range range_of(const std::string& text) {
  std::size_t used = 0;
  Range range;
  range.first = range.last = std::stoull(text, &used);
  if (used == text.size()) return range;
  if (text[used] != '-') throw std::invalid_argument("seeds are A-B or a number");
  range.last = std::stoull(text.substr(used + 1));
  if (range.last < range.first) throw std::invalid_argument("the last seed is below the first");
  return range;
}

// Whether nothing was broken.
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
  cxxopts::Options options("damsonspoke-soak", "ends of processes among callers, drawn by seeds");
  options.add_options()("seeds", "the first and the last, A-B",
                        cxxopts::value<std::string>()->default_value("1-10"),
                        "A-B")("seed", "one alone", cxxopts::value<std::uint64_t>(), "N")(
      "minutes", "no seed begins after so many; 0: no limit", cxxopts::value<double>()->default_value("0"),
      "N")("binary", "the program", cxxopts::value<std::string>()->default_value("build/damsonspoke"),
           "FILE")("folder", "for logs and journals of what is broken",
                   cxxopts::value<std::string>()->default_value("soak"),
                   "FOLDER")("keep", "keep the folders of seeds that are well too")("quiet", "no progress")(
      "h,help", "print this help");
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
