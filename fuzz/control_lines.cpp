// Lines of the control socket: a complete query survives encoding and decoding, wherever the input is
// truncated, and a response is never longer than its bound.
#include <cstdlib>
#include <string_view>

#include "control/lines.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::control;
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  const Query request = parse_query(input);
  if (request.state == ParseStatus::kComplete) {
    const Query again = parse_query(encode_query(request.tokens));
    if (again.state != ParseStatus::kComplete || again.tokens != request.tokens) std::abort();
  }
  for (std::size_t n = 0; n < size && n < 300; ++n) {
    const Query part = parse_query(input.substr(0, n));
    if (part.state == ParseStatus::kComplete && part.tokens != request.tokens) std::abort();
  }
  const Response answer = parse_response(input);
  if (answer.text.size() > kMaxResponseBytes) std::abort();
  if (answer.state == ParseStatus::kComplete && answer.is_ok) {
    const Response again = parse_response(encode_response(answer.text));
    if (again.state != ParseStatus::kComplete || again.text != answer.text) std::abort();
  }
  return 0;
}
