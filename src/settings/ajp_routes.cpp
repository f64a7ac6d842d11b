#include "settings/ajp_routes.h"

#include <algorithm>
#include <cstdlib>
#include <tao/pegtl.hpp>

namespace damsonspoke {
namespace {

namespace p = tao::pegtl;

constexpr std::size_t kMostSegments = 32;
constexpr double kMaxSizeKb = 2000;  // as callers of the other front may ask for

// ---- Grammar.
struct token_char : p::sor<p::alnum, p::one<'!', '$', '&', '\'', '+', '-', '.', '^', '_', '`', '|', '~'>> {};
struct token : p::plus<token_char> {};
struct method : p::plus<p::sor<p::upper, p::one<'-', '_'>>> {};
struct method_word : p::seq<method, p::eof> {};

struct segment_char
    : p::sor<p::alnum, p::one<'-', '.', '_', '~', '!', '$', '&', '\'', '(', ')', '+', ',', ':', '@', '='>> {};
struct literal : p::plus<segment_char> {};
struct any_rest : p::seq<p::string<'*', '*'>, p::at<p::eof>> {};
struct any_one : p::seq<p::one<'*'>, p::at<p::sor<p::one<'/'>, p::eof>>> {};
struct segment : p::sor<any_rest, any_one, literal> {};
struct root : p::seq<p::one<'/'>, p::eof> {};
struct pattern_word : p::sor<root, p::seq<p::plus<p::one<'/'>, segment>, p::eof>> {};

struct header_name : token {};
struct query_name : token {};
struct star_number : p::seq<p::range<'1', '9'>, p::opt<p::digit>> {};
struct header_source : p::seq<p::string<'h', 'e', 'a', 'd', 'e', 'r', ':'>, header_name> {};
struct query_source : p::seq<p::string<'q', 'u', 'e', 'r', 'y', ':'>, query_name> {};
struct path_source : p::seq<p::string<'p', 'a', 't', 'h', ':'>, star_number> {};
struct source_word : p::seq<p::sor<header_source, query_source, path_source>, p::eof> {};

struct number_word : p::seq<p::rep_min_max<1, 4, p::digit>, p::eof> {};

template <typename Rule>
struct PatternAction {};
template <>
struct PatternAction<literal> {
  template <typename Input>
  static void apply(const Input& in, AjpRoute& route) {
    route.segments.push_back(in.string());
  }
};
template <>
struct PatternAction<any_one> {
  static void apply0(AjpRoute& route) { route.segments.emplace_back("*"); }
};
template <>
struct PatternAction<any_rest> {
  static void apply0(AjpRoute& route) { route.open_end = true; }
};

std::string lower(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return text;
}

template <typename Rule>
struct SourceAction {};
template <>
struct SourceAction<header_name> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kHeader;
    source.name = lower(in.string());
  }
};
template <>
struct SourceAction<query_name> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kQuery;
    source.name = in.string();
  }
};
template <>
struct SourceAction<star_number> {
  template <typename Input>
  static void apply(const Input& in, AjpSource& source) {
    source.from = AjpSource::From::kPath;
    source.star = std::atoi(in.string().c_str());
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

// One `name=value`; what is wrong with it, or nothing.
std::string read_option(const std::string& word, AjpRoute& route) {
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos) return "'" + word + "' is no name=value";
  const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
  if (name == "held") {
    if (!parses<number_word>(value) || std::atof(value.c_str()) < 1 || std::atof(value.c_str()) >= kMaxSizeKb)
      return "'held' expects kilobytes from 1 to 1999";
    route.size_kb = std::atof(value.c_str());
    return {};
  }
  AjpSource* source = name == "key"       ? &route.key
                      : name == "caller"  ? &route.caller
                      : name == "subject" ? &route.subject
                      : name == "wait"    ? &route.wait
                                          : nullptr;
  if (source == nullptr) return "'" + name + "' is none of key, caller, subject, wait, held";
  if (source->given()) return "'" + name + "' stands twice";
  if (!parses<source_word, SourceAction>(value, *source))
    return "'" + name + "' expects header:NAME, query:NAME or path:N";
  const auto stars = std::count(route.segments.begin(), route.segments.end(), "*");
  if (source->from == AjpSource::From::kPath && source->star > stars)
    return "'" + name + "' names a * that the pattern does not have";
  return {};
}

bool escaped_or_odd(std::string_view segment) {
  return segment.empty() || segment == "." || segment == ".." ||
         std::any_of(segment.begin(), segment.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte <= 0x20 || byte >= 0x7f || c == '%' || c == ';' || c == '\\' || c == '?' || c == '#';
         });
}

bool fits(const AjpRoute& route, const std::vector<std::string_view>& path,
          std::vector<std::string_view>& stars) {
  if (route.open_end ? path.size() < route.segments.size() : path.size() != route.segments.size())
    return false;
  stars.clear();
  for (std::size_t i = 0; i < route.segments.size(); ++i) {
    if (route.segments[i] == "*") {
      stars.push_back(path[i]);
    } else if (route.segments[i] != path[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::variant<AjpRoute, AjpRouteError> read_ajp_route(const std::vector<std::string>& words) {
  AjpRoute route;
  if (words.size() < 3) return AjpRouteError{0, "'map' expects a method, a pattern and an op type"};
  if (!parses<method_word>(words[0])) return AjpRouteError{0, "'" + words[0] + "' is no method"};
  route.method = words[0];
  if (!parses<pattern_word, PatternAction>(words[1], route) || route.segments.size() > kMostSegments)
    return AjpRouteError{1, "'" + words[1] + "' is no pattern of paths"};
  if (std::any_of(route.segments.begin(), route.segments.end(),
                  [](const std::string& one) { return one == "." || one == ".."; }))
    return AjpRouteError{1, "'" + words[1] + "' has a segment that no path may have"};
  route.route = words[2];
  for (std::size_t i = 3; i < words.size(); ++i) {
    const std::string wrong = read_option(words[i], route);
    if (!wrong.empty()) return AjpRouteError{i, wrong};
  }
  return route;
}

std::optional<std::vector<std::string_view>> path_segments(std::string_view path) {
  std::vector<std::string_view> out;
  if (path.empty() || path[0] != '/') return std::nullopt;
  path.remove_prefix(1);
  if (path.empty()) return out;
  for (;;) {
    const std::size_t slash = path.find('/');
    out.push_back(path.substr(0, slash));
    if (escaped_or_odd(out.back()) || out.size() > kMostSegments) return std::nullopt;
    if (slash == std::string_view::npos) return out;
    path.remove_prefix(slash + 1);
  }
}

std::variant<AjpMatch, AjpNoMatch> match(const std::vector<AjpRoute>& routes, std::string_view method,
                                         std::string_view path) {
  const auto segments = path_segments(path);
  if (!segments) return AjpNoMatch::kBadPath;
  AjpMatch out;
  bool there = false;
  for (const AjpRoute& route : routes) {
    if (!fits(route, *segments, out.stars)) continue;
    there = true;
    if (route.method != method) continue;
    out.route = &route;
    return out;
  }
  return there ? AjpNoMatch::kMethod : AjpNoMatch::kPath;
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
