// An in-memory FileSystem that records its operations, so that a crash after any of them can be simulated:
// unsynced bytes survive in part or not at all, and each unsynced change of a name survives or is lost,
// independently of the others.
#pragma once

#include <algorithm>
#include <cerrno>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "store/file_system.h"

namespace damsonspoke::testing {

class RecordingFolder : public store::FileSystem {
 public:
  enum class StepKind : std::uint8_t { kWrite, kSync, kRename, kRemove, kSyncFolder };
  struct Step {
    StepKind kind = StepKind::kWrite;
    std::string name;
    std::string new_name;  // of a rename
    std::string bytes;     // of a write
  };
  using Files = std::map<std::string, std::string>;

  RecordingFolder() = default;
  explicit RecordingFolder(Files files) : files_(std::move(files)) {}

  std::optional<std::string> read(const std::string& name, std::size_t max_bytes) override {
    const auto found = files_.find(name);
    if (found == files_.end() || found->second.size() > max_bytes) return std::nullopt;
    return found->second;
  }
  bool exists(const std::string& name) override { return files_.contains(name); }
  bool write(const std::string& name, std::string_view bytes) override {
    if (is_full) {
      files_[name] = std::string(bytes.substr(0, bytes.size() / 2));
      return false;
    }
    files_[name] = bytes;
    return record({StepKind::kWrite, name, {}, std::string(bytes)});
  }
  bool sync(const std::string& name) override { return record({StepKind::kSync, name, {}, {}}); }
  bool rename(const std::string& from, const std::string& to) override {
    if (!files_.contains(from)) return false;
    files_[to] = files_[from];
    files_.erase(from);
    return record({StepKind::kRename, from, to, {}});
  }
  bool remove(const std::string& name) override {
    files_.erase(name);
    return record({StepKind::kRemove, name, {}, {}});
  }
  bool sync_folder() override { return record({StepKind::kSyncFolder, {}, {}, {}}); }
  bool try_lock() override { return !is_locked_elsewhere; }
  store::FileError last_error() const override {
    if (is_locked_elsewhere) return {store::FileOperation::kLock, "folder", "lock", EWOULDBLOCK};
    return {store::FileOperation::kWrite, "folder", "file", ENOSPC};
  }

  const std::vector<Step>& steps() const { return steps_; }
  const Files& files() const { return files_; }

  bool is_full = false;
  bool is_locked_elsewhere = false;

  // Returns the files after the process was killed behind the first `count` steps. All completed steps
  // survive; of a write in the last step, only `last_write_bytes` were written.
  static Files after_kill(const std::vector<Step>& steps, std::size_t count, std::size_t last_write_bytes) {
    RecordingFolder folder;
    for (std::size_t i = 0; i < count; ++i) {
      const bool is_last = i + 1 == count;
      folder.replay(steps[i], is_last ? last_write_bytes : std::string::npos);
    }
    return folder.files_;
  }

  // Returns the files after a power cut behind the first `count` steps.
  static Files after_power_cut(const std::vector<Step>& steps, std::size_t count, std::uint64_t seed) {
    PowerCut power_cut(seed);
    for (std::size_t i = 0; i < count; ++i) power_cut.apply(steps[i]);
    return power_cut.surviving_files();
  }

 private:
  // Tracks the current and the durable content of files, and the current and the durable names.
  class PowerCut {
   public:
    explicit PowerCut(std::uint64_t seed) : random_(seed) {}

    void apply(const Step& step) {
      switch (step.kind) {
        case StepKind::kWrite: return write(step);
        case StepKind::kSync: {
          Inode& inode = inodes_[names_[step.name]];
          inode.durable = inode.bytes;
          return;
        }
        case StepKind::kRename:
          unsynced_.emplace_back(&step, names_[step.name]);
          names_[step.new_name] = names_[step.name];
          names_.erase(step.name);
          return;
        case StepKind::kRemove:
          unsynced_.emplace_back(&step, 0);
          names_.erase(step.name);
          return;
        case StepKind::kSyncFolder:
          durable_names_ = names_;
          unsynced_.clear();
          return;
      }
    }

    Files surviving_files() {
      for (const auto& [step, inode] : unsynced_) {
        if (random_() % 2 == 0) make_durable(*step, inode);
      }
      Files files;
      for (const auto& [name, number] : durable_names_) {
        const Inode& inode = inodes_[number];
        files[name] = inode.durable == inode.bytes
                          ? inode.bytes
                          : inode.bytes.substr(0, random_() % (inode.bytes.size() + 1));
      }
      return files;
    }

   private:
    struct Inode {
      std::string bytes;
      std::string durable;
    };

    void write(const Step& step) {
      if (!names_.contains(step.name)) {
        inodes_.emplace_back();
        names_[step.name] = inodes_.size() - 1;
        unsynced_.emplace_back(&step, inodes_.size() - 1);
      }
      Inode& inode = inodes_[names_[step.name]];
      inode.bytes = step.bytes;
      inode.durable.clear();  // truncating discards the old bytes
    }

    void make_durable(const Step& step, std::size_t inode) {
      if (step.kind == StepKind::kRemove) durable_names_.erase(step.name);
      if (step.kind == StepKind::kWrite) durable_names_[step.name] = inode;
      if (step.kind != StepKind::kRename) return;
      durable_names_[step.new_name] = inode;
      if (durable_names_.contains(step.name) && durable_names_[step.name] == inode)
        durable_names_.erase(step.name);
    }

    pcg32 random_;
    std::vector<Inode> inodes_;
    std::map<std::string, std::size_t> names_;
    std::map<std::string, std::size_t> durable_names_;
    std::vector<std::pair<const Step*, std::size_t>> unsynced_;  // changes of names, with their inodes
  };

  bool record(Step step) {
    steps_.push_back(std::move(step));
    return true;
  }
  void replay(const Step& step, std::size_t write_bytes) {
    switch (step.kind) {
      case StepKind::kWrite:
        files_[step.name] = step.bytes.substr(0, std::min(write_bytes, step.bytes.size()));
        break;
      case StepKind::kRename:
        files_[step.new_name] = files_[step.name];
        files_.erase(step.name);
        break;
      case StepKind::kRemove: files_.erase(step.name); break;
      default: break;
    }
  }

  Files files_;
  std::vector<Step> steps_;
};

}  // namespace damsonspoke::testing
