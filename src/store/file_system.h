// The operations on one folder of small files that decide what survives a crash. The program uses the
// machine's file system; tests use one that records each operation and loses what was not synced.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damsonspoke::store {

enum class FileOperation : std::uint8_t { kNone, kRead, kWrite, kSync, kRename, kRemove, kCreateLock, kLock };

// An operation that failed.
struct FileError {
  FileOperation operation = FileOperation::kNone;
  std::string folder;    // path of the folder
  std::string name;      // of the file within it; empty: the folder itself
  int error_number = 0;  // errno
};
// One line for a log or an operator; empty where there was no error.
std::string text_of(const FileError& error);

// A folder of files, each named without a path. Operations report success; last_error() holds the reason of a
// failure. Nothing is durable before sync() (a file's bytes) and sync_folder() (its name).
class FileSystem {
 public:
  FileSystem() = default;
  virtual ~FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;

  // The whole content; nothing where the file is missing, unreadable or longer than `max_bytes`.
  virtual std::optional<std::string> read(const std::string& name, std::size_t max_bytes) = 0;
  virtual bool exists(const std::string& name) = 0;
  // Creates or truncates the file and writes all bytes.
  virtual bool write(const std::string& name, std::string_view bytes) = 0;
  virtual bool sync(const std::string& name) = 0;
  // Replaces `to` atomically.
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  // True also where the file does not exist.
  virtual bool remove(const std::string& name) = 0;
  virtual bool sync_folder() = 0;
  // Takes the folder's lock, which is held until this object is destroyed; false where another process holds
  // it.
  virtual bool try_lock() = 0;
  virtual FileError last_error() const = 0;
};

// The folder at `path` on the machine's file system. Nothing is opened before the first operation.
std::unique_ptr<FileSystem> open_folder(const std::string& path);

}  // namespace damsonspoke::store
