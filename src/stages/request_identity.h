// Derives the key by which duplicates of a request are recognised, as the operators' file and the catalog's
// route say.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>

#include "peers/ports.h"
#include "results/idempotency_cache.h"
#include "results/key.h"
#include "settings/operator_file.h"
#include "settings/settings.h"
#include "stages/in_flight_requests.h"

namespace damsonspoke::stages {

struct RequestIdentity {
  results::Key key;
  results::Fingerprint fingerprint = 0;  // of keyed requests
  results::EntryKind kind = results::EntryKind::kKeyed;
};

class RequestIdentifier {
 public:
  // Until a store has set its seed, a random one is used.
  RequestIdentifier(const ResultsOptions& options, const StartSettings& site);

  void set_seed(std::uint64_t seed) { keys_ = results::KeyDeriver(seed); }

  // Nothing where duplicates of the request need not be recognised.
  [[nodiscard]] std::optional<RequestIdentity> identify(const Request& request,
                                                        const peers::IncomingRequest& incoming,
                                                        const InFlightRequest& in_flight_request) const;

 private:
  const StartSettings& site_;
  results::KeyDeriver keys_;
  const std::unordered_set<std::string> routes_by_body_;  // whose callers send no idempotency key
  const bool distinguishes_callers_;                      // for those routes
};

}  // namespace damsonspoke::stages
