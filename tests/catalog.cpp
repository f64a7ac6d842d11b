// The catalog as policy: names, positions, sums, what is taken from files and what is refused. CTest compares
// with tests/traces/catalog_NAME.txt. usage: catalog - SCENARIO
#include "catalog/catalog.h"

#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <string_view>

#include "admission/controller.h"
#include "admission/tenant_quotas.h"
#include "catalog/folder.h"
#include "catalog/follower.h"
#include "decision_load.h"
#include "scenarios.h"
#include "silent_sink.h"
#include "synthetic_site.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;

namespace {

// PREFIX followed by the number. Appends, since GCC 12 warns of an overlap that is not there (-Wrestrict)
// where a literal is put in front of a temporary string in an optimized build.
std::string numbered(std::string_view prefix, long long number) {
  std::string text(prefix);
  text += std::to_string(number);
  return text;
}

std::string binary;

PutRoute route(const std::string& name, double timeout = 0.4, double priority_weight = 1) {
  PutRoute put{name, {}};
  put.settings.latency_objective = timeout / 2;
  put.settings.timeout = timeout;
  put.settings.priority_weight = priority_weight;
  return put;
}
PutTenant tenant(const std::string& name, double quota) { return {name, {quota, 0}}; }

std::string encode_changes(std::initializer_list<Change> changes) {
  std::string lines;
  for (const Change& change : changes) lines += encode_change(change);
  return lines;
}

// Files in memory.
class MemorySource : public Source {
 public:
  struct File {
    std::uint64_t number = 1;
    std::string bytes;
  };
  std::map<std::string, File> files;
  std::size_t max_requested = 0, read = 0;    // bytes
  std::function<void()> before_second_chunk;  // before the second piece of a file

  void request(const std::string& name, std::uint64_t offset, std::size_t most) override {
    FileChunk chunk;
    if (offset > 0 && before_second_chunk) std::exchange(before_second_chunk, nullptr)();
    max_requested = std::max(max_requested, most);
    const auto found = files.find(name);
    if (found != files.end()) {
      chunk.exists = true;
      chunk.file_id = found->second.number;
      chunk.file_size = found->second.bytes.size();
      if (offset < chunk.file_size) chunk.bytes = found->second.bytes.substr(offset, most);
      read += chunk.bytes.size();
    }
    chunk_ = std::move(chunk);
  }
  std::optional<FileChunk> take() override { return std::exchange(chunk_, std::nullopt); }

 private:
  std::optional<FileChunk> chunk_;
};

std::string snapshot_of(Version version, HistoryDigest history, const std::string& lines,
                        std::uint64_t routes, std::uint64_t tenants) {
  return store::add_checksum(kSnapshotFormat,
                             encode_header(SnapshotHeader{version, history, routes, tenants}) + lines);
}

// A backend's catalog, and the files that it follows.
struct FollowedCatalog {
  explicit FollowedCatalog(CatalogLimits limits = {100, 100, true}) : catalog(limits, 7) {}

  Catalog catalog;
  MemorySource source;
  double now = 0;
  Follower follower{catalog, source, [this] { return now; }};
  HistoryDigest history = 0;  // of the writer
  std::uint64_t written = 0;  // its last change

