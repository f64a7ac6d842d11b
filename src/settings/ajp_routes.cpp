#include "settings/ajp_routes.h"

#include <algorithm>
#include <string>
#include <tao/pegtl.hpp>

namespace damsonspoke {
namespace {

namespace p = tao::pegtl;

constexpr std::size_t kMaxSegments = 32;
constexpr double kMinSizeKb = 1;
constexpr double kMaxSizeKb = 2000;  // exclusive; the same as for JSON-RPC requests
constexpr std::size_t kMinWords = 3;

// ---- Grammar.
struct TokenChar : p::sor<p::alnum, p::one<'!', '$', '&', '\'', '+', '-', '.', '^', '_', '`', '|', '~'>> {};
struct Token : p::plus<TokenChar> {};
struct Method : p::plus<p::sor<p::upper, p::one<'-', '_'>>> {};
struct MethodWord : p::seq<Method, p::eof> {};

struct SegmentChar
    : p::sor<p::alnum, p::one<'-', '.', '_', '~', '!', '$', '&', '\'', '(', ')', '+', ',', ':', '@', '='>> {};
struct Literal : p::plus<SegmentChar> {};
struct AnyRest : p::seq<p::string<'*', '*'>, p::at<p::eof>> {};
struct AnyOne : p::seq<p::one<'*'>, p::at<p::sor<p::one<'/'>, p::eof>>> {};
struct Segment : p::sor<AnyRest, AnyOne, Literal> {};
struct Root : p::seq<p::one<'/'>, p::eof> {};
struct PatternWord : p::sor<Root, p::seq<p::plus<p::one<'/'>, Segment>, p::eof>> {};

struct HeaderName : Token {};
struct QueryName : Token {};
struct WildcardNumber : p::seq<p::range<'1', '9'>, p::opt<p::digit>> {};
struct HeaderSource : p::seq<p::string<'h', 'e', 'a', 'd', 'e', 'r', ':'>, HeaderName> {};
struct QuerySource : p::seq<p::string<'q', 'u', 'e', 'r', 'y', ':'>, QueryName> {};
struct PathSource : p::seq<p::string<'p', 'a', 't', 'h', ':'>, WildcardNumber> {};
struct SourceWord : p::seq<p::sor<HeaderSource, QuerySource, PathSource>, p::eof> {};

struct NumberWord : p::seq<p::rep_min_max<1, 4, p::digit>, p::eof> {};

template <typename Rule>
struct PatternAction {};
template <>
struct PatternAction<Literal> {
  template <typename Input>
  static void apply(const Input& in, AjpRoute& route) {
    route.segments.push_back(in.string());
  }
};
template <>
struct PatternAction<AnyOne> {
  static void apply0(AjpRoute& route) { route.segments.emplace_back("*"); }
};
template <>
struct PatternAction<AnyRest> {
  static void apply0(AjpRoute& route) { route.matches_rest = true; }
};

std::string to_lower(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return text;
}

template <typename Rule>
struct SourceAction {};
template <>
struct SourceAction<HeaderName> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kHeader;
    source.name = to_lower(in.string());
  }
};
template <>
struct SourceAction<QueryName> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kQuery;
    source.name = in.string();
  }
};
template <>
struct SourceAction<WildcardNumber> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kPath;
    source.wildcard = std::stoi(in.string());
  }
};

template <typename Rule, template <typename> class Action, typename State>
bool parses(const std::string& text, State& state) {
  p::memory_input in(text, "map");
  return p::parse<Rule, Action>(in, state);
}
template <typename Rule>
bool parses(const std::string& text) {
  p::memory_input in(text, "map");
  return p::parse<Rule>(in);
}

std::string quoted_name(const std::string& name) { return "'" + name + "'"; }

// Reads `held=KB`. Returns the text of an error.
std::optional<std::string> read_held(const std::string& value, AjpRoute& route) {
  if (parses<NumberWord>(value)) {
    const double size_kb = std::stod(value);
    if (size_kb >= kMinSizeKb && size_kb < kMaxSizeKb) {
      route.size_kb = size_kb;
      return std::nullopt;
    }
  }
  return "'held' expects kilobytes from 1 to 1999";
}

