// The lists of planners that a forwarder has stored: any input is rejected or decoded within the bounds,
// and a decoded record survives encoding and decoding.
#include <cstdlib>

#include "tier/endpoint_list_history.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::tier;
  const auto read = decode_endpoint_list_history(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!read) return 0;
  if (read->current.size() > kMaxListedPlanners || read->former.size() > kMaxFormerLists) std::abort();
  const auto again = decode_endpoint_list_history(encode(*read));
  if (!again || again->current != read->current || again->former.size() != read->former.size()) std::abort();
  for (std::size_t i = 0; i < read->former.size(); ++i) {
    if (again->former[i].until != read->former[i].until ||
        again->former[i].planners != read->former[i].planners)
      std::abort();
  }
  return 0;
}