  void append(const std::string& lines, std::uint64_t epoch = 1) {
    source.files[kChangesFile].bytes += encode_batch(epoch, written + 1, history, lines);
    written += static_cast<std::uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
  }
  void read() {
    follower.poll();
    while (follower.step(1) != Follower::State::kIdle) continue;
  }
  void tell(const char* what) {
    read();
    std::printf("%-44s %d.%d, %d routes, %d tenants, quotas %g, most important %g\n", what,
                static_cast<int>(catalog.version().epoch), static_cast<int>(catalog.version().sequence),
                static_cast<int>(catalog.route_count()), static_cast<int>(catalog.tenant_count()),
                catalog.total_quota_per_second(), catalog.highest_priority_weight());
    for (const FollowerMessage& message : follower.take_messages())
      if (message.is_error) std::printf("    %s\n", message.text.c_str());
  }
};

std::uint64_t constant_hash(std::string_view, std::uint64_t) { return 42; }

// Names are found again among any others, also where all of them hash alike, and after any removals.
void names() {
  for (const HashFunction hash : {keyed_hash, constant_hash}) {
    const std::size_t most = hash == keyed_hash ? 5000 : 300;
    NameIndex index(most, 3, hash);
    std::map<std::string, int> expected;
    pcg32 random(5);
    bool found = true;
    for (int step = 0; step < 20000; ++step) {
      const std::string name = numbered("name-", random(static_cast<std::uint32_t>(most)));
      const bool there = expected.contains(name);
      if (!there && random(3) > 0) {
        index.add(name, step);
        expected[name] = step;
      } else if (there) {
        index.remove(name);
        expected.erase(name);
      }
      const std::string asked = numbered("name-", random(static_cast<std::uint32_t>(most)));
      const auto known = expected.find(asked);
      found = found && index.find(asked) == (known == expected.end() ? -1 : known->second);
    }
    for (const auto& [name, position] : expected) found = found && index.find(name) == position;
    say(hash == keyed_hash ? "any names" : "names that hash alike", found && index.size() == expected.size());
  }
  NameIndex index(1000, 3);
  for (int i = 0; i < 500; ++i) index.add(numbered("name-", i), i);
  const std::size_t before = index.memory_bytes();
  int known = 0;
  for (int i = 0; i < 1000000; ++i) known += index.find(numbered("unknown-", i)) >= 0;
  say("a million unknown names are none, and take no memory", known == 0 && index.memory_bytes() == before);
  for (int i = 0; i < 100000; ++i) {
    index.remove(numbered("name-", i % 500));
    index.add(numbered("name-", i % 500), i);
  }
  say("names that come and go take no more memory", index.memory_bytes() == before);
}

// An entry keeps its position and life, one that takes its place has another life, and the sums follow.
void positions() {
  Catalog catalog({10, 10, true}, 1);
  catalog.apply(route("r"));
  catalog.apply(tenant("a", 10));
  catalog.apply(tenant("b", 5));
  const int b = catalog.find_tenant("b");
  const std::uint32_t generation = catalog.tenant(b).generation;
  catalog.apply(tenant("b", 7));
  say("another quota, the same position and life", catalog.find_tenant("b") == b &&
                                                       catalog.tenant(b).generation == generation &&
                                                       catalog.tenant(b).quota_per_second == 7);
  say("the sum follows", catalog.total_quota_per_second() == 17);
  catalog.apply(RemoveTenant{"b"});
  say("removed", catalog.find_tenant("b") == -1 && catalog.total_quota_per_second() == 10 &&
                     catalog.tenant_count() == 1);
  catalog.apply(tenant("c", 1));
  say("its position goes to another life",
      catalog.find_tenant("c") == b && catalog.tenant(b).generation != generation);
  catalog.apply(tenant("b", 5));
  say("one that comes back has a new life",
      catalog.tenant(catalog.find_tenant("b")).generation > generation + 1);
  catalog.apply(route("important", 0.4, 9));
  say("the most important follows", catalog.highest_priority_weight() == 9);
  catalog.apply(route("important", 0.4, 2));
  say("down as well", catalog.highest_priority_weight() == 2);
  catalog.apply(RemoveRoute{"important"});
  say("and when it goes", catalog.highest_priority_weight() == 1);
  for (const Change& bad : std::initializer_list<Change>{
           RemoveRoute{"r"}, RemoveRoute{"none"}, RemoveTenant{"none"}, tenant("", 1), tenant("two words", 1),
           tenant(std::string(2000, 'x'), 1), tenant("d", -1), tenant("d", std::nan("")), route("s", 0),
           route("s", 0.4, -1), route("s", 1e9)})
    std::printf("refused: %s\n", catalog.apply(bad).c_str());
  for (int i = 0; i < 12; ++i) {
    const std::string why = catalog.apply(tenant(numbered("t", i), 1));
    if (!why.empty()) std::printf("t%d: %s\n", i, why.c_str());
  }
  std::printf("of one that is there: '%s'\n", catalog.apply(tenant("t1", 2)).c_str());
  Catalog unkeyed({10, 10, false}, 1);
  PutRoute keyed = route("k");
  keyed.settings.idempotency = Idempotency::kWithKey;
  std::printf("keyed: %s\n", unkeyed.apply(keyed).c_str());
}

// Sums over a long history of changes are those over the entries.
void sums() {
  Catalog catalog({50, 500, true}, 1);
  catalog.apply(route("r"));
  pcg32 random(3);
  std::map<std::string, double> quotas, priority_weight{{"r", 1}};
  for (int i = 0; i < 200000; ++i) {
    const std::string name = numbered("t", random(500));
    const double quota = random(1000000) / 7.0;
    if (random(3) == 0) {
      if (catalog.apply(RemoveTenant{name}).empty()) quotas.erase(name);
    } else if (catalog.apply(tenant(name, quota)).empty()) {
      quotas[name] = quota;
    }
    const std::string of = numbered("r", random(40));
    const double worth = random(20);
    if (random(3) == 0) {
      if (catalog.apply(RemoveRoute{of}).empty()) priority_weight.erase(of);
    } else if (catalog.apply(route(of, 0.4, worth)).empty()) {
      priority_weight[of] = worth;
    }
  }
  double sum = 0, most = 0;
  for (const auto& [name, quota] : quotas) sum += quota;
  for (const auto& [name, worth] : priority_weight) most = std::max(most, worth);
  say("the sum of quotas", std::abs(catalog.total_quota_per_second() - sum) < 1e-6 * sum);
  say("the most important", catalog.highest_priority_weight() == most);
  say("how many", catalog.tenant_count() == quotas.size() && catalog.route_count() == priority_weight.size());
  for (const auto& [name, quota] : quotas) catalog.apply(RemoveTenant{name});
  say("nothing is left of the sum when all have gone", catalog.total_quota_per_second() == 0);
}

void lines() {
  PutRoute full = route("svc/r", 0.4, 2.5);
  full.settings.idempotency_window = 5;
  full.settings.late_value = 0.25;
  full.settings.value_without_call = 0.5;
  full.settings.calls_dependency = true;
  full.settings.idempotency = Idempotency::kNonIdempotent;
  for (const Change& change : std::initializer_list<Change>{full, tenant("acme", 12.5), RemoveRoute{"svc/r"},
                                                            RemoveTenant{"acme"}}) {
    std::string line = encode_change(change);
    const Change again = decode_change(std::string_view(line).substr(0, line.size() - 1));
    std::printf("%s%s, the same when read: %s\n", line.c_str(), describe(again).c_str(),
                encode_change(again) == line ? "yes" : "NO");
  }
  for (const std::string& bad :
       {std::string(""), std::string("[]"), std::string("{"), std::string(R"({"quota-per-s":1})"),
        std::string(R"({"tenant":7})"), std::string(R"({"tenant":"a","quota-per-s":-1})"),
        std::string(R"({"tenant":"a","quota-per-s":"x"})"), std::string(R"({"route":"a"})"),
        std::string(R"({"route":"a","target":1,"give-up":0})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"semantics":"x"})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"calls":1})"),
        std::string(R"({"route":"a","target":1,"give-up":2,"worth-without":2})"), std::string(5000, ' ')}) {
    try {
      decode_change(bad);
      std::printf("taken: %s\n", bad.c_str());
    } catch (const CodecError& error) {
      std::printf("%.44s: %s\n", bad.c_str(), error.what());
    }
  }
}

// Changes come in force one after another; a bad one is refused alone.
void changes() {
  FollowedCatalog f;
  f.tell("no files");
  f.append(encode_changes({route("r"), tenant("a", 10), tenant("b", 5)}));
  f.tell("three changes");
  f.tell("nothing new");
  f.append(encode_changes({tenant("a", 11), RemoveTenant{"none"}}) +
           "{\"tenant\":\"c\",\"quota-per-s\":-1}\n" + encode_changes({tenant("d", 1)}));
  f.tell("a good one, two bad ones, a good one");
  f.append(encode_changes({RemoveTenant{"b"}, tenant("b", 6)}), 2);
  f.tell("a higher epoch goes on");
  f.source.files[kChangesFile].number = 2;  // the same content in another file
  f.tell("another file with the same history");
  f.append(encode_changes({tenant("e", 1)}), 2);
  f.tell("read on in it");
  // Another file under the same number: one long span that tells the same history, then a new change.
  HistoryDigest history = 0;
  std::string all = encode_changes({route("r"), tenant("a", 10), tenant("b", 5)});
  MemorySource::File& file = f.source.files[kChangesFile];
  const std::size_t before = file.bytes.size();
  file.bytes = encode_batch(1, 1, history, all);
  f.tell("shorter, and older");
  const Version now = f.catalog.version();
  HistoryDigest known = f.catalog.history();
  const std::uint64_t written = f.written;
  all.clear();
  for (int i = 0; i < 40; ++i) all += encode_change(tenant(numbered("n", i), 1));
  file.bytes = encode_batch(2, written + 1, known, all);
  say("longer than what was read", file.bytes.size() > before && now.sequence == written);
  f.written += 40;
  f.history = known;
  f.tell("changes that begin before the place where it was");
  say("every change was taken or refused, none twice",
      f.follower.counts().applied + 2 == f.written && f.follower.counts().rejected == 2);
}

// What does not fit to what is in force is refused, and nothing of it is taken.
void refused() {
  const std::string first = encode_changes({route("r"), tenant("a", 10)});
  const auto begun = [&] {
    auto f = std::make_unique<FollowedCatalog>();
    f->append(first);
    f->read();
    return f;
  };
  auto f = begun();
  f->written += 1;
  f->append(encode_changes({tenant("b", 1)}));
  f->tell("a gap");
  f->tell("it is told again when asked again");
  f = begun();
  f->append(encode_changes({tenant("b", 1)}), 3);
  f->read();
  f->append(encode_changes({tenant("c", 1)}), 2);
  f->tell("a lower epoch");
  f = begun();
  f->history ^= 1;
  f->append(encode_changes({tenant("b", 1)}));
  f->tell("another history before it");
  f = begun();
  f->append(encode_changes({tenant("b", 1)}));
  f->read();
  f->source.files[kChangesFile] = {2, ""};
  f->written = 0;
  f->history = 0;
  f->append(first);
  f->append(encode_changes({tenant("b", 2)}));
  f->append(encode_changes({tenant("c", 2)}));
  f->tell("one version with two histories");
  f = begun();
  f->append(encode_changes({tenant("b", 1)}));
  f->append(encode_changes({tenant("c", 1)}));
  f->read();
  f->source.files[kChangesFile] = {2, ""};
  f->written = 0;
  f->history = 0;
  f->append(first);
  f->append(encode_changes({tenant("b", 2)}));
  f->tell("an earlier version with two histories");
  f = begun();
  f->append(encode_changes({tenant("b", 1)}));
  std::string& bytes = f->source.files[kChangesFile].bytes;
  const std::string whole = bytes;
  bytes.pop_back();
  f->tell("a torn span");
  bytes = whole + "DSPK";
  f->tell("whole now, and the beginning of another");
  bytes = whole + "nonsense that is no span of ours at all";
  f->tell("nonsense behind");
  f = begun();
  f->append(encode_changes({tenant("b", 1)}));
  f->source.files[kChangesFile].bytes.back() ^= 1;
  f->tell("a flipped bit");
  f = begun();
  f->source.files[kChangesFile].bytes += store::add_checksum(kBatchFormat + 1, "x");
  f->tell("a newer form");
  f = begun();
  f->source.files[kChangesFile].bytes +=
      store::add_checksum(kBatchFormat, std::string(kMaxBatchBytes + 1, 'x'));
  f->tell("too long");
  for (const char* content : {"", "x\n", R"({"epoch":1,"first":3,"last":2,"before":"0","after":"0"}
)",
                              R"({"epoch":1,"first":3,"last":4,"before":"0","after":"0"}
{}
)"}) {
    f = begun();
    f->source.files[kChangesFile].bytes += store::add_checksum(kBatchFormat, content);
    f->tell("a bad span");
  }
  f = begun();
  HistoryDigest next = f->history;
  const std::string whole_span = encode_batch(1, 3, next, encode_changes({tenant("b", 1)}));
  f->source.files[kChangesFile].bytes +=
      store::add_checksum(kBatchFormat, whole_span.substr(store::kChecksumHeaderBytes) + "{");
  f->tell("a line without end");
  f = begun();
  std::string changed = encode_batch(1, 3, f->history, encode_changes({tenant("b", 1)}));
  changed = changed.substr(store::kChecksumHeaderBytes);
  const std::size_t at = changed.find("\"b\"");
  changed[at + 1] = 'z';
  f->source.files[kChangesFile].bytes += store::add_checksum(kBatchFormat, changed);
  f->tell("changes that are not those of the header");
}