AjpSource* find_source(AjpRoute& route, std::string_view name) {
  if (name == "key") return &route.key;
  if (name == "caller") return &route.caller;
  if (name == "subject") return &route.subject;
  if (name == "wait") return &route.wait;
  return nullptr;
}

// Reads one `name=value`. Returns the text of an error.
std::optional<std::string> read_option(const std::string& word, AjpRoute& route) {
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos) return quoted_name(word) + " is not of the form name=value";
  const std::string name = word.substr(0, equals);
  const std::string value = word.substr(equals + 1);
  if (name == "held") return read_held(value, route);
  AjpSource* source = find_source(route, name);
  if (source == nullptr) return quoted_name(name) + " is none of key, caller, subject, wait, held";
  if (source->is_set()) return quoted_name(name) + " is given twice";
  if (!parses<SourceWord, SourceAction>(value, *source))
    return quoted_name(name) + " expects header:NAME, query:NAME or path:N";
  const auto wildcards = std::count(route.segments.begin(), route.segments.end(), "*");
  if (source->from == AjpSource::From::kPath && source->wildcard > wildcards)
    return quoted_name(name) + " refers to a * that the pattern does not have";
  return std::nullopt;
}

// Whether a gateway might interpret the segment differently than this program does.
bool is_ambiguous(std::string_view segment) {
  return segment.empty() || segment == "." || segment == ".." ||
         std::any_of(segment.begin(), segment.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte <= 0x20 || byte >= 0x7f || c == '%' || c == ';' || c == '\\' || c == '?' || c == '#';
         });
}

bool matches(const AjpRoute& route, const std::vector<std::string_view>& path,
             std::vector<std::string_view>& wildcards) {
  if (route.matches_rest ? path.size() < route.segments.size() : path.size() != route.segments.size())
    return false;
  wildcards.clear();
  for (std::size_t i = 0; i < route.segments.size(); ++i) {
    if (route.segments[i] == "*") {
      wildcards.push_back(path[i]);
    } else if (route.segments[i] != path[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::variant<AjpRoute, AjpRouteError> read_ajp_route(const std::vector<std::string>& words) {
  AjpRoute route;
  if (words.size() < kMinWords) return AjpRouteError{0, "'map' expects a method, a path pattern and a route"};
  if (!parses<MethodWord>(words[0])) return AjpRouteError{0, "'" + words[0] + "' is not a method"};
  route.method = words[0];
  if (!parses<PatternWord, PatternAction>(words[1], route) || route.segments.size() > kMaxSegments)
    return AjpRouteError{1, "'" + words[1] + "' is not a path pattern"};
  if (std::any_of(route.segments.begin(), route.segments.end(),
                  [](const std::string& segment) { return segment == "." || segment == ".."; }))
    return AjpRouteError{1, "'" + words[1] + "' has a segment '.' or '..', which no path may have"};
  route.route = words[2];
  for (std::size_t i = kMinWords; i < words.size(); ++i) {
    if (const auto error = read_option(words[i], route)) return AjpRouteError{i, *error};
  }
  return route;
}

std::optional<std::vector<std::string_view>> path_segments(std::string_view path) {
  std::vector<std::string_view> segments;
  if (path.empty() || path[0] != '/') return std::nullopt;
  path.remove_prefix(1);
  if (path.empty()) return segments;
  for (;;) {
    const std::size_t slash = path.find('/');
    segments.push_back(path.substr(0, slash));
    if (is_ambiguous(segments.back()) || segments.size() > kMaxSegments) return std::nullopt;
    if (slash == std::string_view::npos) return segments;
    path.remove_prefix(slash + 1);
  }
}

std::variant<AjpMatch, AjpNoMatch> match(const std::vector<AjpRoute>& routes, std::string_view method,
                                         std::string_view path) {
  const auto segments = path_segments(path);
  if (!segments) return AjpNoMatch::kBadPath;
  AjpMatch found;
  bool path_matches = false;
  for (const AjpRoute& route : routes) {
    if (!matches(route, *segments, found.wildcards)) continue;
    path_matches = true;
    if (route.method != method) continue;
    found.route = &route;
    return found;
  }
  return path_matches ? AjpNoMatch::kMethod : AjpNoMatch::kPath;
}

std::optional<std::string_view> query_field(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view field = query.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == name) return field.substr(equals + 1);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return std::nullopt;
}

}  // namespace damsonspoke
