// The datagram by which a backend reports to the registry.
#pragma once

#include <string>
#include <string_view>

namespace damsonspoke::wire {

// `name`: of the backend, as the registry knows it; `takes_work`: whether callers should send requests to it.
[[nodiscard]] inline std::string encode_report(std::string_view name, bool takes_work) {
  return "HERE " + std::string(name) + (takes_work ? " on" : " off");
}

}  // namespace damsonspoke::wire