void snapshots() {
  FollowedCatalog f;
  f.append(encode_changes({route("r"), tenant("a", 10), tenant("b", 5)}));
  f.tell("three changes");
  const int a = f.catalog.find_tenant("a"), b = f.catalog.find_tenant("b");
  const std::uint32_t generation = f.catalog.tenant(a).generation, life_b = f.catalog.tenant(b).generation;
  const std::string entries =
      encode_changes({route("r", 0.4, 3), route("s"), tenant("a", 1), tenant("c", 2)});
  f.source.files[kSnapshotFile].bytes = snapshot_of({1, 9}, 99, entries, 2, 2);
  f.tell("a snapshot");
  say("who stayed has his position and life",
      f.catalog.find_tenant("a") == a && f.catalog.tenant(a).generation == generation);
  say("who went is unknown", f.catalog.find_tenant("b") == -1);
  const int c = f.catalog.find_tenant("c");
  say("who came has neither that position nor that life", c != b && f.catalog.tenant(c).generation > life_b);
  f.catalog.apply(tenant("d", 1));
  say("a position that came free is used again", f.catalog.find_tenant("d") == b);
  const auto given = [&](const char* what, const std::string& bytes) {
    f.source.files[kSnapshotFile].bytes = bytes;
    f.tell(what);
  };
  given("older", snapshot_of({1, 8}, 1, entries, 2, 2));
  given("a lower epoch", snapshot_of({0, 80}, 1, entries, 2, 2));
  given("the same", snapshot_of({1, 9}, 99, entries, 2, 2));
  given("the same version, another history", snapshot_of({1, 9}, 98, entries, 2, 2));
  const std::string newer = snapshot_of({1, 20}, 5, entries, 2, 2);
  given("torn", newer.substr(0, newer.size() - 1));
  given("longer", newer + "x");
  std::string flipped = newer;
  flipped[flipped.size() - 12] ^= 1;
  given("a flipped bit", flipped);
  std::string other_value = newer;
  other_value.replace(other_value.find("\"quota-per-s\":2"), 15, "\"quota-per-s\":7");
  given("another value", other_value);
  given("other counts", snapshot_of({1, 20}, 5, entries, 1, 2));
  given("too many", snapshot_of({1, 20}, 5, entries, 101, 2));
  given("an entry twice", snapshot_of({1, 20}, 5, entries + entries, 4, 4));
  given("a tenant twice", snapshot_of({1, 20}, 5, entries + encode_change(tenant("a", 3)), 2, 3));
  given("a bad entry", snapshot_of({1, 20}, 5, entries + "{\"tenant\":\"x\",\"quota-per-s\":-1}\n", 2, 3));
  given("a removal", snapshot_of({1, 20}, 5, entries + encode_changes({RemoveTenant{"a"}}), 2, 2));
  given("no route", snapshot_of({1, 20}, 5, encode_changes({tenant("a", 1)}), 0, 1));
  given("no end", snapshot_of({1, 20}, 5, entries + "{", 2, 2));
  given("a line without end",
        store::add_checksum(kSnapshotFormat, encode_header(SnapshotHeader{{1, 20}, 5, 2, 2}) + entries +
                                                 std::string(200000, 'x')));
  // Replaced between two chunks: by another file, or by one of another size.
  std::string many = entries;
  for (int i = 0; i < 90; ++i) many += encode_change(tenant(numbered("t", i) + std::string(900, 'x'), 1));
  const std::string long_one = snapshot_of({1, 20}, 5, many, 2, 92);
  for (const bool other : {true, false}) {
    f.source.files[kSnapshotFile].bytes = long_one;
    f.source.before_second_chunk = [&] {
      MemorySource::File& file = f.source.files[kSnapshotFile];
      other ? void(++file.number) : file.bytes.push_back('x');
    };
    f.tell(other ? "replaced while it is read" : "longer while it is read");
  }
  given("no header", store::add_checksum(kSnapshotFormat, "x\n"));
  given("a span in its place", store::add_checksum(kBatchFormat, "x\n"));
  given("nothing", "");
  given("sound at last", newer);
  f.source.files.erase(kChangesFile);
  f.written = 20;
  f.history = 5;
  f.append(encode_changes({tenant("e", 1)}));
  f.tell("changes behind it");
}

