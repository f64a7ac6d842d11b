// Maps an AJP message to a request: checks the gateway's secret and attributes, finds the route in the
// operators' table and reads the request's fields and the length of its body.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "observability/counters.h"
#include "peers/ports.h"
#include "settings/operator_file.h"
#include "wire/ajp.h"

namespace damsonspoke::peers {

// The routes of the site, by number.
struct AjpSite {
  std::vector<std::string> routes;
  std::vector<bool> needs_key;           // whether its requests need an idempotency key
  std::vector<double> timeouts;          // s, for clients that give no timeout
  std::size_t max_key_bytes = 0;         // of an idempotency key
  std::vector<double> relative_weights;  // priority weights, relative to the greatest one
};

// A request as far as the headers of its message describe it.
struct MappedRequest {
  IncomingRequest request;  // without an id, times and body
  bool is_health_check = false;
  bool is_chunked = false;         // the body ends with a chunk without bytes
  std::size_t content_length = 0;  // of the body, where it is not chunked
};

// Why a message is rejected without becoming a request.
enum class AjpRejectReason {
  kForbidden,           // the secret is wrong or missing
  kForbiddenAttribute,  // an attribute that operators don't list
  kUnmappedPath,        // no route has this path
  kUnmappedMethod,      // no route with this path has the method
  kInvalidPath,
  kInvalidField,         // a field is missing or can't be read
  kAmbiguousLength,      // two lengths, or a length and an encoding
  kUnsupportedEncoding,  // of the transfer, other than chunked
  kTooLarge              // the body is longer than operators allow
};

// The rejection of a message that becomes no request.
struct AjpRejection {
  AjpRejectReason reason = AjpRejectReason::kForbidden;
  bool body_may_follow = true;  // if so, nothing more can be read from the connection
};

// `options`: the secret, the table of routes and the limits. The result copies what it takes from the
// message.
[[nodiscard]] std::variant<MappedRequest, AjpRejection> map_request(const wire::ajp::ForwardRequest& message,
                                                                    const AjpOptions& options,
                                                                    const AjpSite& site);

// The HTTP status of the answer to the gateway.
[[nodiscard]] std::uint16_t status_of(AjpRejectReason reason);

}  // namespace damsonspoke::peers
