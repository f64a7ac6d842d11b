// An in-memory SQLite VFS that records each write, truncation and sync, so that a crash after any of them can
// be simulated: with all completed writes, or without those that were not synced.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace damsonspoke::testing {

struct DiskOperation {
  enum class Kind : std::uint8_t { kWrite, kTruncate, kSync, kDelete };

  Kind kind = Kind::kWrite;
  std::string file;
  std::uint64_t offset = 0;  // of a write; the size of a truncation
  std::string bytes;
};

using DiskState = std::map<std::string, std::string>;

class RecordingDisk {
 public:
  // Registers the VFS under this name until this object is destroyed.
  explicit RecordingDisk(const char* name);
  ~RecordingDisk();
  RecordingDisk(const RecordingDisk&) = delete;
  RecordingDisk& operator=(const RecordingDisk&) = delete;

  // Sets the content of the disk and clears the recorded operations.
  void begin_with(DiskState state);
  const std::vector<DiskOperation>& operations() const { return operations_; }

  // The state after the process was killed behind the first `count` operations. `is_torn`: only half of the
  // last write was done.
  static DiskState after_kill(const std::vector<DiskOperation>& operations, std::size_t count, bool is_torn);
  // The state after a power cut behind the first `count` operations: of the writes to a file after its last
  // sync, a random subset survives, some of them in part.
  static DiskState after_power_cut(const std::vector<DiskOperation>& operations, std::size_t count,
                                   std::uint64_t seed);

 private:
  struct File;
  static File* file(sqlite3_file* file) { return reinterpret_cast<File*>(file); }
  static int open(sqlite3_vfs* vfs, const char* name, sqlite3_file* out, int flags, int* out_flags);
  static int remove(sqlite3_vfs* vfs, const char* name, int sync_folder);
  static int access(sqlite3_vfs* vfs, const char* name, int flags, int* out);
  static int full_path(sqlite3_vfs* vfs, const char* name, int size, char* out);
  static int close(sqlite3_file* file);
  static int read(sqlite3_file* file, void* out, int count, sqlite3_int64 at);
  static int write(sqlite3_file* file, const void* bytes, int count, sqlite3_int64 at);
  static int truncate(sqlite3_file* file, sqlite3_int64 size);
  static int sync(sqlite3_file* file, int flags);
  static int size(sqlite3_file* file, sqlite3_int64* out);
  static int map_shared(sqlite3_file* file, int region, int bytes, int extend, void volatile** out);
  static void apply(DiskState& state, const DiskOperation& operation, std::size_t bytes);

  sqlite3_vfs vfs_{};
  DiskState state_;
  std::vector<DiskOperation> operations_;
  std::map<int, std::vector<char>> shared_;  // regions of the log's index, lost in a crash
};

}  // namespace damsonspoke::testing
