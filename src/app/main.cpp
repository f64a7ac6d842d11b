#include "app/command_line.h"

int main(int argc, char** argv) { return damsonspoke::run_command_line(argc, argv); }
