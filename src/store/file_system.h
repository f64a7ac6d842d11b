// One folder of small files, as far as it matters what survives of them. Behind it stands the machine's disk
// or, in tests, one that records what was written and loses what was not synced.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damsonspoke::store {

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Nothing where it is not there, can't be read, or holds more than `max_bytes` bytes.
  virtual std::optional<std::string> read(const std::string& name, std::size_t max_bytes) = 0;
  virtual bool exists(const std::string& name) = 0;
  // Each returns whether it could be done; what a crash leaves of it is told by the syncs.
  virtual bool write(const std::string& name, std::string_view bytes) = 0;  // new, whole
  virtual bool sync(const std::string& name) = 0;                           // its bytes
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool remove(const std::string& name) = 0;
  virtual bool sync_folder() = 0;  // names
  // Held until this goes; false where another process has it.
  virtual bool try_lock() = 0;
  virtual std::string last_error() const = 0;  // the last thing that could not be done, in plain words
};

std::unique_ptr<FileSystem> open_folder(const std::string& path);

}  // namespace damsonspoke::store
