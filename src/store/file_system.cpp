#include "store/file_system.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace damsonspoke::store {
namespace {

constexpr mode_t kFileMode = 0644;

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  int get() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }

 private:
  int fd_;
};

const char* verb_of(FileOperation operation) {
  switch (operation) {
    case FileOperation::kNone: return "";
    case FileOperation::kRead: return "read";
    case FileOperation::kWrite: return "write";
    case FileOperation::kSync: return "sync";
    case FileOperation::kRename: return "rename";
    case FileOperation::kRemove: return "remove";
    case FileOperation::kCreateLock: return "create";
    case FileOperation::kLock: return "lock";
  }
  return "";
}

// Reads up to the end of the file, which may have shrunk since its size was determined.
std::string read_all(const FileDescriptor& file, std::size_t size) {
  std::string bytes(size, '\0');
  std::size_t received = 0;
  while (received < bytes.size()) {
    const ssize_t count = ::read(file.get(), bytes.data() + received, bytes.size() - received);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    received += static_cast<std::size_t>(count);
  }
  bytes.resize(received);
  return bytes;
}

class FolderFileSystem : public FileSystem {
 public:
  explicit FolderFileSystem(std::string path) : path_(std::move(path)) {}

  std::optional<std::string> read(const std::string& name, std::size_t max_bytes) override {
    // Without O_NONBLOCK, opening a named pipe would block.
    const FileDescriptor file(::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    struct stat status {};
    if (!file.is_open() || ::fstat(file.get(), &status) != 0) {
      set_error(FileOperation::kRead, name, errno);
      return std::nullopt;
    }
    if (!S_ISREG(status.st_mode) || std::cmp_greater(status.st_size, max_bytes)) {
      set_error(FileOperation::kRead, name, EFBIG);
      return std::nullopt;
    }
    return read_all(file, static_cast<std::size_t>(status.st_size));
  }

  bool exists(const std::string& name) override { return ::access(path_of(name).c_str(), F_OK) == 0; }

  bool write(const std::string& name, std::string_view bytes) override {
    const FileDescriptor file(
        ::open(path_of(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (!file.is_open()) return fail(FileOperation::kWrite, name);
    while (!bytes.empty()) {
      const ssize_t count = ::write(file.get(), bytes.data(), bytes.size());
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return fail(FileOperation::kWrite, name);
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  bool sync(const std::string& name) override {
    const FileDescriptor file(::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC));
    return (file.is_open() && ::fsync(file.get()) == 0) || fail(FileOperation::kSync, name);
  }

  bool rename(const std::string& from, const std::string& to) override {
    return ::rename(path_of(from).c_str(), path_of(to).c_str()) == 0 || fail(FileOperation::kRename, from);
  }

  bool remove(const std::string& name) override {
    return ::unlink(path_of(name).c_str()) == 0 || errno == ENOENT || fail(FileOperation::kRemove, name);
  }

  bool sync_folder() override {
    const FileDescriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return (folder.is_open() && ::fsync(folder.get()) == 0) || fail(FileOperation::kSync, "");
  }

  bool try_lock() override {
    if (lock_.is_open()) return true;
    FileDescriptor lock(::open(path_of("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
    if (!lock.is_open()) return fail(FileOperation::kCreateLock, "lock");
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) return fail(FileOperation::kLock, "lock");
    lock_ = std::move(lock);
    return true;
  }

  FileError last_error() const override { return last_error_; }

 private:
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }
  void set_error(FileOperation operation, const std::string& name, int error_number) {
    last_error_ = {operation, path_, name, error_number};
  }
  bool fail(FileOperation operation, const std::string& name) {
    set_error(operation, name, errno);
    return false;
  }

  const std::string path_;
  FileError last_error_;
  FileDescriptor lock_{-1};
};

}  // namespace

std::string text_of(const FileError& error) {
  if (error.operation == FileOperation::kNone) return {};
  if (error.operation == FileOperation::kLock) return error.folder + ": locked by another process";
  return fmt::format("{}: cannot {} {}: {}", error.folder, verb_of(error.operation),
                     error.name.empty() ? "the folder" : error.name, std::strerror(error.error_number));
}

std::unique_ptr<FileSystem> open_folder(const std::string& path) {
  return std::make_unique<FolderFileSystem>(path);
}

}  // namespace damsonspoke::store
