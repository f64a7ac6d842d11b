// A folder of files in memory that records what is done to it, so that a crash behind any step can be played:
// bytes that were not synced are there in part or not at all, names that were not synced moved or not, in any
// order.
#pragma once

#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "store/file_system.h"

namespace damsonspoke::testing {

class RecordingFolder : public store::FileSystem {
 public:
  struct Step {
    enum class What { kWrite, kSync, kRename, kRemove, kSyncFolder } what = What::kWrite;
    std::string name, other;  // of a rename: from, to
    std::string bytes;
  };
  using Files = std::map<std::string, std::string>;

  RecordingFolder() = default;
  explicit RecordingFolder(Files files) : files_(std::move(files)) {}

  std::optional<std::string> read(const std::string& name, std::size_t most) override {
    const auto found = files_.find(name);
    if (found == files_.end() || found->second.size() > most) return std::nullopt;
    return found->second;
  }
  bool exists(const std::string& name) override { return files_.contains(name); }
  bool write(const std::string& name, std::string_view bytes) override {
    if (full) {  // as much as fits
      files_[name] = std::string(bytes.substr(0, bytes.size() / 2));
      return false;
    }
    return files_[name] = bytes, done({Step::What::kWrite, name, {}, std::string(bytes)});
  }
  bool sync(const std::string& name) override { return done({Step::What::kSync, name, {}, {}}); }
  bool rename(const std::string& from, const std::string& to) override {
    if (!files_.contains(from)) return false;
    files_[to] = files_[from];
    files_.erase(from);
    return done({Step::What::kRename, from, to, {}});
  }
  bool remove(const std::string& name) override {
    return files_.erase(name), done({Step::What::kRemove, name, {}, {}});
  }
  bool sync_folder() override { return done({Step::What::kSyncFolder, {}, {}, {}}); }
  bool try_lock() override { return !locked_elsewhere; }
  std::string last_error() const override { return locked_elsewhere ? "another process has it" : "it is full"; }

  const std::vector<Step>& steps() const { return steps_; }
  const Files& files() const { return files_; }
  bool full = false, locked_elsewhere = false;

  // After a crash behind so many steps: killed (the machine goes on), or the power was cut.
  static Files after_kill(const std::vector<Step>& steps, std::size_t count, std::size_t torn_to) {
    RecordingFolder folder;
    for (std::size_t i = 0; i < count; ++i) {
      const bool last = i + 1 == count;
      folder.play(steps[i], last ? torn_to : std::string::npos);
    }
    return folder.files_;
  }
  static Files after_power_cut(const std::vector<Step>& steps, std::size_t count, std::uint64_t seed) {
    pcg32 random(seed);
    struct Inode {
      std::string bytes, durable;
    };
    std::vector<Inode> inodes;
    std::map<std::string, std::size_t> names, durable_names;
    std::vector<std::pair<const Step*, std::size_t>> moves;  // of names, since the last sync of the folder
    for (std::size_t i = 0; i < count; ++i) {
      const Step& s = steps[i];
      switch (s.what) {
        case Step::What::kWrite:
          if (!names.contains(s.name)) {
            inodes.emplace_back();
            names[s.name] = inodes.size() - 1;
            moves.emplace_back(&s, inodes.size() - 1);
          }
          inodes[names[s.name]].bytes = s.bytes;
          inodes[names[s.name]].durable.clear();  // truncated: the old bytes are no longer sure
          break;
        case Step::What::kSync: inodes[names[s.name]].durable = inodes[names[s.name]].bytes; break;
        case Step::What::kRename:
          moves.emplace_back(&s, names[s.name]);
          names[s.other] = names[s.name];
          names.erase(s.name);
          break;
        case Step::What::kRemove:
          moves.emplace_back(&s, 0);
          names.erase(s.name);
          break;
        case Step::What::kSyncFolder:
          durable_names = names;
          moves.clear();
          break;
      }
    }
    for (const auto& [step, inode] : moves) {
      if (random() % 2) continue;  // it did not reach the disk
      if (step->what == Step::What::kRemove) durable_names.erase(step->name);
      if (step->what == Step::What::kWrite) durable_names[step->name] = inode;
      if (step->what == Step::What::kRename) {
        durable_names[step->other] = inode;
        if (durable_names.contains(step->name) && durable_names[step->name] == inode)
          durable_names.erase(step->name);
      }
    }
    Files files;
    for (const auto& [name, inode] : durable_names) {
      const Inode& node = inodes[inode];
      const bool safe = node.durable == node.bytes;
      files[name] = safe ? node.bytes : node.bytes.substr(0, random() % (node.bytes.size() + 1));
    }
    return files;
  }

 private:
  bool done(Step step) { return steps_.push_back(std::move(step)), true; }
  void play(const Step& s, std::size_t torn_to) {
    switch (s.what) {
      case Step::What::kWrite: files_[s.name] = s.bytes.substr(0, std::min(torn_to, s.bytes.size())); break;
      case Step::What::kRename:
        files_[s.other] = files_[s.name];
        files_.erase(s.name);
        break;
      case Step::What::kRemove: files_.erase(s.name); break;
      default: break;
    }
  }

  Files files_;
  std::vector<Step> steps_;
};

}  // namespace damsonspoke::testing
