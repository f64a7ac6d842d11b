// Follows the catalog's files: a snapshot of everything, and a file of changes that is read on from where it
// was. Decides what is taken and what is refused; pure but for the chunks of files that a Source hands it.
//
// A snapshot is built beside what is in force and takes over in one step. A span of changes is checked whole,
// then its changes come in force one after another, each in one step; a bad one is refused alone. Work comes
// in steps that end in time, so that whoever serves meanwhile is held for a bounded time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/codec.h"
#include "catalog/source.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {

struct RejectedChange {
  Version version;   // of the change; 0.0: of a whole file
  std::string what;  // entry, file or span
  std::string reason;
};

// What became known, for the log.
struct FollowerMessage {
  bool is_error = false;  // something was refused or is damaged
  std::string text;
};

struct FollowerCounts {
  std::uint64_t snapshots = 0;  // taken over
  std::uint64_t batches = 0;    // taken
  std::uint64_t applied = 0;    // changes in force
  std::uint64_t rejected = 0;   // entries, spans and snapshots
};

class Follower {
 public:
  using Clock = std::function<double()>;  // s, monotonic
  // `catalog`: in force; it is changed here and nowhere else.
  Follower(Catalog& catalog, Source& source, Clock clock);

  // Reads on; while it does, once more afterwards.
  void poll();
  enum class State { kIdle, kWaiting, kWorking };
  // Works for at most about `seconds`. kWaiting: for a piece of a file; kWorking: there is more to do at
  // once.
  State step(double seconds);
  State state() const;

  // What was refused lately, the newest last, and what became known of the files since the last call.
  const std::deque<RejectedChange>& rejected_changes() const { return rejected_changes_; }
  std::vector<FollowerMessage> take_messages() { return std::exchange(messages_, {}); }
  const FollowerCounts& counts() const { return counts_; }
  double active_since() const { return active_since_; }     // by the clock; the version that is in force
  std::uint64_t changes_offset() const { return offset_; }  // bytes of the file of changes that are read

 private:
  enum class Stage { kIdle, kSnapshotHead, kSnapshotEntries, kPrepare, kRelease, kChanges, kBatch };

  bool work();
  void request_chunk(Stage stage, const std::string& file, std::uint64_t offset, std::size_t most);
  void on_chunk(const FileChunk& chunk);
  void on_snapshot_head(const FileChunk& chunk);
  void on_snapshot_chunk(const FileChunk& chunk);
  void add_snapshot_entry();
  void activate_snapshot();
  void release();
  void open_snapshot(const char* snapshot);
  void reject_snapshot(const std::string& why);
  void read_changes();
  void on_changes(const FileChunk& chunk);
  void begin_batch(const std::string& content);
  std::string check_batch(const BatchHeader& header, const std::vector<std::string>& lines);
  std::string check_history(const BatchHeader& header, const std::vector<std::string>& lines) const;
  bool contradicts_history(std::uint64_t sequence, HistoryDigest history) const;
  void apply_next_change();
  void reject_batch(const std::string& why);
  void reject_bytes(store::ChecksumProblem problem);
  void say(bool is_error, std::string text);
  void refuse(Version version, std::string what, std::string why);
  void end();
  void in_force(Version version, HistoryDigest history);

  Catalog& catalog_;
  Source& source_;
  const Clock clock_;
  Stage stage_ = Stage::kIdle;
  bool poll_again_ = false;  // poll() was called meanwhile
  bool waiting_ = false;     // for a chunk

  // The snapshot that is read.
  std::unique_ptr<Catalog> successor_;  // or what it has taken over from
  std::unique_ptr<store::ChecksumVerifier> check_;
  std::string snapshot_name_;
  SnapshotHeader snapshot_;
  std::uint64_t snapshot_file_id_ = 0, snapshot_file_size_ = 0, snapshot_offset_ = 0, line_ = 0;
  std::string text_;      // read and not taken yet
  std::size_t used_ = 0;  // of it

  // The file of changes.
  std::uint64_t changes_file_id_ = 0, offset_ = 0;
  bool from_start_ = false;  // this reading has begun at the file's start
  BatchHeader batch_;
  std::vector<std::string> changes_;  // the lines of a span
  std::size_t next_change_ = 0;
  std::uint64_t batch_bytes_ = 0;
  std::map<std::uint64_t, HistoryDigest> histories_;  // at the ends of the last spans, by sequence number

  double active_since_ = 0;
  std::deque<RejectedChange> rejected_changes_;
  std::vector<FollowerMessage> messages_;
  FollowerCounts counts_;
};

}  // namespace damsonspoke::catalog
