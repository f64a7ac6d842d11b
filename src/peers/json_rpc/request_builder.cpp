#include "peers/json_rpc/request_builder.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace damsonspoke::peers {
namespace {

constexpr double kSecondsPerMs = 0.001;

bool requires_key(const wire::RpcRequest& message, const Route& route, const IdempotencyKeyOptions& keys) {
  return !keys.member.empty() && route.idempotency == Idempotency::kWithKey &&
         !keys.digest_routes.contains(message.method);
}

std::optional<RequestError> check_key(const wire::RpcRequest& message, const Route& route,
                                      const IdempotencyKeyOptions& keys) {
  if (!requires_key(message, route, keys)) return std::nullopt;
  if (!message.has_idempotency_key) return RequestError{Count::kBadParams, wire::RpcError::kParams, "no key"};
  const std::size_t bytes = message.idempotency_key.size();
  if (bytes == 0 || bytes > keys.max_bytes)
    return RequestError{Count::kBadParams, wire::RpcError::kParams, "bad key"};
  return std::nullopt;
}

}  // namespace

std::variant<IncomingRequest, RequestError> build_request(wire::RpcRequest& message,
                                                          const catalog::Catalog& catalog,
                                                          const IdempotencyKeyOptions& keys) {
  const int route = catalog.find_route(message.method);
  if (route < 0) return RequestError{Count::kBadRoutes, wire::RpcError::kMethod, "unknown op type"};
  if (const auto error = check_key(message, catalog.route(route), keys)) return *error;
  // A request of an unknown tenant would use up another tenant's quota.
  const int tenant = catalog.find_tenant(message.tenant);
  if (catalog.tenant_count() > 0 && tenant < 0) {
    return RequestError{Count::kBadParams, wire::RpcError::kParams,
                        message.tenant.empty() ? "no customer" : "unknown customer"};
  }
  IncomingRequest request;
  request.id = message.request_id;
  request.route = route;
  request.tenant = std::max(tenant, 0);
  request.caller = message.caller;
  request.is_retry = message.is_retry;
  request.subject = message.has_subject ? message.subject : 0;
  request.size_kb = message.size_kb;
  request.received_at = message.received_at_ms * kSecondsPerMs;
  request.client_timeout = message.client_timeout_ms * kSecondsPerMs;
  request.work_hint = message.work_ms * kSecondsPerMs;
  request.idempotency_key = std::move(message.idempotency_key);
  request.body = std::move(message.body);
  return request;
}

}  // namespace damsonspoke::peers
