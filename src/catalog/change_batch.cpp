#include "catalog/change_batch.h"

#include "catalog/line_reader.h"

namespace damsonspoke::catalog {
namespace {

constexpr std::size_t kMaxRecordedBatches = 256;

}  // namespace

std::variant<ChangeBatch, FileError> parse_batch(const std::string& content) {
  std::size_t offset = 0;
  const std::optional<std::string_view> header = next_line(content, offset);
  if (!header) return MissingHeader{};
  ChangeBatch batch;
  try {
    batch.header = decode_batch_header(*header);
  } catch (const CodecError& error) {
    return Unreadable{error.what()};
  }
  while (const std::optional<std::string_view> line = next_line(content, offset))
    batch.lines.emplace_back(*line);
  if (offset != content.size()) return UnterminatedLine{};
  return batch;
}

std::optional<FileError> BatchHistory::check(const ChangeBatch& batch) const {
  const BatchHeader& header = batch.header;
  const Version active = catalog_.version();
  if (batch.lines.size() != header.last_sequence - header.first_sequence + 1)
    return WrongChangeCount{batch.lines.size(), header.first_sequence, header.last_sequence};
  if (header.last_sequence > active.sequence && header.epoch < active.epoch) return LowerEpoch{header.epoch};
  if (header.first_sequence > active.sequence + 1)
    return SequenceGap{header.first_sequence, active.sequence + 1};
  return check_digests(batch);
}

// Compares the digests with those of the active history wherever these are known, and the last one with the
// header.
std::optional<FileError> BatchHistory::check_digests(const ChangeBatch& batch) const {
  HistoryDigest digest = batch.header.history_before;
  std::uint64_t sequence = batch.header.first_sequence - 1;
  if (contradicts(sequence, digest)) return ConflictingChange{sequence};
  for (const std::string& line : batch.lines) {
    digest = extend_history(digest, line);
    ++sequence;
    const bool is_checked = sequence == catalog_.version().sequence || sequence == batch.header.last_sequence;
    if (is_checked && contradicts(sequence, digest)) return ConflictingChange{sequence};
  }
  if (digest != batch.header.history_after) return WrongHistoryDigest{};
  return std::nullopt;
}

bool BatchHistory::contradicts(std::uint64_t sequence, HistoryDigest digest) const {
  if (sequence == catalog_.version().sequence) return digest != catalog_.history();
  const auto known = digests_.find(sequence);
  return known != digests_.end() && known->second != digest;
}

void BatchHistory::record_active_version() {
  digests_[catalog_.version().sequence] = catalog_.history();
  if (digests_.size() > kMaxRecordedBatches) digests_.erase(digests_.begin());
}

}  // namespace damsonspoke::catalog
