// Writes log lines to standard error by spdlog, as text (`time level component: text`) or as one JSON object
// per line. Like the counters and the invariants, the logger depends on no other module of the project, so
// that every layer may use it.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace spdlog::sinks {
class sink;
}

namespace damsonspoke {

enum class Level { kError, kWarning, kInfo, kDebug };
enum class LogFormat { kText, kJson };

// Nothing if there is no level or format of that name.
std::optional<Level> parse_level(std::string_view name);
std::optional<LogFormat> parse_log_format(std::string_view name);

// A named value of a log line: ` name=value` after the text, or a separate member in JSON.
struct Field {
  std::string_view name;
  std::string value;
  bool is_number = false;  // written without quotes in JSON

  Field(std::string_view n, std::string_view v) : name(n), value(v) {}
  Field(std::string_view n, const char* v) : name(n), value(v) {}
  template <typename T>
  requires std::is_arithmetic_v<T> Field(std::string_view n, T v)
      : name(n), value(fmt::format("{}", v)), is_number(true) {}
};

// At most 50 lines per second are written; the others are counted as suppressed. Not thread-safe.
class Logger {
 public:
  // Lines less severe than `level` are not written.
  explicit Logger(Level level, LogFormat form = LogFormat::kText);

  template <typename... Args>
  void error(std::string_view component, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kError, component, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void warn(std::string_view component, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kWarning, component, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void info(std::string_view component, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kInfo, component, text, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void debug(std::string_view component, fmt::format_string<Args...> text, Args&&... args) {
    line(Level::kDebug, component, text, std::forward<Args>(args)...);
  }
  // Writes a line with named values.
  void event(Level level, std::string_view component, std::string_view text,
             std::initializer_list<Field> fields) {
    if (level <= level_) write(level, component, text, fields);
  }
  // Writes the text unchanged and regardless of the level, for reports that an operator requested.
  void write_raw(std::string_view text);
  [[nodiscard]] std::uint64_t suppressed_lines() const { return suppressed_lines_; }

 private:
  template <typename... Args>
  void line(Level level, std::string_view component, fmt::format_string<Args...> text, Args&&... args) {
    if (level > level_) return;
    write(level, component, fmt::format(text, std::forward<Args>(args)...), {});
  }
  bool exceeds_rate(std::int64_t second);
  void write(Level level, std::string_view component, std::string_view text,
             std::initializer_list<Field> fields);

  Level level_;
  LogFormat format_;
  std::shared_ptr<spdlog::sinks::sink> sink_;
  std::int64_t second_ = 0;  // the Unix second to which lines_ belongs
  int lines_ = 0;            // written in this second, including suppressed ones
  std::uint64_t suppressed_lines_ = 0;
};

}  // namespace damsonspoke
