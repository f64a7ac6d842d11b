#include "catalog/follower.h"

#include <fmt/format.h>

#include <utility>

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kSnapshotHeadBytes = 4 * 1024;  // of a snapshot, to know whether it is new
constexpr std::size_t kChunkBytes = 64 * 1024;        // of a file at once
constexpr int kEntriesPerClockCheck = 16;             // at the clock
constexpr std::size_t kPositionsPerStep = 4096;       // of a successor that is prepared
constexpr std::size_t kMaxRejectedChanges = 32;       // that are kept to be told
constexpr std::size_t kMaxMessages = 64;              // between two calls that take them
constexpr std::size_t kMaxKnownHistories = 256;       // spans whose ends are known

std::string text_of(Version version) { return fmt::format("{}.{}", version.epoch, version.sequence); }

// The next line without its end; false where there is no whole one.
bool next_line(const std::string& text, std::size_t& used, std::string_view& line) {
  const std::size_t end = text.find('\n', used);
  if (end == std::string::npos) return false;
  line = std::string_view(text).substr(used, end - used);
  used = end + 1;
  return true;
}

}  // namespace

Follower::Follower(Catalog& catalog, Source& source, Clock clock)
    : catalog_(catalog), source_(source), clock_(std::move(clock)), active_since_(clock_()) {}

void Follower::poll() {
  if (stage_ != Stage::kIdle) {
    poll_again_ = true;
    return;
  }
  poll_again_ = false;
  from_start_ = offset_ == 0;
  open_snapshot(kSnapshotFile);
}

Follower::State Follower::state() const {
  if (stage_ == Stage::kIdle) return State::kIdle;
  return waiting_ ? State::kWaiting : State::kWorking;
}

Follower::State Follower::step(double seconds) {
  const double end = clock_() + seconds;
  while (stage_ != Stage::kIdle) {
    if (!work()) return State::kWaiting;
    if (clock_() >= end) break;
  }
  return state();
}

// A little of what is to be done; false where it waits for a chunk.
bool Follower::work() {
  if (waiting_) {
    std::optional<FileChunk> chunk = source_.take();
    if (!chunk) return false;
    waiting_ = false;
    on_chunk(*chunk);
    return true;
  }
  for (int i = 0; i < kEntriesPerClockCheck && !waiting_; ++i) {
    if (stage_ == Stage::kSnapshotEntries) {
      add_snapshot_entry();
    } else if (stage_ == Stage::kPrepare) {
      if (!successor_->prepare(kPositionsPerStep)) activate_snapshot();
      return true;
    } else if (stage_ == Stage::kRelease) {
      release();
      return true;
    } else if (stage_ == Stage::kBatch) {
      apply_next_change();
    } else {
      return true;
    }
  }
  return true;
}

void Follower::request_chunk(Stage stage, const std::string& file, std::uint64_t offset, std::size_t most) {
  stage_ = stage;
  waiting_ = true;
  source_.request(file, offset, most);
}

void Follower::on_chunk(const FileChunk& chunk) {
  switch (stage_) {
    case Stage::kSnapshotHead: return on_snapshot_head(chunk);
    case Stage::kSnapshotEntries: return on_snapshot_chunk(chunk);
    case Stage::kChanges: return on_changes(chunk);
    default: return;
  }
}

void Follower::end() {
  stage_ = Stage::kIdle;
  if (poll_again_) poll();
}

void Follower::in_force(Version version, HistoryDigest history) {
  catalog_.set_version(version, history);
  active_since_ = clock_();
}

void Follower::say(bool is_error, std::string text) {
  if (messages_.size() < kMaxMessages) messages_.push_back({is_error, std::move(text)});
}

void Follower::refuse(Version version, std::string what, std::string why) {
  ++counts_.rejected;
  say(true, fmt::format("{} refused, {} stays in force: {}", what, text_of(catalog_.version()), why));
  rejected_changes_.push_back({version, std::move(what), std::move(why)});
  if (rejected_changes_.size() > kMaxRejectedChanges) rejected_changes_.pop_front();
}

