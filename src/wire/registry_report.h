// The datagram by which a backend reports to the registry.
#pragma once

#include <string>
#include <string_view>

namespace damsonspoke::wire {

// `name`: of the backend, as the registry knows it; `is_accepting_requests`: whether callers should send
// requests to it.
[[nodiscard]] inline std::string encode_report(std::string_view name, bool is_accepting_requests) {
  return "HERE " + std::string(name) + (is_accepting_requests ? " on" : " off");
}

}  // namespace damsonspoke::wire
