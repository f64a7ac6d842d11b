// The record of known clients: whatever is read is written and read again the same, and no heir takes an
// entry that no life could have written.
#include <cmath>
#include <cstdlib>
#include <string_view>

#include "conns/known_clients_record.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::conns;
  const auto read = decode_known({reinterpret_cast<const char*>(data), size});
  if (!read) return 0;
  const std::string again = encode(*read);
  const auto second = decode_known(again);
  if (!second || second->size() != read->size() || encode(*second) != again) std::abort();
  constexpr double kNow = 1.7e9;
  KnownClients heir({1000, 4, 64});
  heir.begin_with(*read, kNow);
  for (const KnownClient& one : heir.all()) {
    if (!std::isfinite(one.earned) || one.earned < 0 || one.earned > 8) std::abort();
    if (one.last > kNow || kNow - one.last > 1000) std::abort();
    if (heir.is_known(one.client, kNow) && one.earned < 2) std::abort();
  }
  return 0;
}
