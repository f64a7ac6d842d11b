#include "recording_disk.h"

#include <algorithm>
#include <cstring>

namespace damsonspoke::testing {

struct RecordingDisk::File {
  sqlite3_file base;
  RecordingDisk* disk;
  char name[256];
};

RecordingDisk::RecordingDisk(const char* name) {
  const sqlite3_vfs* default_vfs = sqlite3_vfs_find(nullptr);
  vfs_ = *default_vfs;
  vfs_.iVersion = 1;
  vfs_.szOsFile = sizeof(File);
  vfs_.zName = name;
  vfs_.pNext = nullptr;
  vfs_.pAppData = this;
  vfs_.xOpen = open;
  vfs_.xDelete = remove;
  vfs_.xAccess = access;
  vfs_.xFullPathname = full_path;
  sqlite3_vfs_register(&vfs_, 0);
}
RecordingDisk::~RecordingDisk() { sqlite3_vfs_unregister(&vfs_); }

void RecordingDisk::begin_with(DiskState state) {
  state_ = std::move(state);
  operations_.clear();
  shared_.clear();
}

int RecordingDisk::open(sqlite3_vfs* vfs, const char* name, sqlite3_file* out, int flags, int* out_flags) {
  static const sqlite3_io_methods kMethods = [] {
    sqlite3_io_methods m{};
    m.iVersion = 2;
    m.xClose = close;
    m.xRead = read;
    m.xWrite = write;
    m.xTruncate = truncate;
    m.xSync = sync;
    m.xFileSize = size;
    m.xLock = [](sqlite3_file*, int) { return SQLITE_OK; };
    m.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
    m.xCheckReservedLock = [](sqlite3_file*, int* is_reserved) {
      *is_reserved = 0;
      return SQLITE_OK;
    };
    m.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
    m.xSectorSize = [](sqlite3_file*) { return 512; };
    m.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
    m.xShmMap = map_shared;
    m.xShmLock = [](sqlite3_file*, int, int, int) { return SQLITE_OK; };
    m.xShmBarrier = [](sqlite3_file*) {};
    m.xShmUnmap = [](sqlite3_file*, int) { return SQLITE_OK; };
    return m;
  }();
  File* f = file(out);
  f->base.pMethods = &kMethods;
  f->disk = static_cast<RecordingDisk*>(vfs->pAppData);
  std::strncpy(f->name, name ? name : "(temporary)", sizeof f->name - 1);
  f->name[sizeof f->name - 1] = '\0';
  f->disk->state_[f->name];
  if (out_flags) *out_flags = flags;
  return SQLITE_OK;
}

int RecordingDisk::remove(sqlite3_vfs* vfs, const char* name, int) {
  auto* disk = static_cast<RecordingDisk*>(vfs->pAppData);
  disk->state_.erase(name);
  disk->operations_.push_back({DiskOperation::Kind::kDelete, name, 0, {}});
  return SQLITE_OK;
}
int RecordingDisk::access(sqlite3_vfs* vfs, const char* name, int, int* out) {
  *out = static_cast<RecordingDisk*>(vfs->pAppData)->state_.contains(name);
  return SQLITE_OK;
}
int RecordingDisk::full_path(sqlite3_vfs*, const char* name, int size, char* out) {
  std::strncpy(out, name, static_cast<std::size_t>(size) - 1);
  out[size - 1] = '\0';
  return SQLITE_OK;
}
int RecordingDisk::close(sqlite3_file*) { return SQLITE_OK; }

int RecordingDisk::read(sqlite3_file* f, void* out, int count, sqlite3_int64 at) {
  const std::string& bytes = file(f)->disk->state_[file(f)->name];
  const auto from = static_cast<std::size_t>(at);
  const auto wanted = static_cast<std::size_t>(count);
  const std::size_t got = from < bytes.size() ? std::min(wanted, bytes.size() - from) : 0;
  if (got > 0) std::memcpy(out, bytes.data() + from, got);
  std::memset(static_cast<char*>(out) + got, 0, wanted - got);
  return got == wanted ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
}

void RecordingDisk::apply(DiskState& state, const DiskOperation& operation, std::size_t bytes) {
  switch (operation.kind) {
    case DiskOperation::Kind::kWrite: {
      std::string& content = state[operation.file];
      if (content.size() < operation.offset + bytes) content.resize(operation.offset + bytes, '\0');
      content.replace(operation.offset, bytes, operation.bytes, 0, bytes);
      return;
    }
    case DiskOperation::Kind::kTruncate: state[operation.file].resize(operation.offset); return;
    case DiskOperation::Kind::kSync: state[operation.file]; return;
    case DiskOperation::Kind::kDelete: state.erase(operation.file); return;
  }
}

int RecordingDisk::write(sqlite3_file* f, const void* bytes, int count, sqlite3_int64 at) {
  RecordingDisk* disk = file(f)->disk;
  DiskOperation operation{DiskOperation::Kind::kWrite, file(f)->name, static_cast<std::uint64_t>(at),
                          std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(count))};
  apply(disk->state_, operation, operation.bytes.size());
  disk->operations_.push_back(std::move(operation));
  return SQLITE_OK;
}
int RecordingDisk::truncate(sqlite3_file* f, sqlite3_int64 size) {
  RecordingDisk* disk = file(f)->disk;
  disk->operations_.push_back(
      {DiskOperation::Kind::kTruncate, file(f)->name, static_cast<std::uint64_t>(size), {}});
  apply(disk->state_, disk->operations_.back(), 0);
  return SQLITE_OK;
}
int RecordingDisk::sync(sqlite3_file* f, int) {
  file(f)->disk->operations_.push_back({DiskOperation::Kind::kSync, file(f)->name, 0, {}});
  return SQLITE_OK;
}
int RecordingDisk::size(sqlite3_file* f, sqlite3_int64* out) {
  *out = static_cast<sqlite3_int64>(file(f)->disk->state_[file(f)->name].size());
  return SQLITE_OK;
}
int RecordingDisk::map_shared(sqlite3_file* f, int region, int bytes, int extend, void volatile** out) {
  auto& regions = file(f)->disk->shared_;
  if (!regions.contains(region) && extend == 0) {
    *out = nullptr;
    return SQLITE_OK;
  }
  std::vector<char>& memory = regions[region];
  if (memory.empty()) memory.resize(static_cast<std::size_t>(bytes));
  *out = memory.data();
  return SQLITE_OK;
}

