// Helpers for the tests of the catalog: short forms of changes, files in memory, and a catalog that follows
// them.
#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "catalog/catalog.h"
#include "catalog/codec.h"
#include "catalog/follower.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog::testing {

// The prefix followed by the number. Appends, because in optimized builds GCC 12 falsely reports an overlap
// (-Wrestrict) if a literal is prepended to a temporary string.
inline std::string numbered(std::string_view prefix, long long number) {
  std::string text(prefix);
  text += std::to_string(number);
  return text;
}

inline PutRoute route(const std::string& name, double timeout = 0.4, double priority_weight = 1) {
  PutRoute put{name, {}};
  put.settings.latency_objective = timeout / 2;
  put.settings.timeout = timeout;
  put.settings.priority_weight = priority_weight;
  return put;
}
inline PutTenant tenant(const std::string& name, double quota_per_second) {
  return {name, {quota_per_second, 0}};
}

// Applies a change; prints an error if it is rejected.
inline void apply(Catalog& catalog, const Change& change) {
  if (const auto error = catalog.apply(change))
    std::printf("NO: %s: %s\n", describe(change).c_str(), to_string(*error).c_str());
}

inline std::string encode_changes(std::initializer_list<Change> changes) {
  std::string lines;
  for (const Change& change : changes) lines += encode_change(change);
  return lines;
}

// A source of files in memory.
class MemorySource : public Source {
 public:
  struct File {
    std::uint64_t id = 1;
    std::string bytes;
  };
  std::map<std::string, File> files;
  std::size_t max_requested_bytes = 0;        // of one request
  std::size_t read_bytes = 0;                 // of all requests
  std::function<void()> before_second_chunk;  // called once, before the second chunk of a file is read

  void request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) override {
    FileChunk chunk;
    if (offset > 0 && before_second_chunk) std::exchange(before_second_chunk, nullptr)();
    max_requested_bytes = std::max(max_requested_bytes, max_bytes);
    const auto found = files.find(name);
    if (found != files.end()) {
      chunk.exists = true;
      chunk.file_id = found->second.id;
      chunk.file_size = found->second.bytes.size();
      if (offset < chunk.file_size) chunk.bytes = found->second.bytes.substr(offset, max_bytes);
      read_bytes += chunk.bytes.size();
    }
    chunk_ = std::move(chunk);
  }
  std::optional<FileChunk> take() override { return std::exchange(chunk_, std::nullopt); }

 private:
  std::optional<FileChunk> chunk_;
};

inline std::string encode_snapshot(Version version, HistoryDigest history, const std::string& lines,
                                   std::uint64_t routes, std::uint64_t tenants) {
  return store::add_checksum(kSnapshotFormat,
                             encode_header(SnapshotHeader{version, history, routes, tenants}) + lines);
}

// A catalog, the files that it follows, and their writer.
struct FollowedCatalog {
  explicit FollowedCatalog(CatalogLimits limits = {100, 100, true}) : catalog(limits, 7) {}

  Catalog catalog;
  MemorySource source;
  double now = 0;
  Follower follower{catalog, source, [this] { return now; }};
  HistoryDigest history = 0;  // digest of the written changes
  std::uint64_t written = 0;  // sequence number of the last written change

  // Writes a batch of changes.
  void append(const std::string& lines, std::uint64_t epoch = 1) {
    source.files[kChangesFile].bytes += encode_batch(epoch, written + 1, history, lines);
    written += static_cast<std::uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
  }
  // Polls the files until everything is read.
  void read() {
    follower.poll();
    while (follower.step(1) != Follower::State::kIdle) continue;
  }
  // Reads, then prints the state of the catalog and the errors.
  void read_and_print(const char* what) {
    read();
    std::printf("%-44s %d.%d, %d routes, %d tenants, total quota %g, highest weight %g\n", what,
                static_cast<int>(catalog.version().epoch), static_cast<int>(catalog.version().sequence),
                static_cast<int>(catalog.route_count()), static_cast<int>(catalog.tenant_count()),
                catalog.total_quota_per_second(), catalog.highest_priority_weight());
    for (const FollowerMessage& message : follower.take_messages())
      if (message.is_error) std::printf("    %s\n", message.text.c_str());
  }
};

}  // namespace damsonspoke::catalog::testing
