// The command line: sub-commands with flags of their own.
#pragma once

namespace damsonspoke {

// Exit statuses: 0 done, 1 could not go on, 2 wrong use.
int run_command_line(int argc, char** argv);

}  // namespace damsonspoke
