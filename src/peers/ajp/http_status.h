// The HTTP status codes that AJP messages carry here (RFC 9110, section 15), and their phrases.
#pragma once

#include <cstdint>

namespace damsonspoke::peers::http_status {

inline constexpr std::uint16_t kOk = 200;
inline constexpr std::uint16_t kBadRequest = 400;
inline constexpr std::uint16_t kForbidden = 403;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kMethodNotAllowed = 405;
inline constexpr std::uint16_t kRequestTimeout = 408;
inline constexpr std::uint16_t kContentTooLarge = 413;
inline constexpr std::uint16_t kUnprocessableContent = 422;
inline constexpr std::uint16_t kInternalServerError = 500;
inline constexpr std::uint16_t kNotImplemented = 501;
inline constexpr std::uint16_t kBadGateway = 502;
inline constexpr std::uint16_t kServiceUnavailable = 503;
inline constexpr std::uint16_t kGatewayTimeout = 504;

// The reason phrase of a status listed above; "Status" for any other.
[[nodiscard]] inline const char* reason_phrase(std::uint16_t status) {
  switch (status) {
    case kOk: return "OK";
    case kBadRequest: return "Bad Request";
    case kForbidden: return "Forbidden";
    case kNotFound: return "Not Found";
    case kMethodNotAllowed: return "Method Not Allowed";
    case kRequestTimeout: return "Request Timeout";
    case kContentTooLarge: return "Content Too Large";
    case kUnprocessableContent: return "Unprocessable Content";
    case kInternalServerError: return "Internal Server Error";
    case kNotImplemented: return "Not Implemented";
    case kBadGateway: return "Bad Gateway";
    case kServiceUnavailable: return "Service Unavailable";
    case kGatewayTimeout: return "Gateway Timeout";
    default: return "Status";
  }
}

}  // namespace damsonspoke::peers::http_status
