// The record of known clients: a decoded record survives encoding and decoding, and restoring it accepts no
// entry that no process could have written.
#include <cmath>
#include <cstdlib>
#include <string_view>

#include "conns/known_clients_record.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::conns;
  const auto read = decode_known_clients({reinterpret_cast<const char*>(data), size});
  if (!read) return 0;
  const std::string again = encode_known_clients(*read);
  const auto second = decode_known_clients(again);
  if (!second || second->size() != read->size() || encode_known_clients(*second) != again) std::abort();
  constexpr double kNow = 1.7e9;
  KnownClients restored({1000, 4, 64});
  restored.restore(*read, kNow);
  for (const KnownClient& one : restored.entries()) {
    if (!std::isfinite(one.score) || one.score < 0 || one.score > 8) std::abort();
    if (one.last_success > kNow || kNow - one.last_success > 1000) std::abort();
    if (restored.is_known(one.client, kNow) && one.score < 2) std::abort();
  }
  return 0;
}
