// The operators' table that maps HTTP requests to routes: a method and a pattern of paths to a route, and
// where the other parts of a request are found. Pure: lines of words in, a table; a request's method and path
// in, what it maps to. Grammar: PEGTL.
//
//   map POST /hotels/*/close  close  key=header:idempotency-key caller=path:1 wait=header:x-wait-ms held=16
//   map GET  /rates/**        rates  subject=query:room caller=header:x-hotel
//   map GET  /ping            health
//
// A pattern consists of literal segments, `*` (one segment) and, at the end, `**` (any number of segments).
// The first line that matches counts. A path with `.`, `..`, empty or escaped segments matches none, because
// two readers might read it differently.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damsonspoke {

// The name in place of a route that maps a request to the health check.
constexpr std::string_view kAjpHealthRoute = "health";

// Where a value stands in a request.
struct AjpSource {
  enum class From { kNowhere, kHeader, kQuery, kPath } from = From::kNowhere;
  std::string name;  // of a header, in lower case, or of a query's field
  int wildcard = 0;  // with kPath: which `*` of the pattern, from 1
  [[nodiscard]] bool is_set() const { return from != From::kNowhere; }
};

struct AjpRoute {
  std::string method;
  std::vector<std::string> segments;  // "*" for any one
  bool matches_rest = false;          // the pattern ends with `**`
  std::string route;                  // or kAjpHealthRoute
  AjpSource key, caller, subject, wait;
  double size_kb = 10;  // charged for a request until it has run
};

struct AjpRouteError {
  std::size_t word = 0;  // the position of the word with the error, from 0
  std::string text;
};
// Reads the words of a line after `map`.
[[nodiscard]] std::variant<AjpRoute, AjpRouteError> read_ajp_route(const std::vector<std::string>& words);

// The segments of a path; nothing when the path is ambiguous, see above.
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

// The value of a query's field, without unescaping it; nothing when the field is absent.
[[nodiscard]] std::optional<std::string_view> query_field(std::string_view query, std::string_view name);

}  // namespace damsonspoke
