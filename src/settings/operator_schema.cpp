#include "settings/operator_schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

namespace damsonspoke {
namespace {

using Type = DirectiveType;

constexpr double kBytesPerKb = 1024;
constexpr double kMega = 1024 * kBytesPerKb;
constexpr double kGiga = 1024 * kMega;
constexpr std::size_t kMaxComparedBytes = 64;  // of an unknown name

constexpr auto kDirectives = std::to_array<Directive>({
    {"results", "enabled", Type::kFlag, "off", 0, 0, "",
     "Answers duplicates of keyed requests, and repeated reads within `fresh`, from memory."},
    {"results", "memory", Type::kSize, "8M", 64 * kBytesPerKb, 4 * kGiga, "",
     "Maximum size of keys and results in memory, including the overhead of each entry."},
    {"results", "entries", Type::kCount, "20000", 16, 10e6, "", "Maximum number of remembered keys."},
    {"results", "store", Type::kText, "", 0, 4096, "",
     "The file in which keys and results survive a restart; none: they are kept in memory only."},
    {"results", "safety", Type::kChoice, "process", 0, 0, "process power",
     "What the store survives: the end of the process, or also a power failure (each group of writes is "
     "synced)."},
    {"results", "disk", Type::kSize, "256M", kMega, 64 * kGiga, "",
     "Maximum size of the store's file; while it is full, keyed requests are rejected."},
    {"results", "queue", Type::kCount, "1024", 8, 100000, "",
     "Maximum number of writes that wait for the store; while the queue is full, keyed requests are "
     "rejected."},
    {"results", "patience", Type::kDuration, "1s", 0.01, 60, "",
     "How long a keyed request waits for its intent to become durable before it is rejected."},
    {"results", "key-field", Type::kText, "key", 1, 64, "",
     "The member of a request's params that holds its key, a string."},
    {"results", "key-length", Type::kCount, "64", 1, 255, "", "Maximum length of a key in bytes."},
    {"results", "digest", Type::kWords, "", 0, 64, "",
     "Routes whose requests carry no key and are identified by a digest of caller, route and body."},
    {"results", "digest-by", Type::kChoice, "caller", 0, 0, "caller body",
     "Whether the digest includes the caller's number, or only route and body."},
    {"knowledge", "enabled", Type::kFlag, "off", 0, 0, "",
     "Restores at start-up the statistics that the previous process learned, and stores those of this "
     "one."},
    {"knowledge", "folder", Type::kText, "", 0, 4096, "",
     "The folder for the statistics, a separate one for each backend; it must exist."},
    {"knowledge", "interval", Type::kDuration, "30s", 0.2, 3600, "", "Time between two records."},
    {"knowledge", "half-life", Type::kDuration, "12h", 1, 30 * 86400.0, "",
     "Age at which a record counts half."},
    {"knowledge", "most-age", Type::kDuration, "72h", 1, 90 * 86400.0, "",
     "Age from which a record is ignored."},
    {"knowledge", "weight", Type::kCount, "4", 1, 16, "",
     "Number of runs, per route, that a fresh record counts as; the same number of new runs outweighs "
     "it."},
    {"forward", "planners", Type::kWords, "", 0, 64, "",
     "Addresses (address:port) of the planners to which a forwarder forwards requests."},
    {"forward", "planners-from", Type::kChoice, "list", 0, 0, "list members",
     "Whether only the listed planners are used, or also those that members of the fleet report."},
    {"forward", "reload-spread", Type::kDuration, "10s", 0.05, 3600, "",
     "Time within which all forwarders receive a new list of planners; until then, requests whose keys "
     "change their owner do not run at the new owner."},
    {"forward", "folder", Type::kText, "", 0, 4096, "",
     "A folder, a separate one for each forwarder, for the history of its lists of planners: a restart "
     "with another list then moves keys as a reload does."},
    {"forward", "by-subject", Type::kFlag, "off", 0, 0, "",
     "Sends requests of one subject to one planner as long as that has capacity within its share."},
    {"forward", "retry-share", Type::kPercentage, "10%", 0, 1, "",
     "Retries at another planner, as a share of first attempts; only for requests that are proven not to "
     "have run."},
    {"forward", "link-patience", Type::kDuration, "1s", 0.05, 30, "",
     "How long a connection to a planner may be lost before the requests that may run there fail."},
    {"forward", "line", Type::kCount, "512", 1, 100000, "",
     "Maximum number of requests that wait for capacity at a planner; beyond it, those with the lowest "
     "priority weight are rejected."},
    {"forward", "line-memory", Type::kSize, "4M", 64 * kBytesPerKb, kGiga, "",
     "Maximum total size of the waiting requests."},
    {"ajp", "listen", Type::kText, "", 0, 255, "",
     "Address (address:port) on which a backend accepts AJP 1.3 callers in addition to its other "
     "callers; none: off."},
    {"ajp", "secret", Type::kText, "", 0, 255, "",
     "The secret that every request must carry; required unless the listening address is a loopback "
     "address."},
    {"ajp", "attributes", Type::kWords, "", 0, 32, "",
     "Request attributes that gateways may send; a request with any other attribute is rejected."},
    {"ajp", "packet", Type::kSize, "8K", 1 * kBytesPerKb, 64 * kBytesPerKb, "",
     "Maximum packet size in both directions; must equal the setting of the gateways."},
    {"ajp", "body", Type::kSize, "2K", 0, 16 * kBytesPerKb, "", "Maximum size of a request body."},
    {"ajp", "share", Type::kPercentage, "25%", 0.01, 0.5, "",
     "Share of the connections guaranteed to AJP callers; the other callers are guaranteed the same "
     "share, and at least half."},
    {"ajp", "idle", Type::kDuration, "60s", 1, 3600, "",
     "How long a connection may be idle before it is closed."},
    {"ajp", "below", Type::kText, "", 0, 255, "",
     "Address (address:port) of an AJP server that receives dependency calls in place of the platform's "
     "dependency; none: off."},
    {"ajp", "below-path", Type::kText, "/call", 1, 255, "", "The path that dependency calls are posted to."},
    {"ajp", "below-secret", Type::kText, "", 0, 255, "",
     "The secret that dependency calls carry; none: no secret."},
    {"ajp", "below-refuses", Type::kFlag, "off", 0, 0, "",
     "Whether a response of that server with status 503 proves that the call did not run."},
    {"ajp", "map", Type::kLines, "", 3, 8, "",
     "Method, path pattern, route (or health), then key=, caller=, subject=, wait= (each header:NAME, "
     "query:NAME or path:N) and held= (kB); may be repeated, the first line that matches is used."},
    {"gate", "enabled", Type::kFlag, "off", 0, 0, "",
     "Limits connections by client, network and group, and reserves connections for known clients."},
    {"gate", "connections", Type::kCount, "0", 0, 1e6, "",
     "Maximum number of connections of callers; 0: as many as descriptors and memory allow, which is the "
     "upper limit in any case."},
    {"gate", "reserve", Type::kPercentage, "25%", 0, 0.9, "",
     "Share of the connections reserved for known clients; unknown clients can't use it."},
    {"gate", "client-share", Type::kPercentage, "25%", 0.01, 1, "",
     "Maximum share of the connections for one client: an IPv4 address or an IPv6 /64."},
    {"gate", "known-share", Type::kPercentage, "50%", 0.01, 1, "",
     "Maximum share of the connections for one known client."},
    {"gate", "network-share", Type::kPercentage, "50%", 0.01, 1, "",
     "Maximum share of the connections for one network: an IPv4 /24 or an IPv6 /48."},
    {"gate", "client-rate", Type::kCount, "20", 1, 100000, "",
     "Sustained rate of new connections per second of one client; four times as many if the client is "
     "known."},
    {"gate", "client-burst", Type::kCount, "64", 1, 100000, "",
     "Burst of new connections of one client; four times as many if the client is known."},
    {"gate", "network-rate", Type::kCount, "100", 1, 100000, "",
     "Sustained rate of new connections per second of unknown clients of one IPv4 /24 or IPv6 /48."},
    {"gate", "network-burst", Type::kCount, "256", 1, 100000, "",
     "Burst of new connections of unknown clients of one IPv4 /24 or IPv6 /48."},
    {"gate", "strangers-rate", Type::kCount, "200", 1, 100000, "",
     "Sustained rate of new connections per second of all unknown clients together."},
    {"gate", "strangers-burst", Type::kCount, "400", 1, 100000, "",
     "Burst of new connections of all unknown clients together."},
    {"gate", "wasteful", Type::kCount, "8", 1, 1000, "",
     "Penalty points at which new connections of an unknown client are rejected: 1 for a silent or reset "
     "connection, 2 for an incomplete request, 4 for invalid requests, an invalid frame or a slow "
     "transfer."},
    {"gate", "waste-half-life", Type::kDuration, "30s", 1, 3600, "", "Half-life of penalty points."},
    {"gate", "keep-idle", Type::kDuration, "300ms", 0.05, 60, "",
     "How long an idle connection is protected from eviction after its last request or success; each "
     "unit of priority weight that succeeded on it adds half a second, up to half a minute."},
    {"gate", "client-output", Type::kPercentage, "50%", 0.01, 1, "",
     "Maximum share of the memory for unread answers that one client may use."},
    {"gate", "input-rate", Type::kSize, "4K", 16, 1 << 20, "",
     "Minimum rate in bytes per second at which a request must arrive, after a grace of half a second "
     "from its first byte."},
    {"gate", "output-rate", Type::kSize, "16K", 16, 1 << 24, "",
     "Minimum rate in bytes per second at which a client must read answers, after a grace of one second "
     "from when they wait."},
    {"gate", "known-for", Type::kDuration, "7d", 1, 30 * 86400.0, "",
     "How long a client stays known after its last successful request."},
    {"gate", "known-after", Type::kCount, "20", 1, 100000, "",
     "Successful requests until a client is known."},
    {"gate", "known-folder", Type::kText, "", 0, 4096, "",
     "The folder in which the known clients are stored, a separate one for each backend; none: they do "
     "not survive a restart."},
    {"gate", "known-interval", Type::kDuration, "30s", 0.2, 3600, "",
     "Time between two records of the known clients."},
    {"gate", "known", Type::kWords, "", 0, 64, "",
     "Addresses, or networks as address/bits, whose clients always count as known."},
    {"gate", "group", Type::kLines, "", 3, 34, "",
     "A name, a percentage and addresses or networks: the maximum share of the connections for all of "
     "them together, in place of the caps of a client and a network. May be repeated."},
    {"catalog", "folder", Type::kText, "", 0, 4096, "",
     "The folder with a snapshot of all routes and tenants and the changes since then, read at start-up "
     "and on SIGHUP; none: the routes and tenants of the settings are used."},
    {"catalog", "routes", Type::kCount, "50000", 1, 1e6, "", "Maximum number of routes in the catalog."},
    {"catalog", "tenants", Type::kCount, "1000000", 1, 4e6, "", "Maximum number of tenants in the catalog."},
    {"members", "bind", Type::kText, "", 0, 64, "",
     "Private address (address:port) on which this instance receives messages of other members, as "
     "datagrams and streams; none: off."},
    {"members", "face", Type::kText, "", 0, 64, "",
     "The address at which other members reach this instance, if it differs; none: the address of bind."},
    {"members", "cluster", Type::kText, "damsonspoke", 1, 32, "",
     "The name of the fleet; messages of members of another fleet are ignored."},
    {"members", "seeds", Type::kWords, "", 0, 64, "",
     "Addresses of members that an instance contacts when it starts."},
    {"members", "peers", Type::kWords, "", 0, 64, "",
     "Addresses or networks (address/bits) of the members that messages are accepted from and sent to; "
     "none: no members."},
    {"members", "zone", Type::kText, "", 0, 32, "", "The zone of this instance."},
    {"members", "serves", Type::kText, "", 0, 64, "",
     "The address at which other instances reach its service, if that differs from the listening "
     "address."},
    {"members", "interval", Type::kDuration, "300ms", 0.05, 30, "",
     "Time between two probes; a dead member is detected within about fifteen of them. Must be the same "
     "in the whole fleet."},
    {"members", "suspicion", Type::kDuration, "2s", 0.2, 300, "",
     "Minimum time for a suspected member to refute the suspicion; should exceed the pauses that are to "
     "be tolerated."},
    {"members", "remember", Type::kDuration, "2h", 10, 7 * 86400.0, "",
     "How long dead members are remembered and probed; a network partition of up to that time heals "
     "without seeds."},
    {"control", "folder", Type::kText, "", 0, 90, "",
     "A private folder (mode 700, owned by the user of the process) with the socket that answers "
     "damsonspoke connections, members and catalog show; none: off."},
});

// Formats a value as it is written in the file.
std::string format_value(Type type, double value) {
  switch (type) {
    case Type::kSize:
      return value >= kGiga   ? fmt::format("{:g}G", value / kGiga)
             : value >= kMega ? fmt::format("{:g}M", value / kMega)
                              : fmt::format("{:g}K", value / kBytesPerKb);
    case Type::kDuration:
      return value < 1 ? fmt::format("{:g}ms", value * 1000) : fmt::format("{:g}s", value);
    case Type::kPercentage: return fmt::format("{:g}%", value * 100);
    default: return fmt::format("{:.0f}", value);
  }
}

// The Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row[b.size()];
}

// The known name with the smallest edit distance; empty if more than half of the name would have to change.
std::string find_nearest(std::string_view name, const std::vector<std::string_view>& known_names) {
  std::string nearest;
  std::size_t smallest = name.size() / 2 + 1;
  for (const std::string_view known : known_names) {
    const std::size_t distance = edit_distance(name.substr(0, kMaxComparedBytes), known);
    if (distance >= smallest) continue;
    smallest = distance;
    nearest = known;
  }
  return nearest;
}

std::string_view type_name(Type type) {
  switch (type) {
    case Type::kFlag: return "on or off";
    case Type::kSize: return "size";
    case Type::kDuration: return "duration";
    case Type::kPercentage: return "percentage";
    case Type::kCount: return "count";
    case Type::kChoice: return "choice";
    case Type::kText: return "text";
    case Type::kWords: return "words";
    case Type::kLines: return "lines of words";
  }
  return "";
}

}  // namespace

