// The operators' file: any input gives errors or values, and the output of `config show` for the values
// parses without errors.
#include "settings/operator_file.h"

#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke;
  const OperatorFile file = parse_operator_file(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!file.errors.empty()) return 0;
  const OperatorFile again = parse_operator_file(file.effective());
  if (!again.errors.empty() || again.options.results.store != file.options.results.store) std::abort();
  return 0;
}