// ---- The snapshot.

void Follower::reject_snapshot(const std::string& why) {
  check_.reset();
  refuse({}, snapshot_name_, why);
  release();
}

// The memory of what is not in force goes in steps, too.
void Follower::release() {
  stage_ = Stage::kRelease;
  if (successor_ != nullptr && successor_->release()) return;
  successor_.reset();
  // Who has nothing in force yet takes the snapshot before a damaged one: better older than none.
  if (catalog_.version() == Version{} && snapshot_name_ == kSnapshotFile)
    return open_snapshot(kPreviousSnapshotFile);
  read_changes();
}

void Follower::open_snapshot(const char* snapshot) {
  snapshot_name_ = snapshot;
  request_chunk(Stage::kSnapshotHead, snapshot_name_, 0, kSnapshotHeadBytes);
}

void Follower::on_snapshot_head(const FileChunk& chunk) {
  if (!chunk.exists && chunk.error.empty()) return release();
  if (!chunk.exists) return reject_snapshot(chunk.error);
  const store::ChecksumHeader head = store::read_checksum_header(chunk.bytes, kSnapshotFormat);
  if (head.problem != store::ChecksumProblem::kNone)
    return reject_snapshot(std::string(text_of(head.problem)));
  if (head.form != kSnapshotFormat) return reject_snapshot("it is no snapshot");
  if (head.length > kMaxSnapshotBytes)
    return reject_snapshot(fmt::format("it holds {} bytes, {} at most", head.length, kMaxSnapshotBytes));
  if (chunk.file_size != head.length + store::kChecksumHeaderBytes)
    return reject_snapshot(fmt::format("it has {} bytes and should have {}: torn or damaged", chunk.file_size,
                                       head.length + store::kChecksumHeaderBytes));
  text_ = chunk.bytes.substr(store::kChecksumHeaderBytes);
  used_ = 0;
  std::string_view line;
  if (!next_line(text_, used_, line)) return reject_snapshot("it has no header");
  try {
    snapshot_ = decode_snapshot_header(line);
  } catch (const CodecError& error) {
    return reject_snapshot(fmt::format("line 1: {}", error.what()));
  }
  const Version now = catalog_.version();
  if (snapshot_.version.epoch < now.epoch)
    return reject_snapshot(fmt::format("its epoch is {}", snapshot_.version.epoch));
  if (snapshot_.version == now && snapshot_.history != catalog_.history())
    return reject_snapshot(fmt::format("version {} has another history here", text_of(now)));
  if (snapshot_.version <= now) return read_changes();
  if (snapshot_.routes > catalog_.limits().routes || snapshot_.tenants > catalog_.limits().tenants)
    return reject_snapshot(fmt::format("it has {} routes and {} tenants, {} and {} at most", snapshot_.routes,
                                       snapshot_.tenants, catalog_.limits().routes,
                                       catalog_.limits().tenants));
  successor_ = catalog_.successor();
  check_ = std::make_unique<store::ChecksumVerifier>(head);
  check_->add(text_);
  snapshot_file_id_ = chunk.file_id;
  snapshot_file_size_ = chunk.file_size;
  snapshot_offset_ = chunk.bytes.size();
  line_ = 1;
  stage_ = Stage::kSnapshotEntries;
}

void Follower::on_snapshot_chunk(const FileChunk& chunk) {
  if (!chunk.exists || chunk.file_id != snapshot_file_id_ || chunk.file_size != snapshot_file_size_ ||
      chunk.bytes.empty())
    return reject_snapshot("it was replaced while it was read");
  check_->add(chunk.bytes);
  snapshot_offset_ += chunk.bytes.size();
  text_.erase(0, used_);
  used_ = 0;
  text_ += chunk.bytes;
  if (text_.find('\n') == std::string::npos)
    reject_snapshot(fmt::format("line {}: it has more than {} bytes", line_ + 1, text_.size()));
}

