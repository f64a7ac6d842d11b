// The operators' table that maps HTTP requests to routes by method and path pattern, and names the headers,
// query fields and path segments that hold the other parts of a request. Pure functions without I/O; the
// grammar uses PEGTL.
//
//   map POST /hotels/*/close  close  key=header:idempotency-key caller=path:1 wait=header:x-wait-ms held=16
//   map GET  /rates/**        rates  subject=query:room caller=header:x-hotel
//   map GET  /ping            health
//
// A pattern consists of literal segments, `*` (one segment) and, at the end, `**` (any number of segments).
// The first line that matches is used. A path with `.`, `..`, empty or escaped segments matches none, because
// the gateway and this program might interpret it differently.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damsonspoke {

// Stands in place of a route and maps a request to the health check.
constexpr std::string_view kAjpHealthRoute = "health";

// The part of a request that holds a value.
struct AjpSource {
  enum class From { kNowhere, kHeader, kQuery, kPath } from = From::kNowhere;
  std::string name;  // of a header, in lower case, or of a query field
  int wildcard = 0;  // with kPath: the number of the `*` in the pattern, from 1
  [[nodiscard]] bool is_set() const { return from != From::kNowhere; }
};

struct AjpRoute {
  std::string method;
  std::vector<std::string> segments;  // "*" matches any one segment
  bool matches_rest = false;          // the pattern ends with `**`
  std::string route;                  // or kAjpHealthRoute
  AjpSource key, caller, subject, wait;
  double size_kb = 10;  // memory charged for a request until its run ends
};

struct AjpRouteError {
  std::size_t word = 0;  // the position of the word with the error, from 0
  std::string text;
};
// Reads the words of a line after `map`.
[[nodiscard]] std::variant<AjpRoute, AjpRouteError> read_ajp_route(const std::vector<std::string>& words);

// The segments of a path; nothing if the path is ambiguous, see above.
[[nodiscard]] std::optional<std::vector<std::string_view>> path_segments(std::string_view path);

struct AjpMatch {
  const AjpRoute* route = nullptr;
  std::vector<std::string_view> wildcards;  // the segment for each `*`
};
enum class AjpNoMatch {
  kPath,    // no pattern matches
  kMethod,  // a pattern matches, but not with this method
  kBadPath  // the path is ambiguous
};
[[nodiscard]] std::variant<AjpMatch, AjpNoMatch> match(const std::vector<AjpRoute>& routes,
                                                       std::string_view method, std::string_view path);

// The value of a query field, still escaped; nothing if the field is absent.
[[nodiscard]] std::optional<std::string_view> query_field(std::string_view query, std::string_view name);

}  // namespace damsonspoke
