// The file operations on a folder of small files. The program uses the file system of the machine. Tests use
// an implementation that records each operation and simulates the loss of unsynced data in a crash.
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
// The error as one line for a log or an operator; empty if there was no error.
std::string text_of(const FileError& error);

// A folder of files, which are named without a path. Operations return whether they succeeded; last_error()
// gives the reason of a failure. The bytes of a file are durable only after sync(), its name only after
// sync_folder().
class FileSystem {
 public:
  FileSystem() = default;
  virtual ~FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;

  // Returns the entire content; nullopt if the file is missing, unreadable or longer than `max_bytes`.
  virtual std::optional<std::string> read(const std::string& name, std::size_t max_bytes) = 0;
  virtual bool exists(const std::string& name) = 0;
  // Creates or truncates the file and writes all bytes.
  virtual bool write(const std::string& name, std::string_view bytes) = 0;
  virtual bool sync(const std::string& name) = 0;
  // Replaces `to` atomically.
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  // Returns true also if the file does not exist.
  virtual bool remove(const std::string& name) = 0;
  virtual bool sync_folder() = 0;
  // Acquires the folder's lock, which is held until this object is destroyed. Returns false if another
  // process holds it.
  virtual bool try_lock() = 0;
  virtual FileError last_error() const = 0;
};

// Returns the folder at `path` on the machine's file system. Opens no file before the first operation.
std::unique_ptr<FileSystem> open_folder(const std::string& path);

}  // namespace damsonspoke::store
