// A checksummed file with its own worker thread: the file is read once and then written whenever there is new
// content. The thread isolates its owner from file operations that hang: the owner waits only for the first
// read, and only up to the time limit that it passes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "store/checksummed_file.h"

namespace damsonspoke::store {

class PersistedFile {
 public:
  // Called on the worker thread: opening a folder may also hang.
  using FileSystemFactory = std::function<std::unique_ptr<FileSystem>()>;

  // Starts the thread, which reads the file. `format_version`, `max_bytes`: see ChecksummedFile.
  PersistedFile(FileSystemFactory make_file_system, std::string name, std::uint32_t format_version,
                std::size_t max_bytes);
  // Waits briefly for a pending write; see stop_worker_thread().
  ~PersistedFile();
  PersistedFile(const PersistedFile&) = delete;
  PersistedFile& operator=(const PersistedFile&) = delete;

  // Returns the initial content of the file; nullopt if it could not be read within `seconds`.
  std::optional<ChecksummedContent> read(double seconds);
  // Queues content to be written. Replaces content that is still queued.
  void write(std::string content);
  // Returns the error of the latest write, once after each change; an empty string if writing succeeds again.
  // While writes fail, the earlier content remains stored.
  std::optional<std::string> take_write_error();
  // The number of successful writes.
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::store
