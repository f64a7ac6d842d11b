// Follows the catalog's files: a complete snapshot, and a log of changes, of which each poll reads the new
// part. Decides what becomes active and what is rejected. It does no I/O itself: a Source provides the chunks
// of files.
//
// A snapshot is loaded beside the active catalog and replaces it in one step. A batch of changes is checked
// as a whole; then its changes become active one after another, and an invalid change is rejected without
// affecting the others. The work is done in steps of bounded time, so that requests are served in between.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/change_batch.h"
#include "catalog/file_error.h"
#include "catalog/snapshot_loader.h"
#include "catalog/source.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {

// A rejection, for operators.
struct RejectedChange {
  Version version;  // of the change; 0.0 if a whole file or batch was rejected
  std::string what;
  std::string reason;
};

// A line for the log.
struct FollowerMessage {
  bool is_error = false;  // something was rejected or is damaged
  std::string text;
};

struct FollowerCounts {
  std::uint64_t snapshots = 0;  // activated
  std::uint64_t batches = 0;    // applied
  std::uint64_t applied = 0;    // changes
  std::uint64_t rejected = 0;   // changes, batches and snapshots
};

class Follower {
 public:
  using Clock = std::function<double()>;  // seconds, monotonic
  // `catalog`: the active catalog; nothing else may change it.
  Follower(Catalog& catalog, Source& source, Clock clock);

  // Starts to read the new parts of the files. If a poll is in progress, another one follows it.
  void poll();
  enum class State {
    kIdle,
    kWaiting,  // for a chunk of a file
    kWorking,  // it has work to do without waiting
  };
  // Works for about `seconds` at most.
  State step(double seconds);
  [[nodiscard]] State state() const;

  // The latest rejections, the newest last.
  [[nodiscard]] const std::deque<RejectedChange>& rejected_changes() const { return rejected_changes_; }
  // The messages since the last call.
  [[nodiscard]] std::vector<FollowerMessage> take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const FollowerCounts& counts() const { return counts_; }
  // When the active version became active, in clock time.
  [[nodiscard]] double active_since() const { return active_since_; }
  // How many bytes of the file of changes have been read.
  [[nodiscard]] std::uint64_t changes_offset() const { return changes_offset_; }

 private:
  enum class Stage {
    kIdle,
    kSnapshotHead,      // waits for the first chunk of a snapshot
    kSnapshotEntries,   // adds entries to the successor
    kPreparePositions,  // of the successor
    kReleaseMemory,     // of the catalog that is not active
    kReadChanges,       // waits for a batch
    kApplyChanges,      // of a batch
  };

  bool work();
  void request_chunk(Stage stage, const std::string& file, std::uint64_t offset, std::size_t max_bytes);
  void on_chunk(const FileChunk& chunk);
  void finish_poll();

  void open_snapshot(const char* file);
  void on_snapshot_head(const FileChunk& chunk);
  void add_snapshot_entry();
  void activate_snapshot();
  void reject_snapshot(const FileError& error);
  void release_memory();

  void read_changes();
  void on_changes(const FileChunk& chunk);
  bool detect_replaced_changes(const FileChunk& chunk);
  void read_batch(const FileChunk& chunk);
  void begin_batch(const std::string& content);
  void finish_batch();
  void on_invalid_frame(store::ChecksumProblem problem);
  void reject_batch(const FileError& error);
  void apply_next_change();

  void add_message(bool is_error, std::string text);
  void reject(Version version, std::string what, std::string reason);

  Catalog& catalog_;
  Source& source_;
  const Clock clock_;
  Stage stage_ = Stage::kIdle;
  bool poll_again_ = false;
  bool is_waiting_for_chunk_ = false;

  SnapshotLoader snapshot_;
  std::string snapshot_file_;  // the name of the snapshot that is being read

  BatchHistory history_;
  std::uint64_t changes_file_id_ = 0;
  std::uint64_t changes_offset_ = 0;  // bytes
  bool reads_from_start_ = false;     // this poll reads the file of changes from its start
  ChangeBatch batch_;                 // the batch whose changes are being applied
  std::uint64_t batch_bytes_ = 0;     // size of its frame
  std::size_t next_change_ = 0;       // index in the batch

  double active_since_ = 0;
  std::deque<RejectedChange> rejected_changes_;
  std::vector<FollowerMessage> messages_;
  FollowerCounts counts_;
};

}  // namespace damsonspoke::catalog
