// Servers of the program among their stand-ins: each with its configuration and operators' file, its runtime,
// layer below and roster; and how they are started, killed, told to leave and started again. A Fleet is one
// of them with its callers, in one loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "below.h"
#include "callers.h"
#include "journal.h"
#include "process.h"
#include "runtime.h"

namespace damsonspoke::standins {

struct RouteSpec {
  std::string name;
  std::string idempotency = "retryable";  // dedup: keyed, fragile: non-retryable
  double target = 1, timeout = 3;         // s
  double window = 0;                      // s
  double priority_weight = 1;
};

struct SiteSpec {
  std::vector<RouteSpec> types;
  double fresh = 0;                                     // s
  double slow_start_speed = 1, slow_start_seconds = 0;  // s, as the settings tell
  int cores = 2;
  double memory_mb = 192;
  double stop_after = 2;          // s
  std::string operators;          // text of the operators' file; empty: none
  std::string command = "serve";  // or plan, forward
  std::string name = "n1";
  std::uint16_t port = 0;          // that it listens on; 0: as it comes
  int sockets = 512;               // descriptors that it may have
  bool roster_down = false;        // nobody listens to its reports
  std::vector<std::string> under;  // words before the program's own: a program that starts it
  std::string log_level = "info";
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

// One server. It shares loop, journal and callers with others, by its number.
// A port that stays ours between two lives: below those that the system gives to whoever connects meanwhile.
std::uint16_t lasting_port();

class Server {
 public:
  Server(Loop& loop, Journal& journal, Callers& callers, std::string binary, SiteSpec spec,
         Runtime::Options runtime, int number = 0);

  // False where it does not come up.
  bool start();
  void kill();
  // The notice to leave, then the end; true when it ended by itself in time.
  bool leave();
  void notice();                                   // to leave; the list says so at once
  std::uint16_t port() const { return listens_; }  // of its present life
  bool ended();                                    // after the notice; waits up to its stop
  void write_operators(const std::string& text);
  // Its runtime listens at another address, and its configuration says so from now on.
  void move_runtime();
  std::string folder() const { return folder_.path("."); }
  std::string store_path() const { return folder_.path("results"); }
  std::string operators_path() const { return folder_.path("operator.conf"); }
  // Of a planner, the same in all its lives.
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  int life_number() const { return life_; }  // in the journal
  // Where others reach it, or it reaches others, through something between them; told what and its port.
  std::function<std::uint16_t(const char* what, std::uint16_t port)> way;

  Runtime runtime;
  Below below;
  Roster roster;
  std::unique_ptr<Process> process;
  std::function<void(pid_t)> on_spawned;            // each time, before it listens
  std::function<void(const std::string&)> on_line;  // each line of its log, in all its lives

 private:
  std::uint16_t by_way(const char* what, std::uint16_t port) const { return way ? way(what, port) : port; }
  void write_config();
  Life& life();

  Loop& loop_;
  Journal& journal_;
  Callers& callers_;
  const std::string binary_;
  SiteSpec spec_;
  const int number_;
  int life_ = -1;
  std::uint16_t port_ = 0;  // 0: the system picks one each time
  std::uint16_t listens_ = 0;
  Folder folder_;
};

class Fleet {
 public:
  Fleet(std::string binary, SiteSpec spec, Runtime::Options runtime, Callers::Options callers);

  bool start() { return server.start(); }
  void kill() { server.kill(); }
  bool leave() { return server.leave(); }
  // No new things are wanted; goes on until all tries have ended.
  bool settle(double patience);
  void write_operators(const std::string& text) { server.write_operators(text); }
  std::string folder() const { return server.folder(); }
  std::string store_path() const { return server.store_path(); }
  std::string operators_path() const { return server.operators_path(); }
  RuleLimits limits() const { return limits_of(spec_); }
  static RuleLimits limits_of(const SiteSpec& spec);

 private:
  const SiteSpec spec_;

 public:
  Loop loop;
  Journal journal;
  Callers callers;
  Server server;
  Runtime& runtime = server.runtime;
  std::unique_ptr<Process>& process = server.process;
};

}  // namespace damsonspoke::standins
