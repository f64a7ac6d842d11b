#include "catalog/follower.h"

#include <fmt/format.h>

#include <optional>
#include <variant>

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kSnapshotHeadBytes =
    4 * 1024;  // enough for the header, which shows whether a snapshot is newer
constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr int kEntriesPerClockCheck = 16;
constexpr std::size_t kMaxRejectedChanges = 32;
constexpr std::size_t kMaxMessages = 64;

}  // namespace

Follower::Follower(Catalog& catalog, Source& source, Clock clock)
    : catalog_(catalog),
      source_(source),
      clock_(std::move(clock)),
      snapshot_(catalog),
      history_(catalog),
      active_since_(clock_()) {}

void Follower::poll() {
  if (stage_ != Stage::kIdle) {
    poll_again_ = true;
    return;
  }
  poll_again_ = false;
  reads_from_start_ = changes_offset_ == 0;
  open_snapshot(kSnapshotFile);
}

Follower::State Follower::state() const {
  if (stage_ == Stage::kIdle) return State::kIdle;
  return is_waiting_for_chunk_ ? State::kWaiting : State::kWorking;
}

Follower::State Follower::step(double seconds) {
  const double end = clock_() + seconds;
  while (stage_ != Stage::kIdle) {
    if (!work()) return State::kWaiting;
    if (clock_() >= end) break;
  }
  return state();
}

// Does a small part of the work. Returns false if it waits for a chunk.
bool Follower::work() {
  if (is_waiting_for_chunk_) {
    const std::optional<FileChunk> chunk = source_.take();
    if (!chunk) return false;
    is_waiting_for_chunk_ = false;
    on_chunk(*chunk);
    return true;
  }
  for (int i = 0; i < kEntriesPerClockCheck && !is_waiting_for_chunk_; ++i) {
    switch (stage_) {
      case Stage::kSnapshotEntries: add_snapshot_entry(); break;
      case Stage::kApplyChanges: apply_next_change(); break;
      case Stage::kPreparePositions:
        if (!snapshot_.prepare()) activate_snapshot();
        return true;
      case Stage::kReleaseMemory: release_memory(); return true;
      default: return true;
    }
  }
  return true;
}

void Follower::request_chunk(Stage stage, const std::string& file, std::uint64_t offset,
                             std::size_t max_bytes) {
  stage_ = stage;
  is_waiting_for_chunk_ = true;
  source_.request(file, offset, max_bytes);
}

void Follower::on_chunk(const FileChunk& chunk) {
  switch (stage_) {
    case Stage::kSnapshotHead: return on_snapshot_head(chunk);
    case Stage::kSnapshotEntries:
      if (const auto error = snapshot_.add_chunk(chunk)) reject_snapshot(*error);
      return;
    case Stage::kReadChanges: return on_changes(chunk);
    default: return;
  }
}

void Follower::finish_poll() {
  stage_ = Stage::kIdle;
  if (poll_again_) poll();
}

void Follower::add_message(bool is_error, std::string text) {
  if (messages_.size() < kMaxMessages) messages_.push_back({is_error, std::move(text)});
}

void Follower::reject(Version version, std::string what, std::string reason) {
  ++counts_.rejected;
  add_message(true, fmt::format("{} rejected, version {} stays active: {}", what,
                                to_string(catalog_.version()), reason));
  rejected_changes_.push_back({version, std::move(what), std::move(reason)});
  if (rejected_changes_.size() > kMaxRejectedChanges) rejected_changes_.pop_front();
}

// ---- The snapshot.

void Follower::open_snapshot(const char* file) {
  snapshot_file_ = file;
  request_chunk(Stage::kSnapshotHead, snapshot_file_, 0, kSnapshotHeadBytes);
}

void Follower::on_snapshot_head(const FileChunk& chunk) {
  if (!chunk.exists && chunk.error.empty()) return release_memory();
  if (!chunk.exists) return reject_snapshot(Unreadable{chunk.error});
  if (const auto error = snapshot_.begin(chunk)) return reject_snapshot(*error);
  if (!snapshot_.is_loading()) return read_changes();
  stage_ = Stage::kSnapshotEntries;
}

void Follower::add_snapshot_entry() {
  const auto result = snapshot_.add_next_entry();
  if (const auto* error = std::get_if<FileError>(&result)) return reject_snapshot(*error);
  switch (std::get<SnapshotLoader::Step>(result)) {
    case SnapshotLoader::Step::kEntryAdded: return;
    case SnapshotLoader::Step::kChunkNeeded:
      return request_chunk(Stage::kSnapshotEntries, snapshot_file_, snapshot_.offset(), kChunkBytes);
    case SnapshotLoader::Step::kAllEntriesAdded: stage_ = Stage::kPreparePositions; return;
  }
}

void Follower::activate_snapshot() {
  snapshot_.activate();
  history_.clear();
  active_since_ = clock_();
  ++counts_.snapshots;
  add_message(false,
              fmt::format("snapshot activated: version {}, {} routes, {} tenants",
                          to_string(catalog_.version()), catalog_.route_count(), catalog_.tenant_count()));
  release_memory();
}

void Follower::reject_snapshot(const FileError& error) {
  snapshot_.abandon();
  reject({}, snapshot_file_, to_string(error));
  release_memory();
}

