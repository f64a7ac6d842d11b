// Log lines on standard error, as text (time level who: text) or as one JSON object a line; behind it works
// spdlog. Like the counters and the invariants it depends on nothing of ours, so that every layer may use it.
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
enum class LogForm { kText, kJson };

std::optional<Level> level_of(std::string_view name);
std::optional<LogForm> log_form_of(std::string_view name);

// A named value beside a line: ` name=value` behind the text, a member of its own in JSON.
struct Field {
  std::string_view name;
  std::string value;
  bool number = false;  // written without quotes in JSON

  Field(std::string_view n, std::string_view v) : name(n), value(v) {}
  Field(std::string_view n, const char* v) : name(n), value(v) {}
  template <typename T>
  requires std::is_arithmetic_v<T> Field(std::string_view n, T v)
      : name(n), value(fmt::format("{}", v)), number(true) {}
};

class Logger {
 public:
  explicit Logger(Level level, LogForm form = LogForm::kText);

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
  // A line with named values.
  void event(Level level, std::string_view who, std::string_view text, std::initializer_list<Field> fields) {
    if (level <= level_) write(level, who, text, fields);
  }
  // As it is, whatever the level: reports that were asked for.
  void block(std::string_view text);
  std::uint64_t withheld() const { return withheld_; }

 private:
  template <typename... Args>
  void line(Level level, std::string_view who, fmt::format_string<Args...> text, Args&&... args) {
    if (level > level_) return;
    write(level, who, fmt::format(text, std::forward<Args>(args)...), {});
  }
  void write(Level level, std::string_view who, std::string_view text, std::initializer_list<Field> fields);

  Level level_;
  LogForm form_;
  std::shared_ptr<spdlog::sinks::sink> sink_;
  std::int64_t second_ = 0;  // the second in which lines_ were written
  int lines_ = 0;
  std::uint64_t withheld_ = 0;
};

}  // namespace damsonspoke
