// Turns a decoded JSON-RPC message into a request: finds its route and its tenant and checks its idempotency
// key.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>

#include "catalog/catalog.h"
#include "observability/counters.h"
#include "peers/ports.h"
#include "wire/rpc.h"

namespace damsonspoke::peers {

// Which requests need an idempotency key, and which member of their messages holds it.
struct IdempotencyKeyOptions {
  std::string member;         // of a request's params; empty: no key is read
  std::size_t max_bytes = 0;  // of a key
  // Routes whose duplicates are recognized by a digest of the request; other keyed routes need the member.
  std::unordered_set<std::string> digest_routes;
};

// Why a message is answered with an error, and the text of that error, which is part of the protocol.
struct RequestError {
  Count counter = Count::kBadParams;
  wire::RpcError code = wire::RpcError::kParams;
  std::string_view message;  // a literal
};

// Moves the key and the body out of the message. `reply_to` of the result is left to the caller.
[[nodiscard]] std::variant<IncomingRequest, RequestError> build_request(wire::RpcRequest& message,
                                                                        const catalog::Catalog& catalog,
                                                                        const IdempotencyKeyOptions& keys);

}  // namespace damsonspoke::peers
