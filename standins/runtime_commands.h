// The commands that a backend writes to its runtime, read into typed values. Apart from the program's own
// encoder: what is tested does not test itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace damsonspoke::standins {

enum class CommandKind { kSync, kStart, kStop, kContinue, kGive, kOmit, kGauges, kSelfTest, kNone };

struct RuntimeCommand {
  CommandKind kind = CommandKind::kNone;  // kNone: a line that is no command
  std::string name;                       // as it was written
  std::uint64_t request = 0;              // of start, stop, cont, give, omit
  std::uint64_t notice = 0;  // of sync, the last one read; of omit, the one that asked for the call
  std::string type;          // of start
  std::string tag;           // of gauges, selftest
  std::string payload;       // of start, the body; of give, the reply
};

// Takes the first command off the input; none where it is not whole yet.
[[nodiscard]] std::optional<RuntimeCommand> take_command(std::string& input);

}  // namespace damsonspoke::standins