// A whole that is replaced again and again by other names stays within its memory and its positions.
void replaced() {
  constexpr int kTenants = 3000;
  FollowedCatalog f({10, kTenants, true});
  std::size_t bytes = 0;
  bool within = true, found = true, alone = true;
  for (int round = 1; round <= 12; ++round) {
    std::string entries = encode_change(route("r"));
    for (int i = 0; i < kTenants; ++i)
      entries +=
          encode_change(tenant(numbered("tenant-", round * (round % 3 == 0 ? 0 : 7) * kTenants + i), i));
    f.source.files[kSnapshotFile].bytes =
        snapshot_of({1, static_cast<std::uint64_t>(round)}, 1, entries, 1, kTenants);
    f.read();
    std::set<int> positions;
    f.catalog.tenant_names().visit(0, f.catalog.tenant_names().cells(), [&](std::string_view, int position) {
      positions.insert(position);
      within = within && static_cast<std::size_t>(position) < f.catalog.tenant_positions();
    });
    alone = alone && positions.size() == static_cast<std::size_t>(kTenants);
    found = found && f.catalog.version().sequence == static_cast<std::uint64_t>(round);
    if (round == 4) bytes = f.catalog.memory_bytes();
  }
  say("twelve snapshots in force", found);
  say("positions within their bound", within);
  say("each entry alone at its position", alone);
  say("no more memory than after four", f.catalog.memory_bytes() <= bytes * 11 / 10);
}

