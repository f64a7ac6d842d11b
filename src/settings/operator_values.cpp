#include "settings/operator_values.h"

#include <fmt/format.h>

#include <sstream>

#include "settings/operator_lines.h"

namespace damsonspoke {
namespace {

constexpr double kMinGroupShare = 0.01;
constexpr double kMaxGroupShare = 1;
constexpr double kInputGraceSeconds = 0.5;  // enough for one retransmitted packet at the start of a request
constexpr double kOutputGraceSeconds = 1;   // enough for some lost packets or a short pause of the reader

// Reads the values of one section by type. A directive that is not given has its default.
class SectionReader {
 public:
  SectionReader(const OperatorValues& given, const char* section) : given_(given), section_(section) {}

  [[nodiscard]] std::vector<std::string> words(const char* name) const {
    const auto found = given_.find({section_, name});
    return found != given_.end() ? found->second.words
                                 : split_words(find_directive(section_, name)->default_value);
  }
  [[nodiscard]] std::string text(const char* name) const {
    const std::vector<std::string> all = words(name);
    return all.empty() ? std::string() : all.front();
  }
  [[nodiscard]] std::vector<std::vector<std::string>> lines(const char* name) const {
    const auto found = given_.find({section_, name});
    return found != given_.end() ? found->second.lines : std::vector<std::vector<std::string>>();
  }
  [[nodiscard]] bool flag(const char* name) const { return text(name) == "on"; }
  [[nodiscard]] double number(const char* name) const {
    return read_number(find_directive(section_, name)->type, text(name)).value_or(0);
  }
  [[nodiscard]] std::size_t integer(const char* name) const { return static_cast<std::size_t>(number(name)); }
  // The words of the directive as prefixes.
  [[nodiscard]] std::vector<conns::Prefix> prefixes(const char* name) const {
    std::vector<conns::Prefix> prefixes;
    for (const std::string& word : words(name)) {
      if (const auto prefix = conns::parse_prefix(word)) prefixes.push_back(*prefix);
    }
    return prefixes;
  }

