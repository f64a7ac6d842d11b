// One relay among its stand-ins: the program with its configuration and operators' file, its runtime, layer
// below, roster and callers, in one loop; and how it is started, killed, told to leave and started again.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "below.h"
#include "callers.h"
#include "journal.h"
#include "process.h"
#include "runtime.h"

namespace damsonspoke::standins {

struct OpTypeSpec {
  std::string name;
  std::string effect = "retryable";  // dedup: keyed, fragile: non-retryable
  double target = 1, timeout = 3;    // s
  double window = 0;                 // s
  double importance = 1;
};

struct SiteSpec {
  std::vector<OpTypeSpec> types;
  double fresh = 0;                     // s
  double cold_from = 1, cold_time = 0;  // s, as the settings tell
  int cores = 2;
  double memory_mb = 192;
  double stop_after = 2;  // s
  std::string operators;  // text of the operators' file; empty: none
  std::string log_level = "warning";
};

// A new folder under TMPDIR, gone with this.
class Folder {
 public:
  Folder();
  ~Folder();
  std::string path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

class Fleet {
 public:
  Fleet(std::string binary, SiteSpec spec, Runtime::Options runtime, Callers::Options callers);

  // False where it does not come up.
  bool start();
  void kill();
  // The notice to leave; true when it ended by itself in time.
  bool leave();
  // No new things are wanted; goes on until all tries have ended.
  bool settle(double patience);
  void write_operators(const std::string& text);
  std::string folder() const { return folder_.path("."); }
  std::string store_path() const { return folder_.path("results"); }
  std::string operators_path() const { return folder_.path("operator.conf"); }
  RuleLimits limits() const;

  Loop loop;
  Journal journal;
  Runtime runtime;
  Below below;
  Roster roster;
  Callers callers;
  std::unique_ptr<Process> process;

 private:
  void write_config();

  const std::string binary_;
  SiteSpec spec_;
  Folder folder_;
};

}  // namespace damsonspoke::standins
