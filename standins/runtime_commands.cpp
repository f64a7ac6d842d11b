#include "runtime_commands.h"

#include <cstdlib>
#include <map>
#include <sstream>
#include <vector>

namespace damsonspoke::standins {
namespace {

constexpr char kLineEnd[] = "\r\n";
constexpr std::size_t kLineEndBytes = 2;

struct Shape {
  CommandKind kind = CommandKind::kNone;
  std::size_t words = 0;  // at least
};

Shape shape_of(const std::string& word) {
  static const std::map<std::string, Shape> kShapes = {
      {"sync", {CommandKind::kSync, 2}},     {"start", {CommandKind::kStart, 4}},
      {"stop", {CommandKind::kStop, 2}},     {"cont", {CommandKind::kContinue, 2}},
      {"give", {CommandKind::kGive, 3}},     {"omit", {CommandKind::kOmit, 3}},
      {"gauges", {CommandKind::kGauges, 2}}, {"selftest", {CommandKind::kSelfTest, 2}},
  };
  const auto found = kShapes.find(word);
  return found == kShapes.end() ? Shape{} : found->second;
}

std::vector<std::string> words_of(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

std::uint64_t hex(const std::string& word) { return std::strtoull(word.c_str(), nullptr, 16); }
std::uint64_t decimal(const std::string& word) { return std::strtoull(word.c_str(), nullptr, 10); }

RuntimeCommand command_of(const std::vector<std::string>& words) {
  RuntimeCommand command;
  if (words.empty()) return command;
  command.word = words[0];
  const Shape shape = shape_of(command.word);
  if (words.size() < shape.words) return command;
  command.kind = shape.kind;
  switch (command.kind) {
    case CommandKind::kSync: command.notice = decimal(words[1]); break;
    case CommandKind::kGauges:
    case CommandKind::kSelfTest: command.tag = words[1]; break;
    case CommandKind::kStart:
      command.request = hex(words[1]);
      command.type = words[2];
      break;
    case CommandKind::kOmit:
      command.request = hex(words[1]);
      command.notice = decimal(words[2]);
      break;
    case CommandKind::kStop:
    case CommandKind::kContinue:
    case CommandKind::kGive: command.request = hex(words[1]); break;
    case CommandKind::kNone: break;
  }
  return command;
}

}  // namespace

std::optional<RuntimeCommand> take_command(std::string& input) {
  const std::size_t line_end = input.find(kLineEnd);
  if (line_end == std::string::npos) return std::nullopt;
  const std::vector<std::string> words = words_of(input.substr(0, line_end));
  RuntimeCommand command = command_of(words);
  std::size_t used = line_end + kLineEndBytes;
  if (command.kind == CommandKind::kStart || command.kind == CommandKind::kGive) {
    const std::size_t length = decimal(words.back());
    if (input.size() < used + length + kLineEndBytes) return std::nullopt;
    command.payload = input.substr(used, length);
    used += length + kLineEndBytes;
  }
  input.erase(0, used);
  return command;
}

}  // namespace damsonspoke::standins
