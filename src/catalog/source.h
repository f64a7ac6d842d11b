// Where the catalog's files are read from, chunk by chunk. What waits for a file does so without blocking.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace damsonspoke::catalog {

struct FileChunk {
  bool exists = false;          // there is such a file, and it could be read
  std::string error;            // else why not; empty: there is no such file
  std::uint64_t file_id = 0;    // changes when another file takes its name
  std::uint64_t file_size = 0;  // bytes of the whole file
  std::string bytes;            // fewer than asked for where the file ends
};

class Source {
 public:
  virtual ~Source() = default;
  // Asks for at most `most` bytes from `offset` on. One request at a time.
  virtual void request(const std::string& name, std::uint64_t offset, std::size_t most) = 0;
  // What was asked for; nothing as long as it has not come.
  virtual std::optional<FileChunk> take() = 0;
};

// Reads from a folder at once, on the caller's thread.
class FolderSource final : public Source {
 public:
  explicit FolderSource(std::string folder) : folder_(std::move(folder)) {}
  void request(const std::string& name, std::uint64_t offset, std::size_t most) override;
  std::optional<FileChunk> take() override { return std::move(chunk_); }

 private:
  const std::string folder_;
  std::optional<FileChunk> chunk_;
};

}  // namespace damsonspoke::catalog