// Steps end in time, whatever is read; the clock here moves a millisecond each time it is looked at.
void steps() {
  CatalogLimits limits{10, 20000, true};
  Catalog catalog(limits, 7);
  MemorySource source;
  double now = 0;
  Follower follower(catalog, source, [&] { return now += 0.001; });
  std::string entries = encode_change(route("r"));
  for (int i = 0; i < 20000; ++i) entries += encode_change(tenant(numbered("tenant-", i), 1));
  source.files[kSnapshotFile].bytes = snapshot_of({1, 1}, 1, entries, 1, 20000);
  follower.poll();
  int steps = 0;
  std::size_t most = 0, before = 0;
  bool whole_or_nothing = true;
  while (follower.step(0.002) != Follower::State::kIdle) {
    ++steps;
    whole_or_nothing = whole_or_nothing && (catalog.tenant_count() == 0 || catalog.tenant_count() == 20000);
  }
  say("in many steps", steps > 500);
  say("all or nothing is in force at any time", whole_or_nothing && catalog.tenant_count() == 20000);
  HistoryDigest history = 1;
  std::string lines;
  for (int i = 0; i < 1000; ++i) lines += encode_change(tenant(numbered("tenant-", i), 2));
  source.files[kChangesFile].bytes = encode_batch(1, 2, history, lines);
  follower.poll();
  while (follower.step(0.002) != Follower::State::kIdle) {
    most = std::max<std::size_t>(most, follower.counts().applied - before);
    before = follower.counts().applied;
  }
  say("a thousand changes, few in a step", follower.counts().applied == 1000 && most <= 64);
  follower.poll();
  follower.step(0);  // the end of the file is on its way, as it was
  source.files[kChangesFile].bytes += encode_batch(1, 1002, history, encode_change(tenant("tenant-1", 3)));
  follower.poll();
  while (follower.step(1) != Follower::State::kIdle) continue;
  say("asked again while it reads: once more afterwards", follower.counts().applied == 1001);
  say("pieces of files are small", source.max_requested <= kMaxBatchBytes + store::kChecksumHeaderBytes);
}