void Follower::add_snapshot_entry() {
  std::string_view line;
  if (!next_line(text_, used_, line)) {
    if (snapshot_offset_ < snapshot_file_size_)
      return request_chunk(Stage::kSnapshotEntries, snapshot_name_, snapshot_offset_, kChunkBytes);
    if (used_ != text_.size() || !check_->sound()) return reject_snapshot("torn or damaged");
    if (successor_->route_count() != snapshot_.routes || successor_->tenant_count() != snapshot_.tenants)
      return reject_snapshot(fmt::format("its header tells {} routes and {} tenants, it has {} and {}",
                                         snapshot_.routes, snapshot_.tenants, successor_->route_count(),
                                         successor_->tenant_count()));
    if (snapshot_.routes == 0) return reject_snapshot("it has no route");
    stage_ = Stage::kPrepare;
    return;
  }
  ++line_;
  try {
    const Change entry = decode_change(line);
    const std::string why = successor_->add(entry, catalog_);
    if (!why.empty()) reject_snapshot(fmt::format("line {}: {}: {}", line_, describe(entry), why));
  } catch (const CodecError& error) {
    reject_snapshot(fmt::format("line {}: {}", line_, error.what()));
  }
}

void Follower::activate_snapshot() {
  catalog_.take_over(*successor_);
  in_force(snapshot_.version, snapshot_.history);
  histories_.clear();
  ++counts_.snapshots;
  say(false, fmt::format("version {} in force by a snapshot: {} routes, {} tenants",
                         text_of(snapshot_.version), catalog_.route_count(), catalog_.tenant_count()));
  check_.reset();
  text_.clear();
  release();
}

// ---- Changes.

void Follower::read_changes() { request_chunk(Stage::kChanges, kChangesFile, offset_, kChunkBytes); }

void Follower::on_changes(const FileChunk& chunk) {
  if (!chunk.exists) {
    if (!chunk.error.empty()) refuse({}, kChangesFile, chunk.error);
    offset_ = 0;
    return end();
  }
  if (chunk.file_id != changes_file_id_ ||
      chunk.file_size < offset_) {  // another file: what is known of it is passed over
    const bool from_start = offset_ == 0;
    changes_file_id_ = chunk.file_id;
    offset_ = 0;
    if (!from_start) return read_changes();
  }
  if (chunk.bytes.empty()) return end();
  const store::ChecksumHeader head = store::read_checksum_header(chunk.bytes, kBatchFormat);
  const std::uint64_t whole = store::kChecksumHeaderBytes + head.length;
  const bool known = head.problem == store::ChecksumProblem::kNone;
  if (head.problem == store::ChecksumProblem::kTorn || (known && offset_ + whole > chunk.file_size)) {
    say(true, fmt::format("{}: the last span is not whole, {} bytes at {}", kChangesFile,
                          chunk.file_size - offset_, offset_));
    return end();
  }
  if (!known) return reject_bytes(head.problem);
  if (head.form != kBatchFormat) return reject_batch("it is no span of changes");
  if (head.length > kMaxBatchBytes)
    return reject_batch(fmt::format("it holds {} bytes, {} at most", head.length, kMaxBatchBytes));
  if (chunk.bytes.size() < whole)
    return request_chunk(Stage::kChanges, kChangesFile, offset_, static_cast<std::size_t>(whole));
  const store::ChecksummedContent span = store::verify_checksum(
      std::string_view(chunk.bytes).substr(0, static_cast<std::size_t>(whole)), kBatchFormat);
  if (span.problem != store::ChecksumProblem::kNone) return reject_bytes(span.problem);
  batch_bytes_ = whole;
  begin_batch(span.content);
}