 private:
  const OperatorValues& given_;
  const char* section_;
};

ResultsOptions read_results(const OperatorValues& given) {
  const SectionReader section(given, "results");
  ResultsOptions results;
  results.enabled = section.flag("enabled");
  results.memory = section.integer("memory");
  results.entries = section.integer("entries");
  results.store = section.text("store");
  results.power_safe = section.text("safety") == "power";
  results.disk = section.integer("disk");
  results.queue = section.integer("queue");
  results.store_timeout = section.number("patience");
  results.key_field = section.text("key-field");
  results.key_length = section.integer("key-length");
  results.digest = section.words("digest");
  results.digest_by_caller = section.text("digest-by") == "caller";
  return results;
}

StatisticsPersistenceOptions read_statistics(const OperatorValues& given) {
  const SectionReader section(given, "knowledge");
  StatisticsPersistenceOptions statistics;
  statistics.enabled = section.flag("enabled");
  statistics.folder = section.text("folder");
  statistics.interval = section.number("interval");
  statistics.half_life = section.number("half-life");
  statistics.max_age = section.number("most-age");
  statistics.weight = section.number("weight");
  return statistics;
}

ForwardOptions read_forward(const OperatorValues& given) {
  const SectionReader section(given, "forward");
  ForwardOptions forward;
  forward.planners = section.words("planners");
  forward.from_members = section.text("planners-from") == "members";
  forward.reload_spread = section.number("reload-spread");
  forward.folder = section.text("folder");
  forward.by_subject = section.flag("by-subject");
  forward.retry_share = section.number("retry-share");
  forward.link_timeout = section.number("link-patience");
  forward.queue_length = section.integer("line");
  forward.queue_bytes = section.integer("line-memory");
  return forward;
}

AjpOptions read_ajp(const OperatorValues& given) {
  const SectionReader section(given, "ajp");
  AjpOptions ajp;
  ajp.listen = section.text("listen");
  ajp.secret = section.text("secret");
  ajp.attributes = section.words("attributes");
  ajp.packet = section.integer("packet");
  ajp.body = section.integer("body");
  ajp.share = section.number("share");
  ajp.idle = section.number("idle");
  ajp.dependency = section.text("below");
  ajp.dependency_path = section.text("below-path");
  ajp.dependency_secret = section.text("below-secret");
  ajp.dependency_refusal_is_proof = section.flag("below-refuses");
  for (const std::vector<std::string>& line : section.lines("map")) {
    const auto route = read_ajp_route(line);  // invalid lines were left out
    if (const auto* valid = std::get_if<AjpRoute>(&route)) ajp.routes.push_back(*valid);
  }
  return ajp;
}

conns::ConnectionLimiterOptions read_limiter(const SectionReader& section) {
  conns::ConnectionLimiterOptions limiter;
  limiter.reserve = section.number("reserve");
  limiter.client_share = section.number("client-share");
  limiter.known_client_share = section.number("known-share");
  limiter.network_share = section.number("network-share");
  limiter.client_rate = section.number("client-rate");
  limiter.client_burst = section.number("client-burst");
  limiter.network_rate = section.number("network-rate");
  limiter.network_burst = section.number("network-burst");
  limiter.unknown_clients_rate = section.number("strangers-rate");
  limiter.unknown_clients_burst = section.number("strangers-burst");
  limiter.penalty_limit = section.number("wasteful");
  limiter.penalty_half_life = section.number("waste-half-life");
  limiter.idle_protection = section.number("keep-idle");
  limiter.listed = section.prefixes("known");
  for (const std::vector<std::string>& line : section.lines("group")) {
    const auto group = read_client_group(line);  // invalid lines were left out
    if (const auto* valid = std::get_if<conns::ClientGroup>(&group)) limiter.groups.push_back(*valid);
  }
  return limiter;
}

ConnectionAdmissionOptions read_connection_admission(const OperatorValues& given) {
  const SectionReader section(given, "gate");
  ConnectionAdmissionOptions admission;
  admission.enabled = section.flag("enabled");
  admission.connections = section.integer("connections");
  admission.limiter = read_limiter(section);
  admission.client_output = section.number("client-output");
  admission.input = {kInputGraceSeconds, section.number("input-rate")};
  admission.output = {kOutputGraceSeconds, section.number("output-rate")};
  admission.known.max_age = section.number("known-for");
  admission.known.required_successes = section.number("known-after");
  admission.known_folder = section.text("known-folder");
  admission.known_interval = section.number("known-interval");
  return admission;
}

CatalogOptions read_catalog(const OperatorValues& given) {
  const SectionReader section(given, "catalog");
  return {section.text("folder"), section.integer("routes"), section.integer("tenants")};
}

MembersOptions read_members(const OperatorValues& given) {
  const SectionReader section(given, "members");
  MembersOptions members;
  members.bind = section.text("bind");
  members.advertised_address = section.text("face");
  if (members.advertised_address.empty()) members.advertised_address = members.bind;
  members.cluster = section.text("cluster");
  members.seeds = section.words("seeds");
  members.peers = section.prefixes("peers");
  members.zone = section.text("zone");
  members.service_address = section.text("serves");
  members.probe_interval = section.number("interval");
  members.suspicion_timeout = section.number("suspicion");
  members.dead_retention = section.number("remember");
  return members;
}

}  // namespace

std::vector<std::string> split_words(std::string_view text) {
  std::vector<std::string> words;
  std::istringstream in{std::string(text)};
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

std::optional<double> read_number(DirectiveType type, std::string_view word) {
  switch (type) {
    case DirectiveType::kSize: return read_size(word);
    case DirectiveType::kDuration: return read_duration(word);
    case DirectiveType::kPercentage: return read_percentage(word);
    case DirectiveType::kCount: return read_count(word);
    default: return std::nullopt;
  }
}

std::variant<conns::ClientGroup, ClientGroupError> read_client_group(const std::vector<std::string>& words) {
  conns::ClientGroup group;
  group.name = words[0];
  const std::optional<double> share = read_percentage(words[1]);
  if (!share || *share < kMinGroupShare || *share > kMaxGroupShare)
    return ClientGroupError{1, fmt::format("'{}' is not a percentage from 1% to 100%", words[1])};
  group.share = *share;
  for (std::size_t i = 2; i < words.size(); ++i) {
    const std::optional<conns::Prefix> prefix = conns::parse_prefix(words[i]);
    if (!prefix) return ClientGroupError{i, fmt::format("'{}' is not an address or network", words[i])};
    group.prefixes.push_back(*prefix);
  }
  return group;
}

OperatorOptions convert_to_options(const OperatorValues& given) {
  OperatorOptions options;
  options.results = read_results(given);
  options.statistics = read_statistics(given);
  options.forward = read_forward(given);
  options.ajp = read_ajp(given);
  options.connection_admission = read_connection_admission(given);
  options.catalog = read_catalog(given);
  options.members = read_members(given);
  options.control.folder = SectionReader(given, "control").text("folder");
  return options;
}

}  // namespace damsonspoke
