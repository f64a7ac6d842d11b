// Records of learned statistics, with and without a checksum: any input is rejected or decoded, and the
// prior that is derived from it is plausible.
#include <cstdlib>

#include "statistics/prior.h"
#include "store/checksummed_file.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  store::verify_checksum(bytes, statistics::kRecordFormatVersion);
  const std::optional<statistics::StatisticsRecord> record = statistics::decode(bytes);
  if (!record) return 0;
  StartSettings site;
  Route type;
  type.latency_objective = 1, type.timeout = 2;
  site.admission.routes = {type};
  site.admission.cores = record->cores;
  site.route_names = {"push"};
  const statistics::Prior prior =
      statistics::derive_prior(*record, site, record->written_at + 1, 0, {43200, 259200, 4});
  for (const auto& times : prior.statistics.routes) {
    if (!times.run.bins.empty() && !statistics::is_plausible(times.run)) std::abort();
  }
  return 0;
}
