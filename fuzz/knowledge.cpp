// A record of knowledge, sealed and not: any bytes are refused or read, and what is believed of them is
// sensible.
#include <cstdlib>

#include "statistics/prior.h"
#include "store/checksummed_file.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  store::verify_checksum(bytes, statistics::kForm);
  const std::optional<statistics::StatisticsRecord> record = statistics::decode(bytes);
  if (!record) return 0;
  StartSettings site;
  Route type;
  type.latency_objective = 1, type.timeout = 2;
  site.admission.routes = {type};
  site.admission.cores = record->cores;
  site.route_names = {"push"};
  const statistics::Prior belief =
      statistics::derive_prior(*record, site, record->written + 1, 0, {43200, 259200, 4});
  for (const auto& times : belief.prior.routes) {
    if (!times.run.bins.empty() && !statistics::sensible(times.run)) std::abort();
  }
  return 0;
}
