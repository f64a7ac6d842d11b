#include "catalog/snapshot_loader.h"

#include "catalog/line_reader.h"

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kPositionsPerStep = 4096;

}  // namespace

std::optional<FileError> SnapshotLoader::check_frame(const FileChunk& head,
                                                     const store::ChecksumHeader& frame) {
  if (frame.problem != store::ChecksumProblem::kNone) return ChecksumFailed{frame.problem};
  if (frame.format_version != kSnapshotFormat) return NotASnapshot{};
  if (frame.length > kMaxSnapshotBytes) return ContentTooLarge{frame.length, kMaxSnapshotBytes};
  const std::uint64_t expected_bytes = frame.length + store::kChecksumHeaderBytes;
  if (head.file_size != expected_bytes) return WrongFileSize{head.file_size, expected_bytes};
  return std::nullopt;
}

std::optional<FileError> SnapshotLoader::check_header() const {
  const Version active = active_.version();
  if (header_.version.epoch < active.epoch) return LowerEpoch{header_.version.epoch};
  if (header_.version == active && header_.history != active_.history()) return ConflictingSnapshot{active};
  if (header_.version <= active) return std::nullopt;
  const EntryCounts limits{active_.limits().routes, active_.limits().tenants};
  if (header_.routes > limits.routes || header_.tenants > limits.tenants)
    return TooManyEntries{{header_.routes, header_.tenants}, limits};
  return std::nullopt;
}

std::optional<FileError> SnapshotLoader::begin(const FileChunk& head) {
  const store::ChecksumHeader frame = store::read_checksum_header(head.bytes, kSnapshotFormat);
  if (auto error = check_frame(head, frame)) return error;
  text_ = head.bytes.substr(store::kChecksumHeaderBytes);
  text_offset_ = 0;
  line_ = 1;
  const std::optional<std::string_view> line = next_line(text_, text_offset_);
  if (!line) return MissingHeader{};
  try {
    header_ = decode_snapshot_header(*line);
  } catch (const CodecError& error) {
    return InvalidLine{line_, error.what()};
  }
  if (auto error = check_header()) return error;
  if (header_.version <= active_.version()) return std::nullopt;
  successor_ = active_.create_successor();
  verifier_ = std::make_unique<store::ChecksumVerifier>(frame);
  verifier_->add(text_);
  file_id_ = head.file_id;
  file_size_ = head.file_size;
  offset_ = head.bytes.size();
  return std::nullopt;
}

std::optional<FileError> SnapshotLoader::add_chunk(const FileChunk& chunk) {
  if (!chunk.exists || chunk.file_id != file_id_ || chunk.file_size != file_size_ || chunk.bytes.empty())
    return ReplacedWhileRead{};
  verifier_->add(chunk.bytes);
  offset_ += chunk.bytes.size();
  text_.erase(0, text_offset_);
  text_offset_ = 0;
  text_ += chunk.bytes;
  if (text_.find('\n') == std::string::npos) return LineTooLong{line_ + 1, text_.size()};
  return std::nullopt;
}

std::variant<SnapshotLoader::Step, FileError> SnapshotLoader::add_next_entry() {
  const std::optional<std::string_view> line = next_line(text_, text_offset_);
  if (!line) {
    if (offset_ < file_size_) return Step::kChunkNeeded;
    if (auto error = check_end()) return *std::move(error);
    return Step::kAllEntriesAdded;
  }
  ++line_;
  try {
    const Change entry = decode_change(*line);
    if (const auto error = successor_->add_entry(entry, active_))
      return RejectedEntry{line_, describe(entry), *error};
  } catch (const CodecError& error) {
    return InvalidLine{line_, error.what()};
  }
  return Step::kEntryAdded;
}

std::optional<FileError> SnapshotLoader::check_end() const {
  if (text_offset_ != text_.size() || !verifier_->is_valid()) return Torn{};
  const EntryCounts declared{header_.routes, header_.tenants};
  const EntryCounts found{successor_->route_count(), successor_->tenant_count()};
  if (found != declared) return WrongEntryCounts{declared, found};
  if (declared.routes == 0) return NoRoutes{};
  return std::nullopt;
}

bool SnapshotLoader::prepare() { return successor_->prepare_positions(kPositionsPerStep); }

void SnapshotLoader::activate() {
  active_.replace_with(*successor_);
  active_.set_version(header_.version, header_.history);
  verifier_.reset();
  text_.clear();
}

bool SnapshotLoader::release_memory() {
  if (successor_ != nullptr && successor_->release_memory()) return true;
  successor_.reset();
  return false;
}

}  // namespace damsonspoke::catalog