// A host that only notes how each request was answered.
struct NotingHost : standins::SilentSink {
  void reject(RequestId id, double, bool) override { answers[id] = "rejected"; }
  void fail(RequestId id) override { answers[id] = "failed"; }
  void schedule_wakeup(double, std::uint64_t token) override { wake = token; }

  std::map<RequestId, std::string> answers;
  std::uint64_t wake = 0;
};

double values_learned(const AdmissionController& controller, int position) {
  const LearnedStatistics learned = controller.learned();
  double sum = 0;
  for (const double bin : learned.routes[static_cast<std::size_t>(position)].run.bins) sum += bin;
  return sum;
}

// The decisions go by the route as it was when a request was read, and do not learn of one route for another.
void decided() {
  StartSettings site = standins::synthetic_site({2, 0}, 1);
  Catalog catalog({10, 10, true}, 1);
  PutRoute fragile = route("r", 1);
  fragile.settings.idempotency = Idempotency::kNonIdempotent;
  catalog.apply(route("other", 1));
  catalog.apply(fragile);
  NotingHost host;
  AdmissionController controller(site.admission, 1, host, 0, {}, &catalog);
  const int position = catalog.find_route("r");
  Request request;
  request.route = position;
  request.size_kb = 1;
  for (request.id = 1; request.id <= 9; ++request.id)
    controller.on_request(0.1, request);  // eight run, the ninth is held
  catalog.apply(route("r", 1));           // may be repeated, from now on
  controller.on_timer(2, host.wake, {});
  std::printf("a held one that was not to be repeated when it was read: %s\n", host.answers[9].c_str());
  request.id = 10;
  controller.on_request(2, request);
  controller.on_timer(4, host.wake, {});
  std::printf("one that came after the change: %s\n", host.answers[10].c_str());
  catalog.apply(RemoveRoute{"r"});
  catalog.apply(route("new", 1));
  say("another route has its position", catalog.find_route("new") == position);
  request.id = 11;
  controller.on_request(4, request);
  controller.on_run_finished(4.1, 1, Outcome::kOk, 0);
  controller.on_run_finished(4.1, 2, Outcome::kOk, 0);
  say("runs of the one that went teach nothing of it", values_learned(controller, position) == 0);
  for (RequestId id = 3; id <= 8; ++id) controller.on_run_finished(4.2, id, Outcome::kOk, 0);
  controller.on_run_finished(4.3, 11, Outcome::kOk, 0);
  say("its own do", values_learned(controller, position) == 1);
  say("nothing is charged in the end", controller.pool_in_use() == 0);
}

