// A journal as lines of text, for whoever follows one request through a play.
#pragma once

#include <string>

#include "journal.h"

namespace damsonspoke::standins {

// Writes lives, tries and runs, a line each, with times in s from `began` on. Throws std::runtime_error where
// the file can't be written.
void write_journal(const Journal& journal, double began, const std::string& path);

}  // namespace damsonspoke::standins
