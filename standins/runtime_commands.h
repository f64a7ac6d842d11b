// Decodes the commands that a backend sends to its runtime. Independent of the program's own codec, so that
// an error there does not hide itself in the tests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace damsonspoke::standins {

enum class CommandKind { kSync, kStart, kStop, kContinue, kGive, kOmit, kGauges, kSelfTest, kNone };

struct RuntimeCommand {
  CommandKind kind = CommandKind::kNone;  // kNone: an invalid line
  std::string name;                       // first token of the line
  std::uint64_t request = 0;              // of start, stop, cont, give, omit
  std::uint64_t notice = 0;               // sync: the last one read; omit: the one that requested the call
  std::string type;                       // of start
  std::string tag;                        // of gauges, selftest
  std::string payload;                    // start: the body; give: the reply
};

// Removes the first command from the input; nullopt if it is not complete yet.
[[nodiscard]] std::optional<RuntimeCommand> take_command(std::string& input);

}  // namespace damsonspoke::standins