std::span<const Directive> directives() { return kDirectives; }

const Directive* find_directive(std::string_view section, std::string_view name) {
  for (const Directive& directive : kDirectives) {
    if (directive.section == section && directive.name == name) return &directive;
  }
  return nullptr;
}

bool is_section(std::string_view name) {
  return std::any_of(kDirectives.begin(), kDirectives.end(),
                     [&](const Directive& directive) { return directive.section == name; });
}

std::string describe_expected(const Directive& directive) {
  switch (directive.type) {
    case Type::kFlag: return "on or off";
    case Type::kChoice: {
      std::string choices(directive.choices);
      std::replace(choices.begin(), choices.end(), ' ', '|');
      return "one of " + choices;
    }
    case Type::kText:
      return fmt::format("one word of {:.0f} to {:.0f} bytes", directive.minimum, directive.maximum);
    case Type::kWords: return fmt::format("{:.0f} to {:.0f} words", directive.minimum, directive.maximum);
    case Type::kLines:
      return fmt::format("lines of {:.0f} to {:.0f} words", directive.minimum, directive.maximum);
    default:
      return fmt::format("a {} from {} to {}", type_name(directive.type),
                         format_value(directive.type, directive.minimum),
                         format_value(directive.type, directive.maximum));
  }
}

std::string nearest_section(std::string_view name) {
  std::vector<std::string_view> known_names;
  known_names.reserve(kDirectives.size());
  for (const Directive& directive : kDirectives) known_names.push_back(directive.section);
  return find_nearest(name, known_names);
}
std::string nearest_directive(std::string_view section, std::string_view name) {
  std::vector<std::string_view> known_names;
  for (const Directive& directive : kDirectives) {
    if (directive.section == section) known_names.push_back(directive.name);
  }
  return find_nearest(name, known_names);
}

std::string directive_reference() {
  std::string page =
      "# Directives of the operators' file\n\nGenerated by `damsonspoke config reference` from the table in\n"
      "`src/settings/operator_schema.cpp`, which the parser uses too.\n";
  std::string_view section;
  for (const Directive& directive : kDirectives) {
    if (directive.section != section) {
      section = directive.section;
      page += fmt::format(
          "\n## {}\n\n| directive | expects | default | meaning |\n| --- | --- | --- | --- |\n", section);
    }
    std::string expects = describe_expected(directive);
    std::replace(expects.begin(), expects.end(), '|', '/');
    page +=
        fmt::format("| `{}` | {} | {} | {} |\n", directive.name, expects,
                    directive.default_value.empty() ? "none" : fmt::format("`{}`", directive.default_value),
                    directive.meaning);
  }
  return page;
}

}  // namespace damsonspoke
