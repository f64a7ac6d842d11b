// One sealed file with a thread of its own: read once, then written as often as there is something new, the
// newest wins. Guards against a folder that hangs: whoever holds this waits for nothing but the first
// reading, and for that no longer than he says.
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
  using FileSystemFactory = std::function<std::unique_ptr<FileSystem>()>;
  // `format_version`, `max_bytes`: as of SealedFile.
  PersistedFile(FileSystemFactory make_file_system, std::string name, std::uint32_t format_version,
                std::size_t max_bytes);
  ~PersistedFile();  // what waits to be written gets 0.2 s
  PersistedFile(const PersistedFile&) = delete;
  PersistedFile& operator=(const PersistedFile&) = delete;

  // What is there; nothing where it could not be read within `seconds`.
  std::optional<ChecksummedContent> read(double seconds);
  void write(std::string content);
  // Why the last writing failed, once; the one before is still there.
  std::optional<std::string> take_write_error();
  std::uint64_t write_count() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::store
