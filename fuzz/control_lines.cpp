// The control socket's lines: a question that is whole is read again as it was, wherever the input is cut; an
// answer is never longer than its bound.
#include <cstdlib>
#include <string_view>

#include "control/lines.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::control;
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  const Request request = read_request(input);
  if (request.state == Reading::kComplete) {
    const Request again = read_request(encode_request(request.words));
    if (again.state != Reading::kComplete || again.words != request.words) std::abort();
  }
  for (std::size_t n = 0; n < size && n < 300; ++n) {
    const Request part = read_request(input.substr(0, n));
    if (part.state == Reading::kComplete && part.words != request.words) std::abort();
  }
  const Answer answer = read_answer(input);
  if (answer.text.size() > kMaxAnswerBytes) std::abort();
  if (answer.state == Reading::kComplete && answer.good) {
    const Answer again = read_answer(encode_answer(answer.text));
    if (again.state != Reading::kComplete || again.text != answer.text) std::abort();
  }
  return 0;
}
