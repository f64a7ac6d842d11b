// The output of `damsonspoke members`: the members, their states and load reports, and the broken links, as
// one member sees them.
#pragma once

#include <string>

#include "members/membership_view.h"

namespace damsonspoke::peers {

// One line of JSON. `now`: monotonic s. The keys are part of the operators' interface.
[[nodiscard]] std::string status_json(const members::MembershipView& view, double now);
// A table for operators to read. `now`: monotonic s.
[[nodiscard]] std::string status_table(const members::MembershipView& view, double now);

}  // namespace damsonspoke::peers
