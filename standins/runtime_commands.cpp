#include "runtime_commands.h"

#include <cstdlib>
#include <map>
#include <sstream>
#include <vector>

namespace damsonspoke::standins {
namespace {

constexpr char kLineEnd[] = "\r\n";
constexpr std::size_t kLineEndBytes = 2;

struct CommandFormat {
  CommandKind kind = CommandKind::kNone;
  std::size_t tokens = 0;  // minimum number
};

CommandFormat format_of(const std::string& token) {
  static const std::map<std::string, CommandFormat> kFormats = {
      {"sync", {CommandKind::kSync, 2}},     {"start", {CommandKind::kStart, 4}},
      {"stop", {CommandKind::kStop, 2}},     {"cont", {CommandKind::kContinue, 2}},
      {"give", {CommandKind::kGive, 3}},     {"omit", {CommandKind::kOmit, 3}},
      {"gauges", {CommandKind::kGauges, 2}}, {"selftest", {CommandKind::kSelfTest, 2}},
  };
  const auto found = kFormats.find(token);
  return found == kFormats.end() ? CommandFormat{} : found->second;
}

std::vector<std::string> tokens_of(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> tokens;
  for (std::string token; in >> token;) tokens.push_back(token);
  return tokens;
}

std::uint64_t hex(const std::string& token) { return std::strtoull(token.c_str(), nullptr, 16); }
std::uint64_t decimal(const std::string& token) { return std::strtoull(token.c_str(), nullptr, 10); }

RuntimeCommand command_of(const std::vector<std::string>& tokens) {
  RuntimeCommand command;
  if (tokens.empty()) return command;
  command.name = tokens[0];
  const CommandFormat format = format_of(command.name);
  if (tokens.size() < format.tokens) return command;
  command.kind = format.kind;
  switch (command.kind) {
    case CommandKind::kSync: command.notice = decimal(tokens[1]); break;
    case CommandKind::kGauges:
    case CommandKind::kSelfTest: command.tag = tokens[1]; break;
    case CommandKind::kStart:
      command.request = hex(tokens[1]);
      command.type = tokens[2];
      break;
    case CommandKind::kOmit:
      command.request = hex(tokens[1]);
      command.notice = decimal(tokens[2]);
      break;
    case CommandKind::kStop:
    case CommandKind::kContinue:
    case CommandKind::kGive: command.request = hex(tokens[1]); break;
    case CommandKind::kNone: break;
  }
  return command;
}

}  // namespace

std::optional<RuntimeCommand> take_command(std::string& input) {
  const std::size_t line_end = input.find(kLineEnd);
  if (line_end == std::string::npos) return std::nullopt;
  const std::vector<std::string> tokens = tokens_of(input.substr(0, line_end));
  RuntimeCommand command = command_of(tokens);
  std::size_t consumed = line_end + kLineEndBytes;
  if (command.kind == CommandKind::kStart || command.kind == CommandKind::kGive) {
    const std::size_t length = decimal(tokens.back());
    if (input.size() < consumed + length + kLineEndBytes) return std::nullopt;
    command.payload = input.substr(consumed, length);
    consumed += length + kLineEndBytes;
  }
  input.erase(0, consumed);
  return command;
}

}  // namespace damsonspoke::standins