// A tenant's bucket: bounded memory, the same decisions as one for each; who is pushed out begins anew.
void quotas() {
  const StartSettings site = standins::synthetic_site({1, 200000}, 1);
  Catalog catalog({1, 200000, true}, 1);
  catalog.apply(route("r"));
  for (int i = 0; i < 200000; ++i) catalog.apply(tenant(numbered("t", i), 1));
  TenantQuotas many(catalog, 1);
  int within = 0;
  for (int i = 0; i < 40; ++i) {
    const bool in = many.observe(5, 0);
    within += in;
    if (in) many.spend(5);
  }
  std::printf("of 40 at once, of one tenant of 200000: %d within\n", within);
  // Four others of its set, a while later: then it has a full bucket anyway.
  for (int i = 1; i <= 4; ++i) many.observe(5 + i * 16384, 60);
  within = 0;
  for (int i = 0; i < 40; ++i) {
    const bool in = many.observe(5, 60);
    within += in;
    if (in) many.spend(5);
  }
  std::printf("a minute later, pushed out meanwhile: %d within\n", within);
  for (int i = 1; i <= 3; ++i) many.observe(5 + i * 16384, 60);
  std::printf("three others of its set push nobody out: %s\n",
              many.observe(5, 60) ? "NO" : "its bucket is empty");
  catalog.apply(RemoveTenant{"t5"});
  catalog.apply(tenant("t5", 1));
  std::printf("removed and back: %s\n", many.observe(5, 60) ? "a full bucket" : "NO");
  catalog.apply(tenant("t5", 0));
  within = 0;
  for (int i = 0; i < 40; ++i) {
    const bool in = many.observe(5, 60);
    within += in;
    if (in) many.spend(5);
  }
  std::printf("its quota is nothing now: %d within\n", within);
}

// Counts what a decision looks up.
class CountingDirectory : public RouteDirectory {
 public:
  explicit CountingDirectory(const Catalog& catalog) : catalog_(catalog) {}
  const Route& route(int position) const override { return ++looks, catalog_.route(position); }
  Tenant tenant(int position) const override { return ++looks, catalog_.tenant(position); }
  std::size_t route_count() const override { return catalog_.route_count(); }
  std::size_t tenant_count() const override { return catalog_.tenant_count(); }
  std::size_t tenant_positions() const override { return catalog_.tenant_positions(); }
  double total_quota_per_second() const override { return ++looks, catalog_.total_quota_per_second(); }
  double highest_priority_weight() const override { return ++looks, catalog_.highest_priority_weight(); }
  mutable std::uint64_t looks = 0;

 private:
  const Catalog& catalog_;
};

