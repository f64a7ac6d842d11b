#include "rehearsal_script.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "settings/operator_lines.h"

namespace damsonspoke::standins {
namespace {

[[noreturn]] void fail_at(const OperatorLine& line, const std::string& text) {
  throw std::runtime_error(fmt::format("line {}: {}", line.line, text));
}

// Reads the tokens after the first one of a line. `expected` names the token in an error message.
class TokenReader {
 public:
  explicit TokenReader(const OperatorLine& line) : line_(line) {}
  bool has_more() const { return at_ < line_.words.size(); }
  std::string next_token(const char* expected) {
    if (!has_more()) fail_at(line_, fmt::format("{} is missing", expected));
    return line_.words[at_++].text;
  }
  double next_duration(const char* expected) {
    const std::string token = next_token(expected);
    const std::optional<double> value = read_duration(token);
    if (!value) fail_at(line_, fmt::format("'{}' is not a duration", token));
    return *value;
  }
  double next_percentage(const char* expected) {
    const std::string token = next_token(expected);
    const std::optional<double> value = read_percentage(token);
    if (!value) fail_at(line_, fmt::format("'{}' is not a percentage", token));
    return *value;
  }
  double next_count(const char* expected) {
    const std::string token = next_token(expected);
    const std::optional<double> value = read_count(token);
    if (!value) fail_at(line_, fmt::format("'{}' is not a count", token));
    return *value;
  }
  bool next_switch(const char* expected) {
    const std::string token = next_token(expected);
    if (token != "on" && token != "off")
      fail_at(line_, fmt::format("expected 'on' or 'off', got '{}'", token));
    return token == "on";
  }
  std::string peek() const { return has_more() ? line_.words[at_].text : std::string(); }
  void expect_end() const {
    if (has_more()) fail_at(line_, fmt::format("unexpected '{}'", peek()));
  }

