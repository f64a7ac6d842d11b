// The datagram by which a backend reports to the roster.
#pragma once

#include <string>
#include <string_view>

namespace damsonspoke::wire {

inline std::string encode_report(std::string_view name, bool takes_work) {
  return "HERE " + std::string(name) + (takes_work ? " on" : " off");
}

}  // namespace damsonspoke::wire
