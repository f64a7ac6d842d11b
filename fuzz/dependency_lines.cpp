// Replies of the dependency: each consumes at least a byte and stays inside the input.
#include "wire/dependency_lines.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::wire;
  std::string_view input(reinterpret_cast<const char*>(data), size);
  while (!input.empty()) {
    const ReplyRead read = next_reply(input);
    if (read.state != LineState::kLine) break;
    if (read.length == 0 || read.length > input.size() || read.body.size() > read.length) std::abort();
    input.remove_prefix(read.length);
  }
  return 0;
}
