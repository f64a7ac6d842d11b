// Reads the catalog's files in chunks, without blocking the follower.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace damsonspoke::catalog {

struct FileChunk {
  bool exists = false;          // the file exists and could be read
  std::string error;            // why it could not be read; empty if there is no such file
  std::uint64_t file_id = 0;    // changes if the file is replaced
  std::uint64_t file_size = 0;  // bytes
  std::string bytes;            // shorter than requested at the end of the file
};

class Source {
 public:
  Source() = default;
  Source(const Source&) = delete;
  Source& operator=(const Source&) = delete;
  virtual ~Source() = default;
  // Requests at most `max_bytes` of a file from `offset` on. Only one request may be pending.
  virtual void request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) = 0;
  // Returns the requested chunk once; nothing before it has been read.
  virtual std::optional<FileChunk> take() = 0;
};

// Reads files of a folder synchronously in request().
class FolderSource final : public Source {
 public:
  explicit FolderSource(std::string folder) : folder_(std::move(folder)) {}
  void request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) override;
  std::optional<FileChunk> take() override { return std::exchange(chunk_, std::nullopt); }

 private:
  const std::string folder_;
  std::optional<FileChunk> chunk_;
};

}  // namespace damsonspoke::catalog
