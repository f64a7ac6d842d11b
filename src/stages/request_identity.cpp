#include "stages/request_identity.h"

#include <random>

namespace damsonspoke::stages {
namespace {

std::uint64_t random_seed() {
  std::random_device device;
  const std::uint64_t high = device();
  return high << 32 | device();
}

}  // namespace

RequestIdentifier::RequestIdentifier(const ResultsOptions& options, const StartSettings& site)
    : site_(site),
      keys_(options.enabled ? random_seed() : 0),
      routes_by_body_(options.digest.begin(), options.digest.end()),
      distinguishes_callers_(options.digest_by_caller) {}

std::optional<RequestIdentity> RequestIdentifier::identify(const Request& request,
                                                           const peers::IncomingRequest& incoming,
                                                           const InFlightRequest& in_flight_request) const {
  const std::string& route = in_flight_request.route_name;
  const Idempotency idempotency = in_flight_request.route_settings.idempotency;
  RequestIdentity identity;
  if (idempotency == Idempotency::kWithKey) {
    const std::uint32_t caller = distinguishes_callers_ ? incoming.caller : 0;
    identity.kind = results::EntryKind::kKeyed;
    identity.fingerprint = keys_.fingerprint(incoming.body);
    identity.key = routes_by_body_.contains(route)
                       ? keys_.from_body(route, caller, incoming.body)
                       : keys_.from_idempotency_key(route, incoming.idempotency_key);
    return identity;
  }
  const bool is_shared_read = idempotency == Idempotency::kIdempotent &&
                              site_.admission.shared_answer_ttl > 0 && request.subject != 0 &&
                              !request.is_write;
  if (!is_shared_read) return std::nullopt;
  identity.kind = results::EntryKind::kSharedRead;
  identity.key = keys_.from_read(route, request.subject, incoming.body);
  return identity;
}

}  // namespace damsonspoke::stages