 private:
  const OperatorLine& line_;
  std::size_t at_ = 1;
};

FaultSpec parse_fault(const OperatorLine& line) {
  TokenReader tokens(line);
  FaultSpec out;
  out.at = tokens.next_duration("a time");
  out.kind = tokens.next_token("a fault's name");
  const auto& known = fault_kinds();
  const auto found =
      std::find_if(known.begin(), known.end(), [&](const FaultKind& one) { return out.kind == one.name; });
  if (found == known.end()) fail_at(line, fmt::format("unknown fault '{}'", out.kind));
  const int required = std::abs(found->target_count);
  for (int i = 0; i < required; ++i) out.targets.push_back(tokens.next_token("a target"));
  const std::string amount = found->amount_type;
  if (amount == "share") out.amount = tokens.next_percentage("a share");
  if (amount == "time") out.amount = tokens.next_duration("a time");
  if (amount == "count") out.amount = tokens.next_count("a count");
  if (amount == "word?" && tokens.has_more()) out.option = tokens.next_token("an option");
  if (found->has_duration) {
    if (tokens.next_token("'for'") != "for")
      fail_at(line, fmt::format("expected 'for' and a duration after '{}'", out.kind));
    out.duration_seconds = tokens.next_duration("a time");
  }
  tokens.expect_end();
  return out;
}

RouteLoad parse_route_load(TokenReader& tokens) {
  RouteLoad route;
  route.name = tokens.next_token("a route");
  route.idempotency = tokens.next_token("an idempotency");
  route.requests_per_second = tokens.next_count("a request rate");
  route.priority_weight = tokens.next_count("a priority weight");
  route.latency_objective = tokens.next_duration("a latency objective");
  route.timeout = tokens.next_duration("a timeout");
  return route;
}

// Returns false where the section has no such setting.
bool parse_setting(const std::string& section, const std::string& keyword, const OperatorLine& line,
                   RehearsalScript& script) {
  TokenReader tokens(line);
  const auto read_count_into = [&](int& field) { field = static_cast<int>(tokens.next_count("a count")); };
  if (section == "rehearsal") {
    if (keyword == "name") return script.name = tokens.next_token("a name"), tokens.expect_end(), true;
    if (keyword == "seed")
      return script.seed = static_cast<std::uint64_t>(tokens.next_count("a seed")), tokens.expect_end(), true;
    if (keyword == "lasts")
      return script.load_seconds = tokens.next_duration("a time"), tokens.expect_end(), true;
    if (keyword == "judged")
      return script.judged_seconds = tokens.next_duration("a time"),
             script.min_served_ratio = tokens.next_percentage("a share"), tokens.expect_end(), true;
  } else if (section == "fleet") {
    if (keyword == "relays") return read_count_into(script.backends), tokens.expect_end(), true;
    if (keyword == "forwarders") return read_count_into(script.forwarders), tokens.expect_end(), true;
    if (keyword == "planners") return read_count_into(script.planners), tokens.expect_end(), true;
    if (keyword == "cores") return read_count_into(script.cores), tokens.expect_end(), true;
    if (keyword == "work")
      return script.core_seconds_per_run = tokens.next_duration("a time"), tokens.expect_end(), true;
    if (keyword == "cold")
      return script.slow_start_speed = tokens.next_percentage("a share"),
             script.slow_start_seconds = tokens.next_duration("a time"), tokens.expect_end(), true;
    if (keyword == "calls")
      return script.calling_share = tokens.next_percentage("a share"), tokens.expect_end(), true;
    if (keyword == "below")
      return script.dependency_seconds = tokens.next_duration("a time"),
             read_count_into(script.max_dependency_calls), tokens.expect_end(), true;
    if (keyword == "store")
      return script.has_store = tokens.next_switch("on or off"), tokens.expect_end(), true;
    if (keyword == "members")
      return script.has_membership = tokens.next_switch("on or off"), tokens.expect_end(), true;
    if (keyword == "planners_told")
      return script.discovers_planners = script.has_membership = tokens.next_switch("on or off"),
             tokens.expect_end(), true;
    if (keyword == "zones") {
      while (tokens.has_more()) script.zones.push_back(tokens.next_token("a zone"));
      return true;
    }
    if (keyword == "operators")
      return script.operator_settings += tokens.next_token("a line") + "\n", tokens.expect_end(), true;
  } else if (section == "load") {
    if (keyword == "op") return script.routes.push_back(parse_route_load(tokens)), tokens.expect_end(), true;
    if (keyword == "retries") return read_count_into(script.retries), tokens.expect_end(), true;
    if (keyword == "connections") return read_count_into(script.connections), tokens.expect_end(), true;
    if (keyword == "pause")
      return script.retry_pause = tokens.next_duration("a time"), tokens.expect_end(), true;
  }
  return false;
}

std::string milliseconds(double seconds) { return fmt::format("{:.0f}ms", seconds * 1000); }
std::string percentage(double share) { return fmt::format("{:g}%", share * 100); }

}  // namespace

const std::vector<FaultKind>& fault_kinds() {
  static const std::vector<FaultKind> kFaultKinds = {
      {"kill", 1, false, "", "kill -9"},
      {"start", 1, false, "", "starts a process that is down"},
      {"leave", 1, false, "", "graceful shutdown by SIGTERM"},
      {"replace", 1, true, "",
       "shuts down each process of a group and starts it cold, spread over the duration"},
      {"pause", 1, true, "", "SIGSTOP, then SIGCONT"},
      {"cut", 2, true, "",
       "drops datagrams and holds streams from the first to the second, in this direction only"},
      {"part", 2, true, "", "drops datagrams and holds streams in both directions"},
      {"reset", 2, false, "", "resets the connections between both"},
      {"refuse", 2, true, "", "refuses new connections from the first to the second"},
      {"delay", 2, true, "time", "delays traffic from the first to the second"},
      {"lose", 2, true, "share", "loses datagrams from the first to the second"},
      {"muddle", 2, true, "share", "duplicates and reorders datagrams"},
      {"narrow", 2, true, "count",
       "limits the bytes per second of each connection from the first to the second"},
      {"crowd", 0, true, "count", "runs so many processes that each use a core"},
      {"descriptors", 1, true, "count", "limits the number of descriptors"},
      {"full", 1, true, "", "limits the size of files, as a full disk does"},
      {"hide", 1, true, "", "moves the process's folder away"},
      {"step", 1, false, "time", "sets the process's Unix clock forward"},
      {"step_back", 1, false, "time", "sets the process's Unix clock back"},
      {"reload", 1, false, "word?", "SIGHUP; with `spoilt`, while the operators' file is invalid"},
      {"below_takes", 0, true, "time", "sets the duration of the dependency's calls"},
  };
  return kFaultKinds;
}

RehearsalScript parse_rehearsal(std::string_view text) {
  const OperatorLines lines = read_operator_lines(text);
  if (!lines.errors.empty())
    throw std::runtime_error(
        fmt::format("line {}: {}", lines.errors.front().line, lines.errors.front().text));
  RehearsalScript script;
  std::string section;
  for (const OperatorLine& line : lines.lines) {
    const std::string& first = line.words.front().text;
    if (line.is_section) {
      section = first;
      const bool known = first == "rehearsal" || first == "fleet" || first == "load" || first == "faults";
      if (!known) fail_at(line, fmt::format("unknown section '{}'", first));
    } else if (section == "faults" && first == "at") {
      script.faults.push_back(parse_fault(line));
    } else if (!parse_setting(section, first, line, script)) {
      fail_at(line, fmt::format("unknown setting '{}'", first));
    }
  }
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const FaultSpec& a, const FaultSpec& b) { return a.at < b.at; });
  const bool two_level = script.forwarders > 0 && script.planners > 0 && script.backends == 0;
  const bool one_level = script.backends > 0 && script.forwarders + script.planners == 0;
  if (!two_level && !one_level)
    throw std::runtime_error("a fleet consists either of relays or of forwarders and planners");
  if (script.backends + script.forwarders + script.planners > 16)
    throw std::runtime_error("a fleet has at most 16 processes");
  if (script.routes.empty()) throw std::runtime_error("the load has no 'op'");
  return script;
}

