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

FileChunk read_piece(const std::string& path, std::uint64_t offset, std::size_t most) {
  FileChunk piece;
  // Not held up by what is no file: a pipe without a writer would be waited for.
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0) {
    if (errno != ENOENT) piece.why = fmt::format("cannot read '{}': {}", path, std::strerror(errno));
    return piece;
  }
  struct stat status {};
  if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
    piece.why = fmt::format("'{}' is no file", path);
    ::close(fd);
    return piece;
  }
  piece.file = static_cast<std::uint64_t>(status.st_ino);
  piece.size = static_cast<std::uint64_t>(status.st_size);
  const std::uint64_t left = piece.size > offset ? piece.size - offset : 0;
  piece.bytes.resize(static_cast<std::size_t>(std::min<std::uint64_t>(left, most)));
  std::size_t have = 0;
  while (have < piece.bytes.size()) {
    const ssize_t got =
        ::pread(fd, piece.bytes.data() + have, piece.bytes.size() - have, static_cast<off_t>(offset + have));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) piece.why = fmt::format("cannot read '{}': {}", path, std::strerror(errno));
    if (got <= 0) break;
    have += static_cast<std::size_t>(got);
  }
  piece.bytes.resize(have);
  piece.there = piece.why.empty();
  ::close(fd);
  return piece;
}

}  // namespace

void FolderSource::request(const std::string& name, std::uint64_t offset, std::size_t most) {
  piece_ = read_piece(folder_ + "/" + name, offset, most);
}

}  // namespace damsonspoke::catalog
