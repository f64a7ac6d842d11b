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

FileChunk read_chunk(const std::string& path, std::uint64_t offset, std::size_t most) {
  FileChunk chunk;
  // Not held up by what is no file: a pipe without a writer would be waited for.
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) {
    if (errno != ENOENT) chunk.error = fmt::format("cannot read '{}': {}", path, std::strerror(errno));
    return chunk;
  }
  struct stat status {};
  if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
    chunk.error = fmt::format("'{}' is no file", path);
    ::close(fd);
    return chunk;
  }
  chunk.file_id = static_cast<std::uint64_t>(status.st_ino);
  chunk.file_size = static_cast<std::uint64_t>(status.st_size);
  const std::uint64_t left = chunk.file_size > offset ? chunk.file_size - offset : 0;
  chunk.bytes.resize(static_cast<std::size_t>(std::min<std::uint64_t>(left, most)));
  std::size_t have = 0;
  while (have < chunk.bytes.size()) {
    const ssize_t got =
        ::pread(fd, chunk.bytes.data() + have, chunk.bytes.size() - have, static_cast<off_t>(offset + have));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) chunk.error = fmt::format("cannot read '{}': {}", path, std::strerror(errno));
    if (got <= 0) break;
    have += static_cast<std::size_t>(got);
  }
  chunk.bytes.resize(have);
  chunk.exists = chunk.error.empty();
  ::close(fd);
  return chunk;
}

}  // namespace

void FolderSource::request(const std::string& name, std::uint64_t offset, std::size_t most) {
  chunk_ = read_chunk(folder_ + "/" + name, offset, most);
}

}  // namespace damsonspoke::catalog
