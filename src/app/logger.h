// Log lines on standard error: level, time, who, text. Like the counters and the invariants it depends on
// nothing, so that every layer may use it.
#pragma once

#include <fmt/format.h>

#include <optional>
#include <string_view>

namespace damsonspoke {

enum class Level { kError, kWarning, kInfo, kDebug };

std::optional<Level> level_of(std::string_view name);

class Logger {
 public:
  explicit Logger(Level level) : level_(level) {}

  template <typename... Args>
  void error(std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kError, who, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void warn(std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kWarning, who, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void info(std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kInfo, who, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void debug(std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kDebug, who, text, std::forward<Args>(args)...);
  }
  // As it is, whatever the level: reports that were asked for.
  void block(std::string_view text);
  std::uint64_t withheld() const { return withheld_; }

 private:
  template <typename... Args>
  void line(Level level, std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    if (level > level_) return;
    write(level, who, fmt::format(text, std::forward<Args>(args)...));
  }
  void write(Level level, std::string_view who, std::string_view text);

  Level level_;
  double second_ = 0;  // the second in which lines_ were written
  int lines_ = 0;
  std::uint64_t withheld_ = 0;
};

}  // namespace damsonspoke
