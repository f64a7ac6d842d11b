#include "catalog/folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>

#include "store/checksummed_file.h"
#include "store/file_system.h"

namespace damsonspoke::catalog {
namespace {

constexpr double kNoEnd = 1e9;  // s; a tool waits until all is read

[[noreturn]] void fail(const std::string& doing, const std::string& path) {
  throw CatalogFileError(fmt::format("cannot {} '{}': {}", doing, path, std::strerror(errno)));
}

// The lines of `text` in batches that fit into a span each.
std::vector<std::string> split_into_batches(const std::string& text) {
  constexpr std::size_t kMost = kMaxBatchBytes - kMaxLineBytes;
  std::vector<std::string> batches;
  for (std::size_t from = 0; from < text.size();) {
    std::size_t end = std::min(text.size(), from + kMost);
    if (end < text.size()) end = text.rfind('\n', end - 1) + 1;
    batches.push_back(text.substr(from, end - from));
    from = end;
  }
  return batches;
}

// One write behind `offset`, then synced: a crash leaves whole spans, and at most one torn one at the end.
void append_at(const std::string& path, std::uint64_t offset, const std::string& bytes) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) fail("write", path);
  const bool good = ::ftruncate(fd, static_cast<off_t>(offset)) == 0 &&
                    ::pwrite(fd, bytes.data(), bytes.size(), static_cast<off_t>(offset)) ==
                        static_cast<ssize_t>(bytes.size()) &&
                    ::fsync(fd) == 0;
  const int error = errno;
  ::close(fd);
  errno = error;
  if (!good) fail("write", path);
}

}  // namespace

LoadedFolder load_folder(const std::string& folder, const CatalogLimits& limits) {
  LoadedFolder loaded;
  loaded.catalog = std::make_unique<Catalog>(limits, 1);
  FolderSource source(folder);
  Follower follower(*loaded.catalog, source, [] { return 0.0; });
  follower.poll();
  while (follower.step(kNoEnd) != Follower::State::kIdle) continue;
  loaded.rejected_changes.assign(follower.rejected_changes().begin(), follower.rejected_changes().end());
  loaded.messages = follower.take_messages();
  loaded.changes_bytes = follower.changes_offset();
  return loaded;
}

std::string read_lines(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) fail("read", path);
  std::string lines, line;
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
  for (std::size_t from = 0; from < lines.size(); from = lines.find('\n', from) + 1) {
    const Change change = decode_change(std::string_view(lines).substr(from, lines.find('\n', from) - from));
    if (std::holds_alternative<PutRoute>(change)) ++header.routes;
    if (std::holds_alternative<PutTenant>(change)) ++header.tenants;
  }
  const std::unique_ptr<store::FileSystem> disk = store::open_folder(folder);
  store::ChecksummedFile file(*disk, kSnapshotFile, kSnapshotFormat, kMaxSnapshotBytes);
  if (!file.write(encode_header(header) + lines)) throw CatalogFileError(disk->why());
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
  std::string out;
  for (const std::string& line : lines) out += line;
  return out;
}

Version append_changes(const std::string& folder, std::uint64_t epoch, const std::string& lines,
                       const CatalogLimits& limits) {
  const LoadedFolder loaded = load_folder(folder, limits);
  for (const RejectedChange& rejected : loaded.rejected_changes) {
    const bool entry = rejected.version != Version{};  // a change that was refused alone keeps its number
    if (!entry) throw CatalogFileError(fmt::format("{}: {}", rejected.what, rejected.reason));
  }
  Version version = loaded.catalog->version();
  if (epoch < version.epoch)
    throw CatalogFileError(fmt::format("epoch {} is lower than {}, in force", epoch, version.epoch));
  HistoryDigest history = loaded.catalog->history();
  std::string batches;
  for (const std::string& batch : split_into_batches(lines)) {
    batches += encode_batch(epoch, version.sequence + 1, history, batch);
    version = {epoch,
               version.sequence + static_cast<std::uint64_t>(std::count(batch.begin(), batch.end(), '\n'))};
  }
  append_at(folder + "/" + kChangesFile, loaded.changes_bytes, batches);
  return version;
}

}  // namespace damsonspoke::catalog
