// Writes a journal as lines of text, to trace single requests through a play.
#pragma once

#include <string>

#include "journal.h"

namespace damsonspoke::standins {

// Writes one line for each incarnation, attempt and run, with times in seconds since `began`. Throws
// std::runtime_error if the file can't be written.
void write_journal(const Journal& journal, double began, const std::string& path);

}  // namespace damsonspoke::standins
