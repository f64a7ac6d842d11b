// What the follower activates and what it rejects. CTest compares with tests/traces/catalog_NAME.txt.
// usage: follower - SCENARIO
#include "catalog/follower.h"

#include <cstdio>
#include <memory>
#include <set>
#include <string>

#include "catalog_fixtures.h"
#include "scenarios.h"

using namespace damsonspoke;
using namespace damsonspoke::catalog;
using namespace damsonspoke::catalog::testing;

namespace {

// Changes become active one after another; an invalid change is rejected without affecting the others.
void changes() {
  FollowedCatalog followed;
  followed.read_and_print("no files");
  followed.append(encode_changes({route("r"), tenant("a", 10), tenant("b", 5)}));
  followed.read_and_print("three changes");
  followed.read_and_print("no new changes");
  followed.append(encode_changes({tenant("a", 11), RemoveTenant{"none"}}) +
                  "{\"tenant\":\"c\",\"quota-per-s\":-1}\n" + encode_changes({tenant("d", 1)}));
  followed.read_and_print("valid, two invalid, valid");
  followed.append(encode_changes({RemoveTenant{"b"}, tenant("b", 6)}), 2);
  followed.read_and_print("a higher epoch continues");
  followed.source.files[kChangesFile].id = 2;  // the same content in another file
  followed.read_and_print("another file with the same history");
  followed.append(encode_changes({tenant("e", 1)}), 2);
  followed.read_and_print("the next changes of that file");
  // Another file with the same id: one long batch with the same history, then new changes.
  HistoryDigest history = 0;
  std::string all = encode_changes({route("r"), tenant("a", 10), tenant("b", 5)});
  MemorySource::File& file = followed.source.files[kChangesFile];
  const std::size_t before = file.bytes.size();
  file.bytes = encode_batch(1, 1, history, all);
  followed.read_and_print("a shorter, older file");
  const Version now = followed.catalog.version();
  HistoryDigest known = followed.catalog.history();
  const std::uint64_t written = followed.written;
  all.clear();
  for (int i = 0; i < 40; ++i) all += encode_change(tenant(numbered("n", i), 1));
  file.bytes = encode_batch(2, written + 1, known, all);
  say("longer than the part that was read", file.bytes.size() > before && now.sequence == written);
  followed.written += 40;
  followed.history = known;
  followed.read_and_print("a batch that starts before the former offset");
  say("every change was applied or rejected once",
      followed.follower.counts().applied + 2 == followed.written && followed.follower.counts().rejected == 2);
}

// The first batch has a route and a tenant.
const std::string& first_batch() {
  static const std::string kLines = encode_changes({route("r"), tenant("a", 10)});
  return kLines;
}
std::unique_ptr<FollowedCatalog> after_first_batch() {
  auto followed = std::make_unique<FollowedCatalog>();
  followed->append(first_batch());
  followed->read();
  return followed;
}

// Replaces the file of changes by one with another id that starts with the first batch again.
void replace_changes(FollowedCatalog& followed) {
  followed.source.files[kChangesFile] = {2, ""};
  followed.written = 0;
  followed.history = 0;
  followed.append(first_batch());
}

void reject_gaps_and_epochs() {
  auto followed = after_first_batch();
  followed->written += 1;
  followed->append(encode_changes({tenant("b", 1)}));
  followed->read_and_print("a sequence gap");
  followed->read_and_print("rejected again at the next poll");
  followed = after_first_batch();
  followed->append(encode_changes({tenant("b", 1)}), 3);
  followed->read();
  followed->append(encode_changes({tenant("c", 1)}), 2);
  followed->read_and_print("a lower epoch");
}

void reject_other_histories() {
  auto followed = after_first_batch();
  followed->history ^= 1;
  followed->append(encode_changes({tenant("b", 1)}));
  followed->read_and_print("another history before the batch");

  followed = after_first_batch();
  followed->append(encode_changes({tenant("b", 1)}));
  followed->read();
  replace_changes(*followed);
  followed->append(encode_changes({tenant("b", 2)}));
  followed->append(encode_changes({tenant("c", 2)}));
  followed->read_and_print("one version with two histories");

  followed = after_first_batch();
  followed->append(encode_changes({tenant("b", 1)}));
  followed->append(encode_changes({tenant("c", 1)}));
  followed->read();
  replace_changes(*followed);
  followed->append(encode_changes({tenant("b", 2)}));
  followed->read_and_print("an earlier version with two histories");
}

void reject_damaged_frames() {
  auto followed = after_first_batch();
  followed->append(encode_changes({tenant("b", 1)}));
  std::string& bytes = followed->source.files[kChangesFile].bytes;
  const std::string complete = bytes;
  bytes.pop_back();
  followed->read_and_print("a torn batch");
  bytes = complete + "DSPK";
  followed->read_and_print("complete, and the start of another batch");
  bytes = complete + "nonsense that is no span of ours at all";
  followed->read_and_print("invalid data after the batches");

  followed = after_first_batch();
  followed->append(encode_changes({tenant("b", 1)}));
  followed->source.files[kChangesFile].bytes.back() ^= 1;
  followed->read_and_print("a flipped bit");
  followed = after_first_batch();
  followed->source.files[kChangesFile].bytes += store::add_checksum(kBatchFormat + 1, "x");
  followed->read_and_print("a newer format");
  followed = after_first_batch();
  followed->source.files[kChangesFile].bytes +=
      store::add_checksum(kBatchFormat, std::string(kMaxBatchBytes + 1, 'x'));
  followed->read_and_print("a batch that is too long");
}

void reject_invalid_content() {
  const auto read_content = [](const char* what, const std::string& content) {
    const auto followed = after_first_batch();
    followed->source.files[kChangesFile].bytes += store::add_checksum(kBatchFormat, content);
    followed->read_and_print(what);
  };
  read_content("an invalid batch", "");
  read_content("an invalid batch", "x\n");
  read_content("an invalid batch", "{\"epoch\":1,\"first\":3,\"last\":2,\"before\":\"0\",\"after\":\"0\"}\n");
  read_content("an invalid batch",
               "{\"epoch\":1,\"first\":3,\"last\":4,\"before\":\"0\",\"after\":\"0\"}\n{}\n");

  HistoryDigest history = after_first_batch()->history;
  const std::string framed = encode_batch(1, 3, history, encode_changes({tenant("b", 1)}));
  const std::string valid = framed.substr(store::kChecksumHeaderBytes);
  read_content("an unterminated line", valid + "{");
  std::string changed = valid;
  changed[changed.find("\"b\"") + 1] = 'z';
  read_content("changes that are not those of the header", changed);
}

// Batches that do not continue the active history are rejected completely.
void rejected() {
  reject_gaps_and_epochs();
  reject_other_histories();
  reject_damaged_frames();
  reject_invalid_content();
}

void read_snapshot(FollowedCatalog& followed, const char* what, const std::string& bytes) {
  followed.source.files[kSnapshotFile].bytes = bytes;
  followed.read_and_print(what);
}

const std::string& snapshot_entries() {
  static const std::string kLines =
      encode_changes({route("r", 0.4, 3), route("s"), tenant("a", 1), tenant("c", 2)});
  return kLines;
}
// A snapshot that is newer than the active version.
std::string newer_snapshot(const std::string& entries, std::uint64_t routes = 2, std::uint64_t tenants = 2) {
  return encode_snapshot({1, 20}, 5, entries, routes, tenants);
}

void activate_first_snapshot(FollowedCatalog& followed) {
  Catalog& catalog = followed.catalog;
  followed.append(encode_changes({route("r"), tenant("a", 10), tenant("b", 5)}));
  followed.read_and_print("three changes");
  const int a = catalog.find_tenant("a");
  const int b = catalog.find_tenant("b");
  const std::uint32_t generation_a = catalog.tenant(a).generation;
  const std::uint32_t generation_b = catalog.tenant(b).generation;
  read_snapshot(followed, "a snapshot", encode_snapshot({1, 9}, 99, snapshot_entries(), 2, 2));
  say("an entry in both keeps its position and generation",
      catalog.find_tenant("a") == a && catalog.tenant(a).generation == generation_a);
  say("a removed entry is unknown", catalog.find_tenant("b") == -1);
  const int c = catalog.find_tenant("c");
  say("a new entry has neither that position nor that generation",
      c != b && catalog.tenant(c).generation > generation_b);
  apply(catalog, tenant("d", 1));
  say("a freed position is reused", catalog.find_tenant("d") == b);
}

void reject_snapshot_versions(FollowedCatalog& followed) {
  const std::string& entries = snapshot_entries();
  read_snapshot(followed, "an older version", encode_snapshot({1, 8}, 1, entries, 2, 2));
  read_snapshot(followed, "a lower epoch", encode_snapshot({0, 80}, 1, entries, 2, 2));
  read_snapshot(followed, "the same version", encode_snapshot({1, 9}, 99, entries, 2, 2));
  read_snapshot(followed, "the same version, another history", encode_snapshot({1, 9}, 98, entries, 2, 2));
}

void reject_damaged_snapshots(FollowedCatalog& followed) {
  const std::string newer = newer_snapshot(snapshot_entries());
  read_snapshot(followed, "torn", newer.substr(0, newer.size() - 1));
  read_snapshot(followed, "a longer file", newer + "x");
  std::string flipped = newer;
  flipped[flipped.size() - 12] ^= 1;
  read_snapshot(followed, "a flipped bit", flipped);
  std::string other_value = newer;
  other_value.replace(other_value.find("\"quota-per-s\":2"), 15, "\"quota-per-s\":7");
  read_snapshot(followed, "a changed value", other_value);
}

void reject_snapshot_entries(FollowedCatalog& followed) {
  const std::string& entries = snapshot_entries();
  read_snapshot(followed, "wrong counts in the header", newer_snapshot(entries, 1, 2));
  read_snapshot(followed, "too many entries", newer_snapshot(entries, 101, 2));
  read_snapshot(followed, "a duplicate route", newer_snapshot(entries + entries, 4, 4));
  read_snapshot(followed, "a duplicate tenant",
                newer_snapshot(entries + encode_change(tenant("a", 3)), 2, 3));
  read_snapshot(followed, "an invalid entry",
                newer_snapshot(entries + "{\"tenant\":\"x\",\"quota-per-s\":-1}\n", 2, 3));
  read_snapshot(followed, "a removal", newer_snapshot(entries + encode_changes({RemoveTenant{"a"}})));
  read_snapshot(followed, "no route", newer_snapshot(encode_changes({tenant("a", 1)}), 0, 1));
  read_snapshot(followed, "an incomplete last line", newer_snapshot(entries + "{"));
  const std::string header = encode_header(SnapshotHeader{{1, 20}, 5, 2, 2});
  read_snapshot(followed, "a line that is too long",
                store::add_checksum(kSnapshotFormat, header + entries + std::string(200000, 'x')));
}

// The file is replaced between two chunks, by another file or by one of another size.
void reject_replaced_snapshots(FollowedCatalog& followed) {
  std::string entries = snapshot_entries();
  for (int i = 0; i < 90; ++i) entries += encode_change(tenant(numbered("t", i) + std::string(900, 'x'), 1));
  const std::string bytes = newer_snapshot(entries, 2, 92);
  MemorySource::File& file = followed.source.files[kSnapshotFile];
  followed.source.before_second_chunk = [&] { ++file.id; };
  read_snapshot(followed, "replaced while it is read", bytes);
  followed.source.before_second_chunk = [&] { file.bytes.push_back('x'); };
  read_snapshot(followed, "longer while it is read", bytes);
}

// A snapshot is activated completely or not at all.
void snapshots() {
  FollowedCatalog followed;
  activate_first_snapshot(followed);
  reject_snapshot_versions(followed);
  reject_damaged_snapshots(followed);
  reject_snapshot_entries(followed);
  reject_replaced_snapshots(followed);
  read_snapshot(followed, "no header", store::add_checksum(kSnapshotFormat, "x\n"));
  read_snapshot(followed, "a batch in place of a snapshot", store::add_checksum(kBatchFormat, "x\n"));
  read_snapshot(followed, "an empty file", "");
  read_snapshot(followed, "a valid snapshot", newer_snapshot(snapshot_entries()));
  followed.source.files.erase(kChangesFile);
  followed.written = 20;
  followed.history = 5;
  followed.append(encode_changes({tenant("e", 1)}));
  followed.read_and_print("changes after it");
}

// A catalog that is replaced repeatedly by one with other names stays within its memory and its positions.
void replaced() {
  constexpr int tenant_count = 3000;
  FollowedCatalog followed({10, tenant_count, true});
  std::size_t bytes = 0;
  bool positions_in_range = true;
  bool all_active = true;
  bool positions_unique = true;
  for (int round = 1; round <= 12; ++round) {
    std::string entries = encode_change(route("r"));
    for (int i = 0; i < tenant_count; ++i)
      entries +=
          encode_change(tenant(numbered("tenant-", round * (round % 3 == 0 ? 0 : 7) * tenant_count + i), i));
    followed.source.files[kSnapshotFile].bytes =
        encode_snapshot({1, static_cast<std::uint64_t>(round)}, 1, entries, 1, tenant_count);
    followed.read();
    std::set<int> positions;
    followed.catalog.tenant_names().visit(
        0, followed.catalog.tenant_names().cells(), [&](std::string_view, int position) {
          positions.insert(position);
          positions_in_range = positions_in_range &&
                               static_cast<std::size_t>(position) < followed.catalog.max_tenant_positions();
        });
    positions_unique = positions_unique && positions.size() == static_cast<std::size_t>(tenant_count);
    all_active = all_active && followed.catalog.version().sequence == static_cast<std::uint64_t>(round);
    if (round == 4) bytes = followed.catalog.memory_bytes();
  }
  say("twelve snapshots activated", all_active);
  say("positions within their bound", positions_in_range);
  say("each entry has its own position", positions_unique);
  say("no more memory than after four snapshots", followed.catalog.memory_bytes() <= bytes * 11 / 10);
}

// Steps end in time, whatever is read. The clock advances by a millisecond each time it is read.
void steps() {
  CatalogLimits limits{10, 20000, true};
  Catalog catalog(limits, 7);
  MemorySource source;
  double now = 0;
  Follower follower(catalog, source, [&] { return now += 0.001; });
  std::string entries = encode_change(route("r"));
  for (int i = 0; i < 20000; ++i) entries += encode_change(tenant(numbered("tenant-", i), 1));
  source.files[kSnapshotFile].bytes = encode_snapshot({1, 1}, 1, entries, 1, 20000);
  follower.poll();
  int steps = 0;
  std::size_t max_applied = 0;
  std::size_t applied_before = 0;
  bool all_or_none = true;
  while (follower.step(0.002) != Follower::State::kIdle) {
    ++steps;
    all_or_none = all_or_none && (catalog.tenant_count() == 0 || catalog.tenant_count() == 20000);
  }
  say("the snapshot is loaded in many steps", steps > 500);
  say("all or none of its entries are active at any time", all_or_none && catalog.tenant_count() == 20000);
  HistoryDigest history = 1;
  std::string lines;
  for (int i = 0; i < 1000; ++i) lines += encode_change(tenant(numbered("tenant-", i), 2));
  source.files[kChangesFile].bytes = encode_batch(1, 2, history, lines);
  follower.poll();
  while (follower.step(0.002) != Follower::State::kIdle) {
    max_applied = std::max<std::size_t>(max_applied, follower.counts().applied - applied_before);
    applied_before = follower.counts().applied;
  }
  say("a thousand changes are applied, few per step", follower.counts().applied == 1000 && max_applied <= 64);
  follower.poll();
  follower.step(0);  // has requested the chunk at the former end of the file
  source.files[kChangesFile].bytes += encode_batch(1, 1002, history, encode_change(tenant("tenant-1", 3)));
  follower.poll();
  while (follower.step(1) != Follower::State::kIdle) continue;
  say("polled while it reads: it reads once more", follower.counts().applied == 1001);
  say("chunks of files are small",
      source.max_requested_bytes <= kMaxBatchBytes + store::kChecksumHeaderBytes);
}

}  // namespace

int main(int argc, char** argv) {
  std::string unused_binary;
  return run_scenario(argc, argv, unused_binary,
                      {{"changes", changes},
                       {"rejected", rejected},
                       {"snapshots", snapshots},
                       {"replaced", replaced},
                       {"steps", steps}});
}
