#include "observability/logger.h"

#include <spdlog/details/log_msg.h>
#include <spdlog/details/os.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace damsonspoke {
namespace {

constexpr int kMaxLinesPerSecond = 50;  // so that a peer that sends garbage can't fill the log
constexpr std::size_t kMaxLineBytes = 1000;

spdlog::level::level_enum level_for(Level level) {
  switch (level) {
    case Level::kError: return spdlog::level::err;
    case Level::kWarning: return spdlog::level::warn;
    case Level::kInfo: return spdlog::level::info;
    case Level::kDebug: return spdlog::level::debug;
  }
  return spdlog::level::info;
}

// Text from a peer may be invalid UTF-8; the library's replacement keeps the line valid JSON.
std::string json_string(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string text_body(std::string_view text, std::initializer_list<Field> fields) {
  std::string body(text);
  for (const Field& field : fields) body += fmt::format(" {}={}", field.name, field.value);
  if (body.size() > kMaxLineBytes) body.resize(kMaxLineBytes);
  for (char& c : body) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  return body;
}

std::string json_body(std::string_view text, std::initializer_list<Field> fields) {
  std::string body = fmt::format(R"("text":{})", json_string(text.substr(0, kMaxLineBytes)));
  for (const Field& field : fields) {
    const std::string_view value = std::string_view(field.value).substr(0, kMaxLineBytes);
    body += fmt::format(",{}:{}", json_string(field.name),
                        field.is_number ? std::string(value) : json_string(value));
  }
  return body;
}

}  // namespace

std::optional<Level> parse_level(std::string_view name) {
  if (name == "error") return Level::kError;
  if (name == "warning") return Level::kWarning;
  if (name == "info") return Level::kInfo;
  if (name == "debug") return Level::kDebug;
  return std::nullopt;
}

std::optional<LogFormat> parse_log_format(std::string_view name) {
  if (name == "text") return LogFormat::kText;
  if (name == "json") return LogFormat::kJson;
  return std::nullopt;
}

// Sinks without locks suffice, because only one thread writes. The formatter adds the line feed.
Logger::Logger(Level level, LogFormat format)
    : level_(level), format_(format), sink_(std::make_shared<spdlog::sinks::stderr_sink_st>()) {
  const char* pattern =
      format == LogFormat::kText ? "%E.%e %l %n: %v" : R"({"time":%E.%e,"level":"%l","who":"%n",%v})";
  sink_->set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern));
}

bool Logger::exceeds_rate(std::int64_t second) {
  if (second != second_) {
    second_ = second;
    lines_ = 0;
  }
  return ++lines_ > kMaxLinesPerSecond;
}

void Logger::write(Level level, std::string_view component, std::string_view text,
                   std::initializer_list<Field> fields) {
  const auto now = std::chrono::system_clock::now();
  if (exceeds_rate(std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count())) {
    ++suppressed_lines_;
    return;
  }
  const std::string body = format_ == LogFormat::kText ? text_body(text, fields) : json_body(text, fields);
  const spdlog::string_view_t name(component.data(), component.size());
  const spdlog::details::log_msg message(now, spdlog::source_loc{}, name, level_for(level),
                                         spdlog::string_view_t(body.data(), body.size()));
  sink_->log(message);
  sink_->flush();
}

void Logger::write_raw(std::string_view text) {
  while (!text.empty()) {
    const ssize_t wrote = ::write(STDERR_FILENO, text.data(), text.size());
    if (wrote <= 0) return;  // a full or closed log must not stop the server
    text.remove_prefix(static_cast<std::size_t>(wrote));
  }
}

}  // namespace damsonspoke
