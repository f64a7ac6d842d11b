#include "settings/operator_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "settings/settings.h"

namespace damsonspoke {
namespace {

using Type = DirectiveType;
using Values = std::map<std::pair<std::string, std::string>, OperatorFile::Value>;

constexpr std::size_t kMostBytes = 1 << 20;  // a longer file is none of ours
constexpr double kInputGrace = 0.5;          // s that a request may begin slowly: one lost packet sent again
constexpr double kOutputGrace = 1;           // s that answers may wait: some lost packets, or a short pause
constexpr std::size_t kMostErrors = 50;      // told of one file

std::vector<std::string> split(std::string_view text) {
  std::vector<std::string> out;
  std::istringstream in{std::string(text)};
  for (std::string one; in >> one;) out.push_back(one);
  return out;
}

// The number that a word stands for under a directive of that type.
bool read_number(Type type, std::string_view word, double& out) {
  switch (type) {
    case Type::kSize: return read_size(word, out);
    case Type::kDuration: return read_duration(word, out);
    case Type::kPercentage: return read_percentage(word, out);
    case Type::kCount: return read_count(word, out);
    default: return false;
  }
}

bool fits(const Directive& d, const std::vector<std::string>& words) {
  if (d.type == Type::kWords || d.type == Type::kLines) {
    return static_cast<double>(words.size()) >= d.least && static_cast<double>(words.size()) <= d.most;
  }
  if (words.size() != 1) return false;
  const std::string& word = words.front();
  double number = 0;
  switch (d.type) {
    case Type::kFlag: return word == "on" || word == "off";
    case Type::kChoice: {
      const std::vector<std::string> choices = split(d.choices);
      return std::find(choices.begin(), choices.end(), word) != choices.end();
    }
    case Type::kText:
      return static_cast<double>(word.size()) >= d.least && static_cast<double>(word.size()) <= d.most;
    default: return read_number(d.type, word, number) && number >= d.least && number <= d.most;
  }
}

struct GateGroupError {
  std::size_t word = 0;
  std::string text;
};
std::variant<conns::ClientGroup, GateGroupError> read_gate_group(const std::vector<std::string>& words) {
  conns::ClientGroup out;
  out.name = words[0];
  if (!read_percentage(words[1], out.share) || out.share < 0.01 || out.share > 1)
    return GateGroupError{1, fmt::format("'{}' is no percentage from 1% to 100%", words[1])};
  for (std::size_t i = 2; i < words.size(); ++i) {
    const std::optional<conns::Prefix> prefix = conns::parse_prefix(words[i]);
    if (!prefix) return GateGroupError{i, fmt::format("'{}' is no address or network", words[i])};
    out.prefixes.push_back(*prefix);
  }
  return out;
}

class Checker {
 public:
  explicit Checker(OperatorFile& out) : out_(out) {}

  void take(const OperatorLine& line) {
    const OperatorWord& first = line.words.front();
    if (line.section) return take_section(line);
    if (section_.empty()) {
      if (!section_wrong_) error(line, first, fmt::format("'{}' stands in no section", first.text));
      return;
    }
    const Directive* d = find_directive(section_, first.text);
    if (d == nullptr) {
      const std::string near = nearest_directive(section_, first.text);
      return error(line, first,
                   fmt::format("'{}' is no directive of section '{}'{}", first.text, section_, hint(near)));
    }
    std::vector<std::string> words;
    for (std::size_t i = 1; i < line.words.size(); ++i) words.push_back(line.words[i].text);
    if (!fits(*d, words)) {
      const OperatorWord& at = line.words.size() > 1 ? line.words[1] : first;
      return error(line, at, fmt::format("'{}' expects {}", d->name, expected(*d)));
    }
    if (d->type == Type::kLines) return take_one_of_many(line, first.text, std::move(words));
    if ((section_ == "gate" && first.text == "known") || (section_ == "members" && first.text == "peers")) {
      for (std::size_t i = 0; i < words.size(); ++i) {
        if (conns::parse_prefix(words[i])) continue;
        return error(line, line.words[i + 1], fmt::format("'{}' is no address or network", words[i]));
      }
    }
    auto [place, fresh] = out_.given.try_emplace({section_, first.text});
    if (!fresh) {
      return error(line, first,
                   fmt::format("'{}' stands twice, first on line {}", first.text, place->second.line));
    }
    place->second = {std::move(words), line.line, {}};
  }