void Follower::release_memory() {
  stage_ = Stage::kReleaseMemory;
  if (snapshot_.release_memory()) return;
  // If no version is active yet, the previous snapshot is used rather than none.
  if (catalog_.version() == Version{} && snapshot_file_ == kSnapshotFile)
    return open_snapshot(kPreviousSnapshotFile);
  read_changes();
}

// ---- The file of changes.

void Follower::read_changes() {
  request_chunk(Stage::kReadChanges, kChangesFile, changes_offset_, kChunkBytes);
}

void Follower::on_changes(const FileChunk& chunk) {
  if (!chunk.exists) {
    if (!chunk.error.empty()) reject({}, kChangesFile, chunk.error);
    changes_offset_ = 0;
    return finish_poll();
  }
  if (detect_replaced_changes(chunk)) return read_changes();
  if (chunk.bytes.empty()) return finish_poll();
  read_batch(chunk);
}

// Whether the file of changes was replaced since the last read. If so, it is read from its start; changes
// that are already active are skipped.
bool Follower::detect_replaced_changes(const FileChunk& chunk) {
  if (chunk.file_id == changes_file_id_ && chunk.file_size >= changes_offset_) return false;
  const bool was_at_start = changes_offset_ == 0;
  changes_file_id_ = chunk.file_id;
  changes_offset_ = 0;
  return !was_at_start;
}

void Follower::read_batch(const FileChunk& chunk) {
  const store::ChecksumHeader frame = store::read_checksum_header(chunk.bytes, kBatchFormat);
  const std::uint64_t frame_bytes = store::kChecksumHeaderBytes + frame.length;
  const bool is_known = frame.problem == store::ChecksumProblem::kNone;
  const bool is_cut_off = is_known && changes_offset_ + frame_bytes > chunk.file_size;
  if (frame.problem == store::ChecksumProblem::kCorrupt || is_cut_off) {
    add_message(true, fmt::format("{}: the last batch is incomplete, {} bytes at {}", kChangesFile,
                                  chunk.file_size - changes_offset_, changes_offset_));
    return finish_poll();
  }
  if (!is_known) return on_invalid_frame(frame.problem);
  if (frame.format_version != kBatchFormat) return reject_batch(NotABatch{});
  if (frame.length > kMaxBatchBytes) return reject_batch(ContentTooLarge{frame.length, kMaxBatchBytes});
  const auto needed_bytes = static_cast<std::size_t>(frame_bytes);
  if (chunk.bytes.size() < needed_bytes)
    return request_chunk(Stage::kReadChanges, kChangesFile, changes_offset_, needed_bytes);
  const store::ChecksummedContent batch =
      store::verify_checksum(std::string_view(chunk.bytes).substr(0, needed_bytes), kBatchFormat);
  if (batch.problem != store::ChecksumProblem::kNone) return on_invalid_frame(batch.problem);
  batch_bytes_ = frame_bytes;
  begin_batch(batch.content);
}

// An invalid frame may mean that another file with the same id has replaced the one read so far, so that no
// frame starts at the offset. Therefore the file is read from its start, at most once per poll.
void Follower::on_invalid_frame(store::ChecksumProblem problem) {
  if (reads_from_start_) return reject_batch(ChecksumFailed{problem});
  reads_from_start_ = true;
  changes_offset_ = 0;
  read_changes();
}

// Reading stops at a rejected batch, because the changes after it depend on it.
void Follower::reject_batch(const FileError& error) {
  reject({}, fmt::format("{}: batch at byte {}", kChangesFile, changes_offset_), to_string(error));
  finish_poll();
}

void Follower::begin_batch(const std::string& content) {
  auto parsed = parse_batch(content);
  if (const auto* error = std::get_if<FileError>(&parsed)) return reject_batch(*error);
  batch_ = std::get<ChangeBatch>(std::move(parsed));
  if (const auto error = history_.check(batch_)) return reject_batch(*error);
  const std::uint64_t active = catalog_.version().sequence;
  const std::uint64_t first = batch_.header.first_sequence;
  next_change_ = static_cast<std::size_t>(active >= first ? active - first + 1 : 0);
  if (next_change_ >= batch_.lines.size()) {  // all of its changes are already active
    changes_offset_ += batch_bytes_;
    return read_changes();
  }
  stage_ = Stage::kApplyChanges;
}

void Follower::apply_next_change() {
  const std::string& line = batch_.lines[next_change_];
  const Version version{batch_.header.epoch, batch_.header.first_sequence + next_change_};
  try {
    const Change change = decode_change(line);
    if (const auto error = catalog_.apply(change)) {
      reject(version, fmt::format("change {}, {}", to_string(version), describe(change)), to_string(*error));
    } else {
      ++counts_.applied;
    }
  } catch (const CodecError& error) {
    reject(version, fmt::format("change {}", to_string(version)), error.what());
  }
  // A rejected change also advances the version, so that all readers of a file agree on the version.
  catalog_.set_version(version, extend_history(catalog_.history(), line));
  active_since_ = clock_();
  if (++next_change_ == batch_.lines.size()) finish_batch();
}

void Follower::finish_batch() {
  ++counts_.batches;
  history_.record_active_version();
  changes_offset_ += batch_bytes_;
  batch_ = {};
  read_changes();
}

}  // namespace damsonspoke::catalog
