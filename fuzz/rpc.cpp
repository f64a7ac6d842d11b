// Frames and requests of callers: no read past the input, bounded bodies, and no frame from truncated
// input.
#include "wire/rpc.h"

#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::wire;
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  const Frame frame = next_frame(input);
  if (frame.state == Framing::kFrame) {
    if (frame.length > size || frame.body.size() > frame.length) std::abort();
    if (next_frame(input.substr(0, frame.length - 1)).state == Framing::kFrame) std::abort();
  }
  RpcRequest request;
  const std::string_view text = frame.state == Framing::kFrame ? frame.body : input;
  if (decode_request(text, request, "key") == RpcProblem::kNone) {
    if (request.body.size() > 2048 || request.size_kb < 0 || request.method.empty()) std::abort();
  }
  return 0;
}