 private:
  // A line of a table: each has to be sound by itself.
  void take_one_of_many(const OperatorLine& line, const std::string& name, std::vector<std::string> words) {
    if (section_ == "gate") {
      const auto read = read_gate_group(words);
      if (const auto* wrong = std::get_if<GateGroupError>(&read))
        return error(line, line.words[wrong->word + 1], wrong->text);
    } else {
      const auto read = read_ajp_route(words);
      if (const auto* wrong = std::get_if<AjpRouteError>(&read))
        return error(line, line.words[wrong->word + 1], wrong->text);
    }
    OperatorFile::Value& value = out_.given[{section_, name}];
    if (value.lines.empty()) value.line = line.line;
    value.lines.push_back(std::move(words));
  }
  void take_section(const OperatorLine& line) {
    const OperatorWord& first = line.words.front();
    section_.clear();
    section_wrong_ = true;  // what follows is not told as well
    if (!is_section(first.text)) {
      return error(line, first,
                   fmt::format("'{}' is no section{}", first.text, hint(nearest_section(first.text))));
    }
    if (line.words.size() > 1) {
      return error(line, line.words[1], fmt::format("section '{}' takes no more words", first.text));
    }
    section_ = first.text;
    section_wrong_ = false;
  }
  static std::string hint(const std::string& near) {
    return near.empty() ? "" : fmt::format("; is '{}' meant?", near);
  }
  void error(const OperatorLine& line, const OperatorWord& at, std::string text) {
    out_.errors.push_back({line.line, at.column, std::move(text)});
  }

  OperatorFile& out_;
  std::string section_;
  bool section_wrong_ = false;
};

// Values by type, the default where nothing was given.
class Reader {
 public:
  explicit Reader(const Values& given) : given_(given) {}
  std::vector<std::string> words(const char* section, const char* name) const {
    const auto found = given_.find({section, name});
    return found != given_.end() ? found->second.words : split(find_directive(section, name)->otherwise);
  }
  std::string text(const char* section, const char* name) const {
    const std::vector<std::string> all = words(section, name);
    return all.empty() ? std::string() : all.front();
  }
  std::vector<std::vector<std::string>> lines(const char* section, const char* name) const {
    const auto found = given_.find({section, name});
    return found != given_.end() ? found->second.lines : std::vector<std::vector<std::string>>();
  }
  bool flag(const char* section, const char* name) const { return text(section, name) == "on"; }
  double number(const char* section, const char* name) const {
    double out = 0;
    read_number(find_directive(section, name)->type, text(section, name), out);
    return out;
  }
  std::size_t whole(const char* section, const char* name) const {
    return static_cast<std::size_t>(number(section, name));
  }