std::string text_of(const FaultSpec& fault) {
  const auto& known = fault_kinds();
  const auto found =
      std::find_if(known.begin(), known.end(), [&](const FaultKind& one) { return fault.kind == one.name; });
  std::string out = fmt::format("at {} {}", milliseconds(fault.at), fault.kind);
  for (const std::string& name : fault.targets) out += ' ' + name;
  const std::string amount = found == known.end() ? "" : found->amount_type;
  if (amount == "share") out += ' ' + percentage(fault.amount);
  if (amount == "time") out += ' ' + milliseconds(fault.amount);
  if (amount == "count") out += fmt::format(" {:.0f}", fault.amount);
  if (!fault.option.empty()) out += ' ' + fault.option;
  if (found != known.end() && found->has_duration) out += " for " + milliseconds(fault.duration_seconds);
  return out;
}

std::string text_of(const RehearsalScript& script) {
  std::string out =
      fmt::format("rehearsal\n    name {}\n    seed {}\n    lasts {}\n    judged {} {}\nfleet\n", script.name,
                  script.seed, milliseconds(script.load_seconds), milliseconds(script.judged_seconds),
                  percentage(script.min_served_ratio));
  if (script.backends > 0) out += fmt::format("    relays {}\n", script.backends);
  if (script.forwarders > 0)
    out += fmt::format("    forwarders {}\n    planners {}\n", script.forwarders, script.planners);
  out += fmt::format("    cores {}\n    work {}\n", script.cores, milliseconds(script.core_seconds_per_run));
  if (script.slow_start_seconds > 0)
    out += fmt::format("    cold {} {}\n", percentage(script.slow_start_speed),
                       milliseconds(script.slow_start_seconds));
  if (script.calling_share > 0)
    out += fmt::format("    calls {}\n    below {} {}\n", percentage(script.calling_share),
                       milliseconds(script.dependency_seconds), script.max_dependency_calls);
  if (script.has_store) out += "    store on\n";
  if (script.has_membership) out += script.discovers_planners ? "    planners_told on\n" : "    members on\n";
  if (!script.zones.empty()) out += fmt::format("    zones {}\n", fmt::join(script.zones, " "));
  for (std::size_t from = 0; from < script.operator_settings.size();) {
    const std::size_t end = script.operator_settings.find('\n', from);
    out += fmt::format("    operators \"{}\"\n", script.operator_settings.substr(from, end - from));
    from = end + 1;
  }
  out += "load\n";
  for (const RouteLoad& route : script.routes)
    out += fmt::format("    op {} {} {:.0f} {:.0f} {} {}\n", route.name, route.idempotency,
                       route.requests_per_second, route.priority_weight,
                       milliseconds(route.latency_objective), milliseconds(route.timeout));
  out += fmt::format("    retries {}\n    connections {}\n    pause {}\nfaults\n", script.retries,
                     script.connections, milliseconds(script.retry_pause));
  for (const FaultSpec& fault : script.faults) out += "    " + text_of(fault) + "\n";
  return out;
}

}  // namespace damsonspoke::standins
