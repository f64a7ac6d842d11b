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
constexpr std::size_t kMaxComparedBytes = 64;  // of a wrong name

constexpr auto kDirectives = std::to_array<Directive>({
    {"results", "enabled", Type::kFlag, "off", 0, 0, "",
     "Answers repeats of keyed ops, and reads within `fresh`, from memory."},
    {"results", "memory", Type::kSize, "8M", 64 * kBytesPerKb, 4 * kGiga, "",
     "Bytes that keys and results may take, the program's own share of each entry counted."},
    {"results", "entries", Type::kCount, "20000", 16, 10e6, "", "Keys that may be remembered at once."},
    {"results", "store", Type::kText, "", 0, 4096, "",
     "The file in which keys and results survive a restart; without it they last as long as the process."},
    {"results", "safety", Type::kChoice, "process", 0, 0, "process power",
     "What the store survives: a killed process, or a power cut too (each group of writes is synced)."},
    {"results", "disk", Type::kSize, "256M", kMega, 64 * kGiga, "",
     "Bytes that the store's file may take; a keyed op that finds it full is nacked."},
    {"results", "queue", Type::kCount, "1024", 8, 100000, "",
     "Writes that may wait for the store; a keyed op that finds the queue full is nacked."},
    {"results", "patience", Type::kDuration, "1s", 0.01, 60, "",
     "How long a keyed op waits for its intent to be durable before it is nacked."},
    {"results", "key-field", Type::kText, "key", 1, 64, "",
     "The member of a request's params that holds its key, a string."},
    {"results", "key-length", Type::kCount, "64", 1, 255, "", "Bytes that a key may have at most."},
    {"results", "digest", Type::kWords, "", 0, 64, "",
     "Op types whose ops carry no key and are known by a digest of caller, type and body."},
    {"results", "digest-by", Type::kChoice, "caller", 0, 0, "caller body",
     "Whether the caller's number is part of that digest, or only type and body are."},
    {"knowledge", "enabled", Type::kFlag, "off", 0, 0, "",
     "Starts with what the life before has learned, and writes what this one learns."},
    {"knowledge", "folder", Type::kText, "", 0, 4096, "",
     "The folder for it, one a backend; it has to be there."},
    {"knowledge", "interval", Type::kDuration, "30s", 0.2, 3600, "", "Time between two records."},
    {"knowledge", "half-life", Type::kDuration, "12h", 1, 30 * 86400.0, "",
     "Age at which a record is believed half."},
    {"knowledge", "most-age", Type::kDuration, "72h", 1, 90 * 86400.0, "",
     "Age from which it is not believed at all."},
    {"knowledge", "weight", Type::kCount, "4", 1, 16, "",
     "Runs that a fresh record weighs as, an op type; as many new ones outweigh it."},
    {"forward", "planners", Type::kWords, "", 0, 64, "",
     "Addresses (address:port) of the planners that a forwarder passes ops on to."},
    {"forward", "planners-from", Type::kChoice, "list", 0, 0, "list members",
     "Whether planners are those of the list alone, or also those that members of the fleet tell."},
    {"forward", "reload-spread", Type::kDuration, "10s", 0.05, 3600, "",
     "Time in which all forwarders are given a new list of planners; until then keys that it moves run "
     "nowhere new."},
    {"forward", "folder", Type::kText, "", 0, 4096, "",
     "A folder, one a forwarder, for the lists of planners that it has gone by: a restart with another list "
     "then moves keys as a reload does."},
    {"forward", "by-subject", Type::kFlag, "off", 0, 0, "",
     "Sends ops of one subject to one planner as long as that has its share of room for them."},
    {"forward", "retry-share", Type::kPercentage, "10%", 0, 1, "",
     "Second tries at another planner, as a share of first tries; only of ops that are proven not to have "
     "run."},
    {"forward", "link-patience", Type::kDuration, "1s", 0.05, 30, "",
     "How long a link to a planner may be lost before the ops that may run there are failed."},
    {"forward", "line", Type::kCount, "512", 1, 100000, "",
     "Ops that may wait for room at a planner; over it the least important go."},
    {"forward", "line-memory", Type::kSize, "4M", 64 * kBytesPerKb, kGiga, "", "Bytes that they may take."},
    {"ajp", "listen", Type::kText, "", 0, 255, "",
     "Address (address:port) on which a relay takes AJP 1.3 callers beside its own; none: off."},
    {"ajp", "secret", Type::kText, "", 0, 255, "",
     "What every request has to carry; needed unless the address is a loopback one."},
    {"ajp", "attributes", Type::kWords, "", 0, 32, "",
     "Request attributes that gateways may pass on; a request with any other is refused."},
    {"ajp", "packet", Type::kSize, "8K", 1 * kBytesPerKb, 64 * kBytesPerKb, "",
     "The longest packet, both ways; as the gateways have it."},
    {"ajp", "body", Type::kSize, "2K", 0, 16 * kBytesPerKb, "", "The longest body of a request."},
    {"ajp", "share", Type::kPercentage, "25%", 0.01, 0.5, "",
     "Of the connections, kept for AJP callers; as many again, and at least half, are kept for the others."},
    {"ajp", "idle", Type::kDuration, "60s", 1, 3600, "", "How long a connection may be without a request."},
    {"ajp", "below", Type::kText, "", 0, 255, "",
     "Address (address:port) of an AJP server that calls below go to instead of the platform's; none: off."},
    {"ajp", "below-path", Type::kText, "/call", 1, 255, "", "The path that they are posted to."},
    {"ajp", "below-secret", Type::kText, "", 0, 255, "", "The secret that they carry; none: none."},
    {"ajp", "below-refuses", Type::kFlag, "off", 0, 0, "",
     "Whether that server's 503 proves that the call did not run; else it proves nothing."},
    {"ajp", "map", Type::kLines, "", 3, 8, "",
     "Method, pattern of paths, op type (or health), then key=, caller=, subject=, wait= (each header:NAME, "
     "query:NAME or path:N) and held= (kB); any number of lines, the first that fits counts."},
    {"gate", "enabled", Type::kFlag, "off", 0, 0, "",
     "Admits connections by client, network and group, and keeps places for known clients."},
    {"gate", "connections", Type::kCount, "0", 0, 1e6, "",
     "Connections of callers in all; 0: as many as descriptors and memory allow. More than those is never "
     "had."},
    {"gate", "reserve", Type::kPercentage, "25%", 0, 0.9, "",
     "Of the connections, kept for known clients; strangers never have them."},
    {"gate", "client-share", Type::kPercentage, "25%", 0.01, 1, "",
     "Of the connections, the most that one client has: an IPv4 address or an IPv6 /64."},
    {"gate", "known-share", Type::kPercentage, "50%", 0.01, 1, "", "The same for a client that is known."},
    {"gate", "network-share", Type::kPercentage, "50%", 0.01, 1, "",
     "Of the connections, the most that an IPv4 /24 or an IPv6 /48 has."},
    {"gate", "client-rate", Type::kCount, "20", 1, 100000, "",
     "New connections a second of one client on the long run; four times that where it is known."},
    {"gate", "client-burst", Type::kCount, "64", 1, 100000, "", "And at once."},
    {"gate", "network-rate", Type::kCount, "100", 1, 100000, "",
     "New connections a second of strangers of one IPv4 /24 or IPv6 /48."},
    {"gate", "network-burst", Type::kCount, "256", 1, 100000, "", "And at once."},
    {"gate", "strangers-rate", Type::kCount, "200", 1, 100000, "",
     "New connections a second of all strangers together."},
    {"gate", "strangers-burst", Type::kCount, "400", 1, 100000, "", "And at once."},
    {"gate", "wasteful", Type::kCount, "8", 1, 1000, "",
     "Points from which a stranger waits outside: 1 for a silent or reset connection, 2 for half a request, "
     "4 for what is no request, a broken frame or a reader too slow."},
    {"gate", "waste-half-life", Type::kDuration, "30s", 1, 3600, "", "Time in which points fade to half."},
    {"gate", "keep-idle", Type::kDuration, "300ms", 0.05, 60, "",
     "How long a connection keeps its place in a full table after it was of use; each importance that was "
     "acked on it adds half a second, up to half a minute."},
    {"gate", "client-output", Type::kPercentage, "50%", 0.01, 1, "",
     "Of the memory for answers that callers do not take, the most that one client has."},
    {"gate", "input-rate", Type::kSize, "4K", 16, 1 << 20, "",
     "Bytes a second that a request has to come with, from half a second after its first byte on."},
    {"gate", "output-rate", Type::kSize, "16K", 16, 1 << 24, "",
     "Bytes a second that answers have to be taken with, from a second after they wait on."},
    {"gate", "known-for", Type::kDuration, "7d", 1, 30 * 86400.0, "",
     "How long a client is known after its last acked op."},
    {"gate", "known-after", Type::kCount, "20", 1, 100000, "", "Acked ops until a client is known."},
    {"gate", "known-folder", Type::kText, "", 0, 4096, "",
     "The folder in which who is known survives a restart, one a backend; none: it does not."},
    {"gate", "known-interval", Type::kDuration, "30s", 0.2, 3600, "", "Time between two records of it."},
    {"gate", "known", Type::kWords, "", 0, 64, "",
     "Addresses, or networks as address/bits, that are known by your word."},
    {"gate", "group", Type::kLines, "", 3, 34, "",
     "A name, a percentage and addresses or networks: the most connections that they have together; the caps "
     "of client and network do not hold for them. Any number of lines."},
    {"catalog", "folder", Type::kText, "", 0, 4096, "",
     "The folder with a snapshot of all routes and tenants and the changes since, read at the start and on "
     "SIGHUP; none: those of the settings."},
    {"catalog", "routes", Type::kCount, "50000", 1, 1e6, "", "Routes that it may have at most."},
    {"catalog", "tenants", Type::kCount, "1000000", 1, 4e6, "", "Tenants that it may have at most."},
    {"members", "bind", Type::kText, "", 0, 64, "",
     "Address (address:port, a private one) on which this instance hears other members, by datagrams and "
     "streams; none: off."},
    {"members", "face", Type::kText, "", 0, 64, "",
     "The address that others reach it by, where it is another; none: as bind."},
    {"members", "cluster", Type::kText, "damsonspoke", 1, 32, "",
     "The fleet's name: members of another one are not heard."},
    {"members", "seeds", Type::kWords, "", 0, 64, "", "Addresses of some members, for whoever comes up."},
    {"members", "peers", Type::kWords, "", 0, 64, "",
     "Addresses or networks (address/bits) whose members are heard and written to; none: nobody."},
    {"members", "zone", Type::kText, "", 0, 32, "", "The zone that it is in."},
    {"members", "serves", Type::kText, "", 0, 64, "",
     "The address that others reach its service by, where that is another than it listens on."},
    {"members", "interval", Type::kDuration, "300ms", 0.05, 30, "",
     "Time between two probes; a death is found within some fifteen of them. The same in the whole fleet."},
    {"members", "suspicion", Type::kDuration, "2s", 0.2, 300, "",
     "Time that a silent member has at least to show that it lives; longer than pauses that are to be "
     "borne."},
    {"members", "remember", Type::kDuration, "2h", 10, 7 * 86400.0, "",
     "How long the dead are remembered and tried: as long a split heals without seeds."},
    {"control", "folder", Type::kText, "", 0, 90, "",
     "A private folder (mode 700, our own) in which a socket named control answers damsonspoke conns; none: "
     "off."},
});

// A value as it is written in the file.
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

// The known name with the smallest distance; empty when more than half of the name would have to change.
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
      "# Directives of the operators' file\n\nGenerated by `damsonspoke config reference`; the table in\n"
      "`src/settings/operator_schema.cpp` is what the reader itself goes by.\n";
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
