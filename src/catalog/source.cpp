#include "catalog/source.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace damsonspoke::catalog {
namespace {

std::string describe_errno(const std::string& path) {
  return fmt::format("cannot read '{}': {}", path, std::strerror(errno));
}

// Fills `chunk.bytes`, and shortens it if the file ends earlier.
void read_bytes(int fd, const std::string& path, std::uint64_t offset, FileChunk& chunk) {
  std::size_t length = 0;
  while (length < chunk.bytes.size()) {
    const ssize_t result = ::pread(fd, chunk.bytes.data() + length, chunk.bytes.size() - length,
                                   static_cast<off_t>(offset + length));
    if (result < 0 && errno == EINTR) continue;
    if (result < 0) chunk.error = describe_errno(path);
    if (result <= 0) break;
    length += static_cast<std::size_t>(result);
  }
  chunk.bytes.resize(length);
}

FileChunk read_chunk(const std::string& path, std::uint64_t offset, std::size_t max_bytes) {
  FileChunk chunk;
  // Non-blocking, because opening a pipe without a writer would block.
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) {
    if (errno != ENOENT) chunk.error = describe_errno(path);
    return chunk;
  }
  struct stat status {};
  if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
    chunk.error = fmt::format("'{}' is not a regular file", path);
    ::close(fd);
    return chunk;
  }
  chunk.file_id = static_cast<std::uint64_t>(status.st_ino);
  chunk.file_size = static_cast<std::uint64_t>(status.st_size);
  const std::uint64_t available = chunk.file_size > offset ? chunk.file_size - offset : 0;
  chunk.bytes.resize(static_cast<std::size_t>(std::min<std::uint64_t>(available, max_bytes)));
  read_bytes(fd, path, offset, chunk);
  chunk.exists = chunk.error.empty();
  ::close(fd);
  return chunk;
}

}  // namespace

void FolderSource::request(const std::string& name, std::uint64_t offset, std::size_t max_bytes) {
  chunk_ = read_chunk(folder_ + "/" + name, offset, max_bytes);
}

}  // namespace damsonspoke::catalog