// No span begins here. Another file may have taken the place of the one that was read, under its number: then
// all of it is read, and what is known passed over. Once: what is damaged there is damaged.
void Follower::reject_bytes(store::ChecksumProblem problem) {
  if (from_start_) return reject_batch(std::string(text_of(problem)));
  from_start_ = true;
  offset_ = 0;
  read_changes();
}

// Nothing behind it is read before it has gone: the changes there build on it.
void Follower::reject_batch(const std::string& why) {
  refuse({}, fmt::format("{}: span at byte {}", kChangesFile, offset_), why);
  end();
}

void Follower::begin_batch(const std::string& content) {
  std::size_t used = 0;
  std::string_view line;
  changes_.clear();
  if (!next_line(content, used, line)) return reject_batch("it has no header");
  try {
    batch_ = decode_batch_header(line);
  } catch (const CodecError& error) {
    return reject_batch(error.what());
  }
  while (next_line(content, used, line)) changes_.emplace_back(line);
  if (used != content.size()) return reject_batch("its last line has no end");
  const std::string why = check_batch(batch_, changes_);
  if (!why.empty()) return reject_batch(why);
  const std::uint64_t now = catalog_.version().sequence;
  next_change_ = static_cast<std::size_t>(now >= batch_.first_sequence ? now - batch_.first_sequence + 1 : 0);
  if (next_change_ >= changes_.size()) {  // all of it is in force already
    offset_ += batch_bytes_;
    return read_changes();
  }
  stage_ = Stage::kBatch;
}

std::string Follower::check_batch(const BatchHeader& header, const std::vector<std::string>& lines) {
  const Version now = catalog_.version();
  if (lines.size() != header.last_sequence - header.first_sequence + 1)
    return fmt::format("it has {} changes for the numbers {} to {}", lines.size(), header.first_sequence,
                       header.last_sequence);
  if (header.last_sequence > now.sequence && header.epoch < now.epoch)
    return fmt::format("its epoch is {}", header.epoch);
  if (header.first_sequence > now.sequence + 1)
    return fmt::format("a gap: it begins with {}, {} is next", header.first_sequence, now.sequence + 1);
  return check_history(header, lines);
}

bool Follower::contradicts_history(std::uint64_t sequence, HistoryDigest history) const {
  if (sequence == catalog_.version().sequence) return history != catalog_.history();
  const auto known = histories_.find(sequence);
  return known != histories_.end() && known->second != history;
}

// Its history must be ours wherever we know ours, and what its header says that it is.
std::string Follower::check_history(const BatchHeader& header, const std::vector<std::string>& lines) const {
  HistoryDigest history = header.history_before;
  std::uint64_t sequence = header.first_sequence - 1;
  bool differs = contradicts_history(sequence, history);
  for (const std::string& line : lines) {
    if (differs) break;
    history = extend_history(history, line);
    ++sequence;
    const bool looked_at = sequence == catalog_.version().sequence || sequence == header.last_sequence;
    differs = looked_at && contradicts_history(sequence, history);
  }
  if (differs) return fmt::format("change {} has another history here", sequence);
  return history == header.history_after ? "" : "its changes are not those that its header tells";
}

void Follower::apply_next_change() {
  const std::string& line = changes_[next_change_];
  const Version version{batch_.epoch, batch_.first_sequence + next_change_};
  try {
    const Change change = decode_change(line);
    const std::string why = catalog_.apply(change);
    if (why.empty()) {
      ++counts_.applied;
    } else {
      refuse(version, fmt::format("change {}, {}", text_of(version), describe(change)), why);
    }
  } catch (const CodecError& error) {
    refuse(version, fmt::format("change {}", text_of(version)), error.what());
  }
  in_force(version, extend_history(catalog_.history(), line));
  if (++next_change_ < changes_.size()) return;
  ++counts_.batches;
  histories_[version.sequence] = catalog_.history();
  if (histories_.size() > kMaxKnownHistories) histories_.erase(histories_.begin());
  offset_ += batch_bytes_;
  changes_.clear();
  read_changes();
}

}  // namespace damsonspoke::catalog
