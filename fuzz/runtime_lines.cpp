// Notices of the runtime: each consumes at least a byte, stays inside the input, and decodes to the same
// kind without the input that follows.
#include "wire/runtime_lines.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::wire;
  std::string_view input(reinterpret_cast<const char*>(data), size);
  while (!input.empty()) {
    const NoticeRead read = next_notice(input);
    if (read.state != LineState::kLine) break;
    if (read.length == 0 || read.length > input.size()) std::abort();
    const NoticeRead again = next_notice(input.substr(0, read.length));
    if (again.state != LineState::kLine || again.notice.kind != read.notice.kind) std::abort();
    input.remove_prefix(read.length);
  }
  return 0;
}
