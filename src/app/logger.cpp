#include "app/logger.h"

#include <unistd.h>

#include <chrono>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr int kLinesPerSecond = 50;         // a peer that sends nonsense must not fill the log
constexpr std::size_t kLongestLine = 1000;  // bytes; part of it may come from a peer

void put(std::string_view text) {
  while (!text.empty()) {
    const ssize_t wrote = ::write(STDERR_FILENO, text.data(), text.size());
    if (wrote <= 0) return;  // a full or closed log must not stop the backend
    text.remove_prefix(static_cast<std::size_t>(wrote));
  }
}

}  // namespace

std::optional<Level> level_of(std::string_view name) {
  if (name == "error") return Level::kError;
  if (name == "warning") return Level::kWarning;
  if (name == "info") return Level::kInfo;
  if (name == "debug") return Level::kDebug;
  return std::nullopt;
}

void Logger::write(Level level, std::string_view who, std::string_view text) {
  static constexpr const char* kNames[] = {"error", "warning", "info", "debug"};
  const double now =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  if (std::floor(now) != second_) {
    second_ = std::floor(now);
    lines_ = 0;
  }
  if (++lines_ > kLinesPerSecond) {
    ++withheld_;
    return;
  }
  std::string line = fmt::format("{:.3f} {} {}: {}", now, kNames[static_cast<int>(level)], who, text);
  if (line.size() > kLongestLine) line.resize(kLongestLine);
  for (char& c : line) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  line += '\n';
  put(line);
}

void Logger::block(std::string_view text) { put(text); }

}  // namespace damsonspoke
