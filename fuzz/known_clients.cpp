// The record of known clients: whatever is read is written and read again the same, and no heir takes an
// entry that no life could have written.
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
  KnownClients heir({1000, 4, 64});
  heir.restore(*read, kNow);
  for (const KnownClient& one : heir.entries()) {
    if (!std::isfinite(one.score) || one.score < 0 || one.score > 8) std::abort();
    if (one.last_success > kNow || kNow - one.last_success > 1000) std::abort();
    if (heir.is_known(one.client, kNow) && one.score < 2) std::abort();
  }
  return 0;
}
