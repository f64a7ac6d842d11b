// Operators' table of what HTTP requests mean: a method and a pattern of paths to an route, and where the
// rest of the request is found in the request. Pure: lines of words in, a table; a request's method and
// target in, what it maps to. Grammar: PEGTL.
//
//   map POST /hotels/*/close  close  key=header:idempotency-key caller=path:1 wait=header:x-wait-ms held=16
//   map GET  /rates/**        rates  subject=query:room caller=header:x-hotel
//   map GET  /ping            health
//
// A pattern is literal segments, `*` (one segment) and, last, `**` (whatever follows). The first line that
// fits is the one; a path with `.`, `..`, empty or escaped segments, which two readers might read
// differently, fits none.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damsonspoke {

// Where a value stands in a request.
struct AjpSource {
  enum class From { kNowhere, kHeader, kQuery, kPath } from = From::kNowhere;
  std::string name;  // of a header, in lower case, or of a query's field
  int star = 0;      // of a path: which `*`, from 1
  bool given() const { return from != From::kNowhere; }
};

struct AjpRoute {
  std::string method;
  std::vector<std::string> segments;  // "*" for any one
  bool open_end = false;              // `**`
  std::string route;                  // "health": no request, but a question about our health
  AjpSource key, caller, subject, wait;
  double size_kb = 10;  // that a request of it is charged until it has run
};

// A line's words after `map`. Otherwise what is wrong, and with which word.
struct AjpRouteError {
  std::size_t word = 0;  // from 0
  std::string text;
};
std::variant<AjpRoute, AjpRouteError> read_ajp_route(const std::vector<std::string>& words);

// A target as a request line would have it: its path's segments, or none where the path is not to be trusted.
std::optional<std::vector<std::string_view>> path_segments(std::string_view path);

struct AjpMatch {
  const AjpRoute* route = nullptr;
  std::vector<std::string_view> stars;  // what stood for each `*`
};
enum class AjpNoMatch {
  kPath,
  kMethod,
  kBadPath
};  // nothing there; there, but not for that method; not to be read
std::variant<AjpMatch, AjpNoMatch> match(const std::vector<AjpRoute>& routes, std::string_view method,
                                         std::string_view path);

// The value of a query's field, as it stands there, not unescaped; none where it is not there.
std::optional<std::string_view> query_field(std::string_view query, std::string_view name);

}  // namespace damsonspoke
