// The command line: subcommands, each with its own flags.
#pragma once

namespace damsonspoke {

// Returns the exit status: 0 success, 1 failure, 2 invalid command line.
int run_command_line(int argc, char** argv);

}  // namespace damsonspoke
