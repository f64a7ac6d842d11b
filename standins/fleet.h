// Servers of the program among their stand-ins: each with its configuration and operators' file, its runtime,
// dependency and registry; and how they are started, killed, shut down gracefully and started again. A Fleet
// is one of them with its callers, in one loop.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "callers.h"
#include "dependency.h"
#include "journal.h"
#include "process.h"
#include "runtime.h"

namespace damsonspoke::standins {

// A route in the settings of a server.
struct RouteSpec {
  std::string name;
  std::string idempotency = "retryable";  // dedup: keyed, fragile: non-retryable
  double target = 1, timeout = 3;         // s
  double window = 0;                      // s
  double priority_weight = 1;
};

// The settings of a server, and how it is started.
struct SiteSpec {
  std::vector<RouteSpec> types;
  double fresh = 0;                                     // s that reads may share an answer
  double slow_start_speed = 1, slow_start_seconds = 0;  // s, as the settings tell
  int cores = 2;
  double memory_mb = 192;
  double stop_after = 2;          // s after the notice to leave
  std::string operators;          // text of the operators' file; empty: none
  std::string command = "serve";  // or plan, forward
  std::string name = "n1";
  std::uint16_t port = 0;                   // that it listens on; 0: as it comes
  int sockets = 512;                        // descriptors that it may have
  bool registry_is_down = false;            // nobody listens to its reports
  std::vector<std::string> command_prefix;  // words before the program's own: a program that starts it
  std::string log_level = "info";
};

// A new folder under TMPDIR, deleted with this. Throws std::runtime_error where it can't be made.
class TemporaryFolder {
 public:
  TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();
  std::string path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// A port that stays free for its server between two lives: below those that the system gives to whoever
// connects meanwhile. Throws std::runtime_error where none is found.
std::uint16_t non_ephemeral_port();

// One server. It shares loop, journal and callers with others, by its number; these outlive it.
class Server {
 public:
  Server(Loop& loop, Journal& journal, Callers& callers, std::string binary, SiteSpec spec,
         Runtime::Options runtime, int number = 0);

  // Begins a new life and waits until it listens; false where it does not.
  bool start();
  // Sends SIGKILL and waits for the end. Where the process had ended before, the journal has that as its own
  // end.
  void kill();
  // Shuts it down gracefully; true where it ended by itself in time.
  bool shut_down();
  // Sends the notice to leave, and does not wait.
  void send_shutdown_notice();
  // That its present life listens on.
  std::uint16_t port() const { return listening_port_; }
  // Waits for its end after the notice; false where it has not ended 1 s after it should have.
  bool wait_for_end();
  // Replaces the operators' file; STORE and FOLDER in the text stand for the server's own.
  void write_operators(const std::string& text);
  // Moves the runtime to another address and writes that into the configuration, which the server reads
  // later.
  void move_runtime();
  std::string folder() const { return folder_.path("."); }
  std::string store_path() const { return folder_.path("results"); }
  std::string operators_path() const { return folder_.path("operator.conf"); }
  // Of a planner, the same in all its lives.
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }
  // Of its present life, in the journal.
  int incarnation_number() const { return incarnation_; }

  // Gives the port by which others reach it, or it reaches others, where something stands between them:
  // "callers" or "below", and the port behind it.
  std::function<std::uint16_t(const char* what, std::uint16_t port)> proxy_port;

  Runtime runtime;
  Dependency dependency;
  Registry registry;
  std::unique_ptr<Process> process;
  std::function<void(pid_t)> on_spawned;                // each time, before it listens
  std::function<void(const std::string&)> on_log_line;  // each line of its log, in all its lives

 private:
  std::uint16_t proxied_port(const char* what, std::uint16_t port) const {
    return proxy_port ? proxy_port(what, port) : port;
  }
  void write_config();
  Incarnation& incarnation();
  // The present life has ended by itself.
  void record_exit();
  void disconnect_callers();

  Loop& loop_;
  Journal& journal_;
  Callers& callers_;
  const std::string binary_;
  SiteSpec spec_;
  const int number_;
  int incarnation_ = -1;
  std::uint16_t port_ = 0;  // 0: the system picks one each time
  std::uint16_t listening_port_ = 0;
  TemporaryFolder folder_;
};

// One server with its callers, in a loop and with a journal of their own.
class Fleet {
 public:
  Fleet(std::string binary, SiteSpec spec, Runtime::Options runtime, Callers::Options callers);

  bool start() { return server.start(); }
  void kill() { server.kill(); }
  bool shut_down() { return server.shut_down(); }
  // Wants nothing new and runs until all attempts have ended; false where they have not in so many seconds.
  bool settle(double timeout_seconds);
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
