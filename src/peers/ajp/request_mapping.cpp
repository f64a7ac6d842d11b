#include "peers/ajp/request_mapping.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "peers/ajp/http_status.h"

namespace damsonspoke::peers {
namespace {

namespace wa = wire::ajp;

constexpr double kMsPerSecond = 1000;
constexpr double kMaxTimeoutSeconds = 24 * 3600;

// Compares in constant time, so that timing does not reveal how much of a guess is right.
bool is_same_secret(std::string_view expected, std::string_view given) {
  unsigned difference = expected.size() == given.size() ? 0 : 1;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const char other = given.empty() ? '\0' : given[i % given.size()];
    difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>(other);
  }
  return difference == 0;
}

template <typename Number>
bool parse_whole_number(std::string_view text, Number& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty() && text[0] != '-';
}

// The text that each wildcard of the path matched.
using PathVariables = std::vector<std::string_view>;

// The value that the operators' table reads from this part of the message; none where it is absent.
std::optional<std::string_view> value_of(const AjpSource& source, const PathVariables& variables,
                                         const wa::ForwardRequest& message) {
  switch (source.from) {
    case AjpSource::From::kNowhere: break;
    case AjpSource::From::kHeader:
      if (const std::string* value = message.header(source.name)) return *value;
      break;
    case AjpSource::From::kQuery:
      if (const wa::Attribute* query = message.attribute(wa::Attribute::kQueryString))
        return query_field(query->value, source.name);
      break;
    case AjpSource::From::kPath:
      if (static_cast<std::size_t>(source.wildcard) <= variables.size())
        return variables[static_cast<std::size_t>(source.wildcard) - 1];
      break;
  }
  return std::nullopt;
}

bool has_body(const wa::ForwardRequest& message) {
  const std::string* length = message.header("content-length");
  return message.header("transfer-encoding") != nullptr || (length != nullptr && *length != "0");
}

bool has_secret(const wa::ForwardRequest& message, const std::string& expected) {
  if (expected.empty()) return true;
  const wa::Attribute* secret = message.attribute(wa::Attribute::kSecret);
  return secret != nullptr && is_same_secret(expected, secret->value);
}

// An attribute that a gateway forwards without being configured to may be an attempt to control the
// application behind this server (CVE-2020-1938).
bool has_forbidden_attribute(const wa::ForwardRequest& message, const std::vector<std::string>& allowed) {
  return std::any_of(message.attributes.begin(), message.attributes.end(),
                     [&](const wa::Attribute& attribute) {
                       return attribute.kind == wa::Attribute::kRequest &&
                              std::find(allowed.begin(), allowed.end(), attribute.name) == allowed.end();
                     });
}

AjpRejectReason reason_of(AjpNoMatch mismatch) {
  if (mismatch == AjpNoMatch::kPath) return AjpRejectReason::kUnmappedPath;
  if (mismatch == AjpNoMatch::kMethod) return AjpRejectReason::kUnmappedMethod;
  return AjpRejectReason::kInvalidPath;
}

// False: the key that the route needs is missing, or it is too long.
bool read_key(const AjpMatch& matched, const wa::ForwardRequest& message, const AjpSite& site,
              IncomingRequest& request) {
  if (const auto key = value_of(matched.route->key, matched.wildcards, message))
    request.idempotency_key = *key;
  if (request.idempotency_key.size() > std::max<std::size_t>(1, site.max_key_bytes)) return false;
  const auto route = static_cast<std::size_t>(request.route);
  const bool is_needed = route < site.needs_key.size() && site.needs_key[route];
  return !is_needed || !request.idempotency_key.empty();
}

void read_caller_and_subject(const AjpMatch& matched, const wa::ForwardRequest& message,
                             IncomingRequest& request) {
  if (const auto caller = value_of(matched.route->caller, matched.wildcards, message)) {
    if (!parse_whole_number(*caller, request.caller))
      request.caller = static_cast<std::uint32_t>(XXH3_64bits(caller->data(), caller->size()));
  }
  if (const auto subject = value_of(matched.route->subject, matched.wildcards, message))
    request.subject = XXH3_64bits(subject->data(), subject->size()) | 1;  // 0 would be no subject
}

// False: the value is invalid.
bool read_timeout(const AjpMatch& matched, const wa::ForwardRequest& message, IncomingRequest& request) {
  const auto wait = value_of(matched.route->wait, matched.wildcards, message);
  if (!wait) return true;
  std::uint64_t ms = 0;
  if (!parse_whole_number(*wait, ms) || ms == 0) return false;
  request.client_timeout = std::min(kMaxTimeoutSeconds, static_cast<double>(ms) / kMsPerSecond);
  return true;
}

// False: a field that the route needs is missing or invalid.
bool read_fields(const AjpMatch& matched, const wa::ForwardRequest& message, const AjpSite& site,
                 MappedRequest& mapped) {
  if (matched.route->route == "health") {
    mapped.is_health_check = true;
    return true;
  }
  const auto route = std::find(site.routes.begin(), site.routes.end(), matched.route->route);
  if (route == site.routes.end()) return false;  // the table names a route that the site does not have
  mapped.request.route = static_cast<int>(route - site.routes.begin());
  mapped.request.size_kb = matched.route->size_kb;
  if (!read_key(matched, message, site, mapped.request)) return false;
  read_caller_and_subject(matched, message, mapped.request);
  return read_timeout(matched, message, mapped.request);
}

// Reads how the length of the body is given; a reason where the message is rejected. Two lengths, or a
// length and an encoding, are rejected: two parsers could disagree on where the request ends.
std::optional<AjpRejectReason> read_body_length(const wa::ForwardRequest& message, std::size_t max_body,
                                                MappedRequest& mapped) {
  const std::string* length = nullptr;
  std::size_t encodings = 0;
  for (const wa::Header& header : message.headers) {
    if (header.name == "transfer-encoding") ++encodings;
    if (header.name != "content-length") continue;
    if (length != nullptr && *length != header.value) return AjpRejectReason::kAmbiguousLength;
    length = &header.value;
  }
  const std::string* encoding = message.header("transfer-encoding");
  if (encodings > 1) return AjpRejectReason::kAmbiguousLength;
  if (encoding != nullptr && length != nullptr) return AjpRejectReason::kAmbiguousLength;
  if (encoding != nullptr && *encoding != "chunked") return AjpRejectReason::kUnsupportedEncoding;
  mapped.is_chunked = encoding != nullptr;
  if (length == nullptr) return std::nullopt;
  if (!parse_whole_number(*length, mapped.content_length)) return AjpRejectReason::kAmbiguousLength;
  if (mapped.content_length > max_body) return AjpRejectReason::kTooLarge;
  return std::nullopt;
}

}  // namespace

