// Messages between forwarders and planners: a decoded message is encoded to the same bytes, a truncated
// frame needs more input, and no length leads to a large allocation.
#include "wire/tier.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::wire::tier;
  std::string_view input(reinterpret_cast<const char*>(data), size);
  for (;;) {
    const DecodedFrame taken = decode_next_frame(input);
    if (taken.state != Framing::kFrame) break;
    if (taken.length > input.size()) std::abort();
    if (decode_next_frame(input.substr(0, taken.length - 1)).state != Framing::kNeedMore) std::abort();
    if (encode(taken.message) != input.substr(0, taken.length)) std::abort();
    input.remove_prefix(taken.length);
  }
  return 0;
}
