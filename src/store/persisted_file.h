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
  using MakeDisk = std::function<std::unique_ptr<FileSystem>()>;
  // `form`, `most`: as of SealedFile.
  PersistedFile(MakeDisk make_disk, std::string name, std::uint32_t form, std::size_t most);
  ~PersistedFile();  // what waits to be written gets 0.2 s
  PersistedFile(const PersistedFile&) = delete;
  PersistedFile& operator=(const PersistedFile&) = delete;

  // What is there; nothing where it could not be read within `seconds`.
  std::optional<ChecksummedContent> read(double seconds);
  void write(std::string content);
  // Why the last writing failed, once; the one before is still there.
  std::optional<std::string> take_trouble();
  std::uint64_t written() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::thread thread_;
};

}  // namespace damsonspoke::store
