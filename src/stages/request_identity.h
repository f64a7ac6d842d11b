// Derives the key by which duplicates of a request are recognised, as configured in the operators' file and
// by the catalog's route.
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
  // Uses a random seed until set_seed() is called with the seed of a store.
  RequestIdentifier(const ResultsOptions& options, const StartSettings& site);

  void set_seed(std::uint64_t seed) { keys_ = results::KeyDeriver(seed); }

  // Returns nullopt if duplicates of the request need not be recognised.
  [[nodiscard]] std::optional<RequestIdentity> identify(const Request& request,
                                                        const peers::IncomingRequest& incoming,
                                                        const InFlightRequest& in_flight_request) const;

 private:
  const StartSettings& site_;
  results::KeyDeriver keys_;
  const std::unordered_set<std::string> routes_by_body_;  // callers send no idempotency key on these routes
  const bool distinguishes_callers_;                      // on the routes above
};

}  // namespace damsonspoke::stages