std::variant<MappedRequest, AjpRejection> map_request(const wa::ForwardRequest& message,
                                                      const AjpOptions& options, const AjpSite& site) {
  if (!has_secret(message, options.secret)) return AjpRejection{AjpRejectReason::kForbidden, true};
  if (has_forbidden_attribute(message, options.attributes))
    return AjpRejection{AjpRejectReason::kForbiddenAttribute, true};
  const bool body_may_follow = has_body(message);
  const auto found = match(options.routes, message.method, message.uri);
  if (const auto* mismatch = std::get_if<AjpNoMatch>(&found))
    return AjpRejection{reason_of(*mismatch), body_may_follow};
  MappedRequest mapped;
  if (!read_fields(std::get<AjpMatch>(found), message, site, mapped))
    return AjpRejection{AjpRejectReason::kInvalidField, body_may_follow};
  if (const auto reason = read_body_length(message, options.body, mapped)) return AjpRejection{*reason, true};
  return mapped;
}

std::uint16_t status_of(AjpRejectReason reason) {
  switch (reason) {
    case AjpRejectReason::kForbidden:
    case AjpRejectReason::kForbiddenAttribute: return http_status::kForbidden;
    case AjpRejectReason::kUnmappedPath: return http_status::kNotFound;
    case AjpRejectReason::kUnmappedMethod: return http_status::kMethodNotAllowed;
    case AjpRejectReason::kInvalidPath:
    case AjpRejectReason::kInvalidField:
    case AjpRejectReason::kAmbiguousLength: return http_status::kBadRequest;
    case AjpRejectReason::kUnsupportedEncoding: return http_status::kNotImplemented;
    case AjpRejectReason::kTooLarge: return http_status::kContentTooLarge;
  }
  return http_status::kBadRequest;
}

}  // namespace damsonspoke::peers
