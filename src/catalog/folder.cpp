#include "catalog/folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>

#include "catalog/line_reader.h"
#include "store/checksummed_file.h"
#include "store/file_system.h"

namespace damsonspoke::catalog {
namespace {

constexpr double kUnlimitedSeconds = 1e9;  // tools read everything in one step
constexpr std::uint64_t kToolHashKey =
    1;  // no protection against hash collisions is needed, since operators write the files
constexpr std::size_t kMaxPartBytes = kMaxBatchBytes - kMaxLineBytes;  // leaves space for the header

[[noreturn]] void throw_errno(const std::string& action, const std::string& path) {
  throw CatalogFileError(fmt::format("cannot {} '{}': {}", action, path, std::strerror(errno)));
}

// Splits the lines of `text` into parts that each fit into a batch.
std::vector<std::string> split_into_batches(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t begin = 0; begin < text.size();) {
    std::size_t end = std::min(text.size(), begin + kMaxPartBytes);
    if (end < text.size()) end = text.rfind('\n', end - 1) + 1;
    parts.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return parts;
}

// Truncates the file at `offset`, writes there in one call and syncs, so that a crash leaves complete batches
// followed by at most one torn batch.
void write_at(const std::string& path, std::uint64_t offset, const std::string& bytes) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) throw_errno("write", path);
  const auto position = static_cast<off_t>(offset);
  const bool is_written =
      ::ftruncate(fd, position) == 0 &&
      ::pwrite(fd, bytes.data(), bytes.size(), position) == static_cast<ssize_t>(bytes.size()) &&
      ::fsync(fd) == 0;
  const int error = errno;
  ::close(fd);
  errno = error;
  if (!is_written) throw_errno("write", path);
}

}  // namespace

LoadedFolder load_folder(const std::string& folder, const CatalogLimits& limits) {
  LoadedFolder loaded;
  loaded.catalog = std::make_unique<Catalog>(limits, kToolHashKey);
  FolderSource source(folder);
  Follower follower(*loaded.catalog, source, [] { return 0.0; });
  follower.poll();
  while (follower.step(kUnlimitedSeconds) != Follower::State::kIdle) continue;
  loaded.rejected_changes.assign(follower.rejected_changes().begin(), follower.rejected_changes().end());
  loaded.messages = follower.take_messages();
  loaded.changes_bytes = follower.changes_offset();
  return loaded;
}

std::string read_lines(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw_errno("read", path);
  std::string lines;
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    if (line.empty()) continue;
    try {
      decode_change(line);
    } catch (const CodecError& error) {
      throw CatalogFileError(fmt::format("{}:{}: {}", path, number, error.what()));
    }
    lines += line + "\n";
  }
  return lines;
}

void write_snapshot(const std::string& folder, Version version, HistoryDigest history,
                    const std::string& lines) {
  SnapshotHeader header{version, history, 0, 0};
  std::size_t offset = 0;
  while (const std::optional<std::string_view> line = next_line(lines, offset)) {
    const Change entry = decode_change(*line);
    if (std::holds_alternative<PutRoute>(entry)) ++header.routes;
    if (std::holds_alternative<PutTenant>(entry)) ++header.tenants;
  }
  const std::unique_ptr<store::FileSystem> disk = store::open_folder(folder);
  store::ChecksummedFile file(*disk, kSnapshotFile, kSnapshotFormat, kMaxSnapshotBytes);
  if (!file.write(encode_header(header) + lines)) throw CatalogFileError(text_of(disk->last_error()));
}

std::string encode_entries(const Catalog& catalog) {
  std::vector<std::string> lines;
  const NameIndex& routes = catalog.route_names();
  routes.visit(0, routes.cells(), [&](std::string_view name, int position) {
    lines.push_back(encode_change(PutRoute{std::string(name), catalog.route(position)}));
  });
  const NameIndex& tenants = catalog.tenant_names();
  tenants.visit(0, tenants.cells(), [&](std::string_view name, int position) {
    lines.push_back(encode_change(PutTenant{std::string(name), catalog.tenant(position)}));
  });
  std::sort(lines.begin(), lines.end());
  std::string text;
  for (const std::string& line : lines) text += line;
  return text;
}

Version append_changes(const std::string& folder, std::uint64_t epoch, const std::string& lines,
                       const CatalogLimits& limits) {
  const LoadedFolder loaded = load_folder(folder, limits);
  for (const RejectedChange& rejected : loaded.rejected_changes) {
    // A rejected single change keeps its sequence number, so that changes can be appended after it.
    const bool is_single_change = rejected.version != Version{};
    if (!is_single_change) throw CatalogFileError(fmt::format("{}: {}", rejected.what, rejected.reason));
  }
  Version version = loaded.catalog->version();
  if (epoch < version.epoch)
    throw CatalogFileError(fmt::format("epoch {} is lower than the active epoch {}", epoch, version.epoch));
  HistoryDigest history = loaded.catalog->history();
  std::string batches;
  for (const std::string& part : split_into_batches(lines)) {
    batches += encode_batch(epoch, version.sequence + 1, history, part);
    const auto changes = static_cast<std::uint64_t>(std::count(part.begin(), part.end(), '\n'));
    version = {epoch, version.sequence + changes};
  }
  write_at(folder + "/" + kChangesFile, loaded.changes_bytes, batches);
  return version;
}

}  // namespace damsonspoke::catalog
