#include "store/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace damsonspoke::store {
namespace {

class Fd {
 public:
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  int get() const { return fd_; }
  bool good() const { return fd_ >= 0; }

 private:
  int fd_;
};

class FolderFileSystem : public FileSystem {
 public:
  explicit FolderFileSystem(std::string path) : path_(std::move(path)) {}
  ~FolderFileSystem() override {
    if (lock_ >= 0) ::close(lock_);
  }

  std::optional<std::string> read(const std::string& name, std::size_t max_bytes) override {
    const Fd file(::open(at(name).c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    struct stat status {};
    if (!file.good() || ::fstat(file.get(), &status) != 0) return failed("read", name), std::nullopt;
    if (!S_ISREG(status.st_mode) || static_cast<std::size_t>(status.st_size) > max_bytes)
      return errno = EFBIG, failed("read", name), std::nullopt;
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t have = 0;
    while (have < bytes.size()) {
      const ssize_t got = ::read(file.get(), bytes.data() + have, bytes.size() - have);
      if (got < 0 && errno == EINTR) continue;
      if (got <= 0) break;
      have += static_cast<std::size_t>(got);
    }
    bytes.resize(have);
    return bytes;
  }
  bool exists(const std::string& name) override { return ::access(at(name).c_str(), F_OK) == 0; }
  bool write(const std::string& name, std::string_view bytes) override {
    const Fd file(::open(at(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (!file.good()) return failed("write", name);
    while (!bytes.empty()) {
      const ssize_t wrote = ::write(file.get(), bytes.data(), bytes.size());
      if (wrote < 0 && errno == EINTR) continue;
      if (wrote <= 0) return failed("write", name);
      bytes.remove_prefix(static_cast<std::size_t>(wrote));
    }
    return true;
  }
  bool sync(const std::string& name) override {
    const Fd file(::open(at(name).c_str(), O_RDONLY | O_CLOEXEC));
    return (file.good() && ::fsync(file.get()) == 0) || failed("sync", name);
  }
  bool rename(const std::string& from, const std::string& to) override {
    return ::rename(at(from).c_str(), at(to).c_str()) == 0 || failed("rename", from);
  }
  bool remove(const std::string& name) override {
    return ::unlink(at(name).c_str()) == 0 || errno == ENOENT || failed("remove", name);
  }
  bool sync_folder() override {
    const Fd folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return (folder.good() && ::fsync(folder.get()) == 0) || failed("sync", "the folder");
  }
  bool try_lock() override {
    if (lock_ >= 0) return true;
    const int fd = ::open(at("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0) return failed("make", "lock");
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
      ::close(fd);
      why_ = path_ + ": another process has it";
      return false;
    }
    lock_ = fd;
    return true;
  }
  std::string last_error() const override { return why_; }

 private:
  std::string at(const std::string& name) const { return path_ + "/" + name; }
  bool failed(const char* doing, const std::string& name) {
    why_ = path_ + ": cannot " + doing + " " + name + ": " + std::strerror(errno);
    return false;
  }

  const std::string path_;
  std::string why_;
  int lock_ = -1;
};

}  // namespace

std::unique_ptr<FileSystem> open_folder(const std::string& path) {
  return std::make_unique<FolderFileSystem>(path);
}

}  // namespace damsonspoke::store