DiskState RecordingDisk::after_kill(const std::vector<DiskOperation>& operations, std::size_t count,
                                    bool is_torn) {
  DiskState state;
  for (std::size_t i = 0; i < count; ++i) {
    const bool is_last = i + 1 == count;
    apply(state, operations[i],
          is_torn && is_last ? operations[i].bytes.size() / 2 : operations[i].bytes.size());
  }
  return state;
}

DiskState RecordingDisk::after_power_cut(const std::vector<DiskOperation>& operations, std::size_t count,
                                         std::uint64_t seed) {
  std::map<std::string, std::size_t> synced;  // operations before this index are durable
  for (std::size_t i = 0; i < count; ++i) {
    if (operations[i].kind == DiskOperation::Kind::kSync) synced[operations[i].file] = i;
  }
  pcg32 random(seed);
  const unsigned surviving_quarters = random() % 4;  // share of the unsynced operations that survive
  DiskState state;
  for (std::size_t i = 0; i < count; ++i) {
    const DiskOperation& operation = operations[i];
    const auto found = synced.find(operation.file);
    const bool is_durable =
        (found != synced.end() && i <= found->second) || operation.kind == DiskOperation::Kind::kDelete;
    if (!is_durable && random() % 4 >= surviving_quarters) continue;
    const bool is_torn = !is_durable && random() % 4 == 0;
    apply(state, operation, is_torn ? random() % (operation.bytes.size() + 1) : operation.bytes.size());
  }
  return state;
}

}  // namespace damsonspoke::testing
