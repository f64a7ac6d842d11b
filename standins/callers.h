// Simulated callers that retry. Each task takes one or more attempts, with or without an idempotency key; the
// journal records every attempt and answer. With several servers, the first attempt goes to any server that
// accepts work, and a retry to a different server than the last attempt if possible.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "journal.h"
#include "loop.h"

namespace damsonspoke::standins {

// The load on one route.
struct Flow {
  std::string type;
  double per_s = 10;     // new tasks per second, on average
  double timeout = 2;    // s until the deadline of an attempt
  bool has_key = false;  // attempts carry the task's key
  bool shared = false;   // reads of a few items, named by `item`
  int copies = 1;        // first attempts of a task, sent independently of each other
  double spread = 0.05;  // s in which the copies are sent
  int retries = 0;       // after a failure, a rejection or a lost connection
  double pause = 0.05;   // minimum s before a retry
  std::size_t body_bytes = 32;
  // For a load over many routes and tenants: the route and the tenant of an attempt, from a random number.
  std::function<std::string(std::uint64_t draw)> type_of = nullptr, tenant_of = nullptr;
};

// Many callers of one or more servers.
class Callers {
 public:
  struct Options {
    std::vector<Flow> flows;
    int connections = 8;  // to each server
    std::uint64_t seed = 1;
    std::string from = "127.0.0.1";     // local address of the connections
    unsigned caller_ids = 1;            // requests carry a random caller id from 1 to this
    double connect_timeout = 0;         // s; 0: the system's
    bool ignores_drain_notice = false;  // connections are used after a drain notice, too
  };
  // The load starts immediately. `loop` and `journal` outlive this.
  Callers(Loop& loop, Journal& journal, Options options);
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  ~Callers();

  // The server, numbered from 0, listens on this port now, as this incarnation in the journal.
  void set_server(std::uint16_t port, int server, int incarnation);
  // The server has ended: closes the connections to it.
  void disconnect_server(int server);
  // The registry no longer lists the server: no new attempts go to it; those in flight go on.
  void avoid(int server);
  // Whether new tasks start; the tasks that have started are retried in any case.
  void set_load_enabled(bool is_enabled);
  // Attempts without an answer.
  std::size_t attempts_in_flight() const { return attempts_in_flight_; }
  // Tasks with attempts in flight or to come.
  std::size_t unfinished_tasks() const { return unfinished_tasks_; }
  // Tasks started so far.
  std::uint64_t started_tasks() const { return started_tasks_; }
  // Connections made so far.
  std::uint64_t dialled() const { return dialled_; }

  // Sends one attempt without a task, on a new or any connection. Returns its request id; 0 if no server
  // accepts it.
  std::uint64_t send_request(const Flow& flow, const std::string& key, const std::string& body,
                             bool on_new_connection = false);
  std::function<void(const Attempt&)> on_answer;  // called for each answer
  // Open connections to a server.
  std::size_t connections(int server) const;
  // Opens a connection with a small receive buffer that is not read before that time, even if the server ends
  // earlier; -1 if the server does not listen.
  int open_late_reader(int server, double read_at);
  // Sends one attempt on such a connection. Returns its request id; 0 if the connection has ended.
  std::uint64_t send_request_on(int late_reader, const Flow& flow, const std::string& key,
                                const std::string& body);

 private:
  // A task of a caller, until its last attempt has ended.
  struct Task {
    std::size_t flow = 0;
    std::string key, body;
    int retries = 0;
    bool has_final_answer = false;
    int attempts = 0;      // in flight or scheduled
    int last_server = -1;  // of the last attempt
  };
  struct Server {
    std::uint16_t port = 0;  // 0: the server is down
    int incarnation = 0;
    bool is_avoided = false;
  };
  struct Link {
    int server = 0;
    std::string in;
    std::map<std::uint64_t, std::uint64_t> in_flight, answered;  // request number to request id
    bool is_draining = false;                                    // a drain notice was received on it
    bool reads_late = false;
  };
  std::uint64_t send_on(int fd, const Flow& flow, const std::string& key, const std::string& body);
  // The request's JSON text without its frame; `received_at` in seconds of the Unix clock. Sets `type` to the
  // route that it names.
  std::string request_text(std::uint64_t request, std::uint64_t number, const Flow& flow,
                           const std::string& key, const std::string& body, double received_at,
                           std::string& type);
  void schedule_next_task(std::size_t flow);
  void begin_task(std::size_t flow);
  void attempt(std::uint64_t task);
  std::uint64_t send_to(int server, const Flow& flow, const std::string& key, const std::string& body,
                        bool on_new_link);
  // A server that accepts work, if possible not the last one; -1 if there is none.
  int choose_server(int last);
  // The descriptor of a connection with capacity for a request; -1 if the server does not listen.
  int link_to(int server, bool is_new);
  // Connects; -1 if the server does not listen.
  int dial(int server, int receive_bytes);
  void read(int fd);
  void take_message(Link& link, const std::string& text);
  // Records a second answer to the same request number, which violates rule 1.
  void record_second_answer(const Link& link, std::uint64_t number);
  // Ends an attempt and schedules a retry unless it was answered finally.
  void end_attempt(std::uint64_t request, bool is_final, double retry_after);
  void drop(int fd);
  // Uniformly random in [0, 1).
  double draw();

  Loop& loop_;
  Journal& journal_;
  Options options_;
  pcg64 random_;
  std::vector<Server> servers_;
  std::map<int, Link> links_;                               // by descriptor
  std::map<std::uint64_t, Task> tasks_;                     // by number
  std::map<std::uint64_t, std::uint64_t> task_by_request_;  // by request id
  std::uint64_t next_request_ = 1, next_number_ = 1, started_tasks_ = 0, dialled_ = 0;
  std::size_t attempts_in_flight_ = 0, unfinished_tasks_ = 0;
  bool is_load_enabled_ = true;
};

}  // namespace damsonspoke::standins