 private:
  const Values& given_;
};

OperatorOptions options_of(const Values& given) {
  const Reader read(given);
  OperatorOptions o;
  ResultsOptions& r = o.results;
  r.enabled = read.flag("results", "enabled");
  r.memory = read.whole("results", "memory");
  r.entries = read.whole("results", "entries");
  r.store = read.text("results", "store");
  r.power_safe = read.text("results", "safety") == "power";
  r.disk = read.whole("results", "disk");
  r.queue = read.whole("results", "queue");
  r.patience = read.number("results", "patience");
  r.key_field = read.text("results", "key-field");
  r.key_length = read.whole("results", "key-length");
  r.digest = read.words("results", "digest");
  r.digest_by_caller = read.text("results", "digest-by") == "caller";
  KnowledgeOptions& k = o.knowledge;
  k.enabled = read.flag("knowledge", "enabled");
  k.folder = read.text("knowledge", "folder");
  k.interval = read.number("knowledge", "interval");
  k.half_life = read.number("knowledge", "half-life");
  k.most_age = read.number("knowledge", "most-age");
  k.weight = read.number("knowledge", "weight");
  ForwardOptions& f = o.forward;
  f.planners = read.words("forward", "planners");
  f.from_members = read.text("forward", "planners-from") == "members";
  f.reload_spread = read.number("forward", "reload-spread");
  f.folder = read.text("forward", "folder");
  f.by_subject = read.flag("forward", "by-subject");
  f.retry_share = read.number("forward", "retry-share");
  f.link_patience = read.number("forward", "link-patience");
  f.line = read.whole("forward", "line");
  f.line_memory = read.whole("forward", "line-memory");
  AjpOptions& a = o.ajp;
  a.listen = read.text("ajp", "listen");
  a.secret = read.text("ajp", "secret");
  a.attributes = read.words("ajp", "attributes");
  a.packet = read.whole("ajp", "packet");
  a.body = read.whole("ajp", "body");
  a.share = read.number("ajp", "share");
  a.idle = read.number("ajp", "idle");
  a.dependency = read.text("ajp", "below");
  a.below_uri = read.text("ajp", "below-path");
  a.below_secret = read.text("ajp", "below-secret");
  a.below_refuses = read.flag("ajp", "below-refuses");
  for (const std::vector<std::string>& line : read.lines("ajp", "map")) {
    const auto route = read_ajp_route(line);  // refused lines are not among them
    if (const auto* good = std::get_if<AjpRoute>(&route)) a.routes.push_back(*good);
  }
  GateOptions& g = o.gate;
  g.enabled = read.flag("gate", "enabled");
  g.connections = read.whole("gate", "connections");
  g.limiter.reserve = read.number("gate", "reserve");
  g.limiter.client_share = read.number("gate", "client-share");
  g.limiter.known_client_share = read.number("gate", "known-share");
  g.limiter.network_share = read.number("gate", "network-share");
  g.limiter.client_rate = read.number("gate", "client-rate");
  g.limiter.client_burst = read.number("gate", "client-burst");
  g.limiter.network_rate = read.number("gate", "network-rate");
  g.limiter.network_burst = read.number("gate", "network-burst");
  g.limiter.unknown_clients_rate = read.number("gate", "strangers-rate");
  g.limiter.unknown_clients_burst = read.number("gate", "strangers-burst");
  g.limiter.penalty_limit = read.number("gate", "wasteful");
  g.limiter.penalty_half_life = read.number("gate", "waste-half-life");
  g.limiter.idle_protection = read.number("gate", "keep-idle");
  g.client_output = read.number("gate", "client-output");
  g.input = {kInputGrace, read.number("gate", "input-rate")};
  g.output = {kOutputGrace, read.number("gate", "output-rate")};
  g.known.max_age = read.number("gate", "known-for");
  g.known.required_successes = read.number("gate", "known-after");
  g.known_folder = read.text("gate", "known-folder");
  g.known_interval = read.number("gate", "known-interval");
  for (const std::string& word : read.words("gate", "known")) {
    if (const auto prefix = conns::parse_prefix(word)) g.limiter.listed.push_back(*prefix);
  }
  for (const std::vector<std::string>& line : read.lines("gate", "group")) {
    const auto group = read_gate_group(line);
    if (const auto* good = std::get_if<conns::ClientGroup>(&group)) g.limiter.groups.push_back(*good);
  }
  o.catalog.folder = read.text("catalog", "folder");
  o.catalog.routes = read.whole("catalog", "routes");
  o.catalog.tenants = read.whole("catalog", "tenants");
  MembersOptions& m = o.members;
  m.bind = read.text("members", "bind");
  m.face = read.text("members", "face");
  if (m.face.empty()) m.face = m.bind;
  m.cluster = read.text("members", "cluster");
  m.seeds = read.words("members", "seeds");
  for (const std::string& word : read.words("members", "peers")) {
    if (const auto prefix = conns::parse_prefix(word)) m.peers.push_back(*prefix);
  }
  m.zone = read.text("members", "zone");
  m.serves = read.text("members", "serves");
  m.interval = read.number("members", "interval");
  m.suspicion = read.number("members", "suspicion");
  m.remember = read.number("members", "remember");
  o.control.folder = read.text("control", "folder");
  return o;
}

}  // namespace

OperatorFile parse_operator_file(std::string_view text) {
  OperatorFile out;
  OperatorLines lines = read_operator_lines(text);
  out.errors = std::move(lines.errors);
  Checker checker(out);
  for (const OperatorLine& line : lines.lines) checker.take(line);
  std::stable_sort(out.errors.begin(), out.errors.end(),
                   [](const OperatorError& a, const OperatorError& b) { return a.line < b.line; });
  out.options = options_of(out.given);
  return out;
}

std::string told(const std::string& path, const std::vector<OperatorError>& errors) {
  std::string text;
  for (std::size_t i = 0; i < errors.size() && i < kMostErrors; ++i) {
    const OperatorError& e = errors[i];
    if (!text.empty()) text += '\n';
    text += fmt::format("{}:{}:{}: {}", path, e.line, e.column, e.text);
  }
  if (errors.size() > kMostErrors) text += fmt::format("\n{}: {} more", path, errors.size() - kMostErrors);
  return text;
}

OperatorFile read_operator_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  if (file) all << file.rdbuf();
  if (!file || file.bad() || all.str().size() > kMostBytes)
    throw SettingsError("operators' file: cannot read '" + path + "'");
  OperatorFile read = parse_operator_file(all.str());
  if (!read.errors.empty()) throw SettingsError(told(path, read.errors));
  return read;
}

namespace {

// Words as they would stand in the file.
std::string written(const std::vector<std::string>& words) {
  std::string value;
  for (const std::string& word : words) {
    const bool bare = !word.empty() && word.find_first_of(" \t\"#\\") == std::string::npos;
    std::string shown = word;
    if (!bare) {
      shown.assign(1, '"');
      for (const char c : word) {
        if (c == '"' || c == '\\') shown += '\\';
        shown += c;
      }
      shown += '"';
    }
    value += fmt::format("{}{}", value.empty() ? "" : " ", shown);
  }
  return value;
}

}  // namespace

std::string OperatorFile::effective() const {
  std::string out;
  std::string_view section;
  for (const Directive& d : directives()) {
    if (d.section != section) {
      section = d.section;
      out += fmt::format("{}\n", section);
    }
    const auto found = given.find({std::string(d.section), std::string(d.name)});
    const std::string from = found != given.end() ? fmt::format("line {}", found->second.line) : "default";
    if (found != given.end() && !found->second.lines.empty()) {
      for (const std::vector<std::string>& line : found->second.lines)
        out += fmt::format("    {:<14} {:<20} # from {} on\n", d.name, written(line), from);
      continue;
    }
    const std::string value = written(found != given.end() ? found->second.words : split(d.otherwise));
    if (value.empty()) {  // nothing to write: a comment, so that the output is itself such a file
      out += fmt::format("    # {} is not set ({})\n", d.name, from);
    } else {
      out += fmt::format("    {:<14} {:<20} # {}\n", d.name, value, from);
    }
  }
  return out;
}

}  // namespace damsonspoke
