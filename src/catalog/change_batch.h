// A batch of changes, and the checks whether it continues the history of the active catalog.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/codec.h"
#include "catalog/file_error.h"

namespace damsonspoke::catalog {

struct ChangeBatch {
  BatchHeader header;
  std::vector<std::string> lines;  // one change each
};

// Parses the content of a frame of the file of changes. Does not decode the changes.
[[nodiscard]] std::variant<ChangeBatch, FileError> parse_batch(const std::string& content);

// Remembers the history digests at the end of the latest batches, so that a file with another history is also
// detected if it differs before the active version.
class BatchHistory {
 public:
  explicit BatchHistory(const Catalog& catalog) : catalog_(catalog) {}

  // Checks that the batch continues the active version without a gap, or repeats a part of its history.
  [[nodiscard]] std::optional<FileError> check(const ChangeBatch& batch) const;
  // Call this at the end of a batch, when its last change is active.
  void record_active_version();
  // Call this when a snapshot became active: the recorded digests belong to the changes before it.
  void clear() { digests_.clear(); }

 private:
  [[nodiscard]] std::optional<FileError> check_digests(const ChangeBatch& batch) const;
  [[nodiscard]] bool contradicts(std::uint64_t sequence, HistoryDigest digest) const;

  const Catalog& catalog_;
  std::map<std::uint64_t, HistoryDigest> digests_;  // by sequence number
};

}  // namespace damsonspoke::catalog
