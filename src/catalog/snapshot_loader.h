// Loads a snapshot beside the active catalog, chunk by chunk and entry by entry, and activates it in one
// step. Does no I/O: the caller passes the chunks.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "catalog/catalog.h"
#include "catalog/codec.h"
#include "catalog/file_error.h"
#include "catalog/source.h"
#include "store/checksummed_file.h"

namespace damsonspoke::catalog {

// Order of calls: begin(); while is_loading(), add_next_entry() and, when it asks for one, add_chunk(); then
// prepare() until it returns false, activate(), and release_memory() until it returns false. After an error:
// abandon(), then release_memory().
class SnapshotLoader {
 public:
  explicit SnapshotLoader(Catalog& active) : active_(active) {}

  // Starts with the first chunk of a file. If the snapshot is not newer than the active version, this is no
  // error, and is_loading() is false.
  [[nodiscard]] std::optional<FileError> begin(const FileChunk& head);
  [[nodiscard]] std::optional<FileError> add_chunk(const FileChunk& chunk);
  enum class Step { kEntryAdded, kChunkNeeded, kAllEntriesAdded };
  [[nodiscard]] std::variant<Step, FileError> add_next_entry();
  // Prepares a part of the successor. Returns false when it is ready to be activated.
  bool prepare();
  void activate();
  void abandon() { verifier_.reset(); }
  // Frees part of the memory of the catalog that is not active. Returns false when nothing is left.
  bool release_memory();

  [[nodiscard]] bool is_loading() const { return verifier_ != nullptr; }
  [[nodiscard]] const SnapshotHeader& header() const { return header_; }
  // Bytes of the file that have been added; the next chunk starts there.
  [[nodiscard]] std::uint64_t offset() const { return offset_; }

 private:
  [[nodiscard]] static std::optional<FileError> check_frame(const FileChunk& head,
                                                            const store::ChecksumHeader& frame);
  [[nodiscard]] std::optional<FileError> check_header() const;
  [[nodiscard]] std::optional<FileError> check_end() const;

  Catalog& active_;
  std::unique_ptr<Catalog> successor_;  // after activate(): the replaced catalog
  std::unique_ptr<store::ChecksumVerifier> verifier_;
  SnapshotHeader header_;
  std::uint64_t file_id_ = 0;
  std::uint64_t file_size_ = 0;  // bytes
  std::uint64_t offset_ = 0;     // bytes
  std::uint64_t line_ = 0;       // number of the last line read, from 1
  std::string text_;             // added but not yet decoded, from text_offset_ on
  std::size_t text_offset_ = 0;
};

}  // namespace damsonspoke::catalog
