// A checksummed file with a thread of its own: it is read once and then written whenever there is new
// content. The thread isolates its owner from a folder that hangs: the owner waits only for the first read,
// and for that no longer than it says.
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
  // Called on the thread, since opening a folder may hang too.
  using FileSystemFactory = std::function<std::unique_ptr<FileSystem>()>;

  // Starts the thread, which reads the file. `format_version`, `max_bytes`: as of ChecksummedFile.
  PersistedFile(FileSystemFactory make_file_system, std::string name, std::uint32_t format_version,
                std::size_t max_bytes);
  // Waits briefly for a pending write; see stop_worker_thread().
  ~PersistedFile();
  PersistedFile(const PersistedFile&) = delete;
  PersistedFile& operator=(const PersistedFile&) = delete;

  // What the file held at the start; nothing where it could not be read within `seconds`.
  std::optional<ChecksummedContent> read(double seconds);
  // Hands over content to be written. Content that is still pending is replaced.
  void write(std::string content);
  // The error of the latest write, once after each change; an empty text where writing works again. While it
  // fails, the file is as it was.
  std::optional<std::string> take_write_error();
  // Successful writes.
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::store