// What a request looks up, and what a change reads, does not grow with routes and tenants.
void costs() {
  for (const standins::SiteSize size : {standins::SiteSize{3, 100}, standins::SiteSize{4400, 96000}}) {
    const StartSettings site = standins::synthetic_site(size);
    const auto catalog = Catalog::from_settings(site, {}, 1);
    const CountingDirectory directory(*catalog);
    standins::DecisionLoadOptions load;
    load.requests = 3000;
    load.directory = &directory;
    standins::play_decisions(site.admission, load);
    const std::uint64_t each = directory.looks / load.requests;
    FollowedCatalog f({5000, 100000, true});
    std::string entries;
    for (std::size_t i = 0; i < size.routes; ++i)
      entries += encode_change(PutRoute{standins::route_name(i), standins::synthetic_route(i)});
    for (std::size_t i = 0; i < size.tenants; ++i)
      entries += encode_change(tenant(standins::tenant_name(i), 1));
    f.source.files[kSnapshotFile].bytes = snapshot_of({1, 1}, 0, entries, size.routes, size.tenants);
    f.read();
    f.written = 1;
    std::size_t bytes = 0;
    for (int i = 0; i < 100; ++i) {
      f.append(encode_change(tenant(standins::tenant_name(static_cast<std::size_t>(i)), 2)));
      f.source.read = 0;
      f.read();
      bytes = std::max(bytes, f.source.read);
    }
    std::printf(
        "%5d routes, %6d tenants: at most 8 look-ups a request: %s, a change reads under 8 KB: %s, %d in "
        "force\n",
        static_cast<int>(size.routes), static_cast<int>(size.tenants), each <= 8 ? "yes" : "NO",
        bytes < 8192 ? "yes" : "NO", static_cast<int>(f.catalog.version().sequence));
  }
}

// The writer's side: a folder whose writer dies at any byte loses nothing that was whole.
void folders() {
  char path[] = "/tmp/damsonspoke-catalog-XXXXXX";
  if (::mkdtemp(path) == nullptr) std::abort();
  const std::string folder = path;
  const CatalogLimits limits{100, 100, true};
  write_snapshot(folder, {1, 1}, 11, encode_changes({route("r"), tenant("a", 1)}));
  append_changes(folder, 1, encode_changes({tenant("b", 1)}), limits);
  const Version version = append_changes(folder, 1, encode_changes({tenant("c", 1), tenant("d", 1)}), limits);
  say("a snapshot and three changes", version == Version{1, 4});
  const std::string file = folder + "/" + kChangesFile;
  std::ifstream in(file, std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(in)), {});
  bool prefixes = true, goes_on = true;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::ofstream(file, std::ios::binary) << whole.substr(0, size);
    const LoadedFolder loaded = load_folder(folder, limits);
    const std::uint64_t sequence = loaded.catalog->version().sequence;
    prefixes = prefixes && loaded.rejected_changes.empty() && (sequence == 1 || sequence == 2);
    if (size % 16 != 0) continue;
    append_changes(folder, 1, encode_changes({tenant("e", 1)}), limits);
    const LoadedFolder next = load_folder(folder, limits);
    goes_on = goes_on && next.rejected_changes.empty() && next.catalog->version().sequence == sequence + 1;
  }
  say("cut at any byte: the whole spans are in force, nothing is refused", prefixes);
  say("and the next one goes on behind them", goes_on);
  std::ofstream(file, std::ios::binary) << whole;
  const LoadedFolder loaded = load_folder(folder, limits);
  write_snapshot(folder, loaded.catalog->version(), loaded.catalog->history(),
                 encode_entries(*loaded.catalog));
  const LoadedFolder again = load_folder(folder, limits);
  say("a snapshot of what is there is the same",
      encode_entries(*again.catalog) == encode_entries(*loaded.catalog) &&
          again.catalog->version() == loaded.catalog->version() && again.rejected_changes.empty());
  try {
    append_changes(folder, 0, encode_changes({tenant("x", 1)}), limits);
    std::printf("NO\n");
  } catch (const CatalogFileError& error) {
    std::printf("a lower epoch: %s\n", error.what());
  }
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"names", names},
                       {"positions", positions},
                       {"sums", sums},
                       {"lines", lines},
                       {"changes", changes},
                       {"refused", refused},
                       {"snapshots", snapshots},
                       {"replaced", replaced},
                       {"steps", steps},
                       {"quotas", quotas},
                       {"decided", decided},
                       {"costs", costs},
                       {"folders", folders}});
}
