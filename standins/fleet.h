// Starts, kills, shuts down and restarts servers of the program. Each server has its own configuration,
// operators' file, runtime, dependency and registry. A Fleet is one server with its callers, in one loop.
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
  std::string idempotency = "retryable";  // dedup: with a key, fragile: non-retryable
  double target = 1, timeout = 3;         // s
  double window = 0;                      // s
  double priority_weight = 1;
};

// The settings of a server and its command line.
struct SiteSpec {
  std::vector<RouteSpec> types;
  double fresh = 0;                                     // s in which equal reads share an answer
  double slow_start_speed = 1, slow_start_seconds = 0;  // s; values of the settings
  int cores = 2;
  double memory_mb = 192;
  double stop_after = 2;          // s after the shutdown notice
  std::string operators;          // text of the operators' file; empty: none
  std::string command = "serve";  // serve, plan or forward
  std::string name = "n1";
  std::uint16_t port = 0;                   // listening port; 0: chosen by the system
  int sockets = 512;                        // limit of descriptors
  bool registry_is_down = false;            // its reports go to a port without a listener
  std::vector<std::string> command_prefix;  // a program, with arguments, that executes the server
  std::string log_level = "info";
};

// A new folder under TMPDIR that is deleted on destruction. Throws std::runtime_error if it can't be created.
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

// A port that stays free while its server restarts, because it is below the range that the system assigns to
// outgoing connections. Throws std::runtime_error if none is free.
std::uint16_t non_ephemeral_port();

// One server. Several servers share loop, journal and callers, which outlive them; callers know a server by
// its number.
class Server {
 public:
  Server(Loop& loop, Journal& journal, Callers& callers, std::string binary, SiteSpec spec,
         Runtime::Options runtime, int number = 0);

  // Starts a process and waits until it listens; false if it does not.
  bool start();
  // Sends SIGKILL and waits for the end. If the process has already ended, the journal records that it ended
  // by itself.
  void kill();
  // Shuts it down gracefully; false if it does not end in time.
  bool shut_down();
  // Sends SIGTERM without waiting for the end.
  void send_shutdown_notice();
  // The port on which the current process listens.
  std::uint16_t port() const { return listening_port_; }
  // Waits for the end after the shutdown notice; false if it is over 1 s late.
  bool wait_for_end();
  // Replaces the operators' file; STORE and FOLDER in the text are replaced by the server's own paths.
  void write_operators(const std::string& text);
  // Moves the runtime to another port and writes that into the configuration, which the server reads on its
  // next reload.
  void move_runtime();
  std::string folder() const { return folder_.path("."); }
  std::string store_path() const { return folder_.path("results"); }
  std::string operators_path() const { return folder_.path("operator.conf"); }
  // The address of a planner, which restarts keep.
  std::string address() const { return fmt::format("127.0.0.1:{}", port_); }
  // The index of the current process in the journal.
  int incarnation_number() const { return incarnation_; }

  // If set, returns the port of a proxy for a port: `what` is "callers" for connections to this server,
  // "below" for its connections to the dependency.
  std::function<std::uint16_t(const char* what, std::uint16_t port)> proxy_port;

  Runtime runtime;
  Dependency dependency;
  Registry registry;
  std::unique_ptr<Process> process;
  std::function<void(pid_t)> on_spawned;                // at each start, before it listens
  std::function<void(const std::string&)> on_log_line;  // for each line of its log, over all restarts

 private:
  std::uint16_t proxied_port(const char* what, std::uint16_t port) const {
    return proxy_port ? proxy_port(what, port) : port;
  }
  void write_config();
  Incarnation& incarnation();
  // Records that the current process ended without being killed.
  void record_exit();
  void disconnect_callers();

  Loop& loop_;
  Journal& journal_;
  Callers& callers_;
  const std::string binary_;
  SiteSpec spec_;
  const int number_;
  int incarnation_ = -1;
  std::uint16_t port_ = 0;  // 0: the system chooses one at each start
  std::uint16_t listening_port_ = 0;
  TemporaryFolder folder_;
};

// One server and its callers, with their own loop and journal.
class Fleet {
 public:
  Fleet(std::string binary, SiteSpec spec, Runtime::Options runtime, Callers::Options callers);

  bool start() { return server.start(); }
  void kill() { server.kill(); }
  bool shut_down() { return server.shut_down(); }
  // Stops the load and waits until all attempts have ended; false on a timeout.
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
