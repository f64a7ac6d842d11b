// Callers that want things done, and ask again: each thing takes one or more attempts, with or without an
// idempotency key, and every attempt and answer goes to the journal. Where several servers serve, a first
// attempt goes to any that takes work, a further one to another than the last where there is one.
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

// One route as callers send it.
struct Flow {
  std::string type;
  double per_s = 10;     // things that begin to be wanted, on average
  double timeout = 2;    // s that an attempt waits for its answer
  bool has_key = false;  // attempts carry the thing's key
  bool shared = false;   // reads of few subjects, named by `item`
  int copies = 1;        // attempts at a thing that are sent whatever comes of the others
  double spread = 0.05;  // s within which they are
  int retries = 0;       // further attempts after a failure, a rejection or a lost connection
  double pause = 0.05;   // s before those, at least
  std::size_t body_bytes = 32;
  // Of a load over many routes and tenants: what an attempt is sent as, by a number drawn for it.
  std::function<std::string(std::uint64_t draw)> type_of = nullptr, tenant_of = nullptr;
};

// Many callers of one or more servers.
class Callers {
 public:
  struct Options {
    std::vector<Flow> flows;
    int connections = 8;  // to each server
    std::uint64_t seed = 1;
    std::string from = "127.0.0.1";     // where they connect from
    unsigned caller_ids = 1;            // whose requests they pass on, as callers' numbers from 1
    double connect_timeout = 0;         // s, after which a connection counts as refused; 0: the system's
    bool ignores_drain_notice = false;  // connections with a drain notice are used until they end
  };
  // Things begin to be wanted at once. `loop` and `journal` outlive this.
  Callers(Loop& loop, Journal& journal, Options options);
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  ~Callers();

  // A server listens on this port now, in this life of the journal; servers are counted from 0.
  void set_server(std::uint16_t port, int server, int incarnation);
  // The server has gone: connections to it end.
  void disconnect_server(int server);
  // The registry says that the server takes no work; what is open goes on.
  void avoid(int server);
  // Whether new things are wanted; there are attempts at those that were in any case.
  void set_load_enabled(bool more);
  // Attempts without an answer.
  std::size_t attempts_in_flight() const { return attempts_in_flight_; }
  // Things that are not over.
  std::size_t unfinished_tasks() const { return unfinished_tasks_; }
  // That were ever wanted.
  std::uint64_t started_tasks() const { return started_tasks_; }
  // Connections made so far.
  std::uint64_t dialled() const { return dialled_; }

  // One attempt on its own, for tests, on a new connection or any; its request, or 0 where no server takes
  // it.
  std::uint64_t send_request(const Flow& flow, const std::string& key, const std::string& body,
                             bool on_new_connection = false);
  std::function<void(const Attempt&)> on_answer;  // called once an attempt is answered
  // That are open to a server.
  std::size_t connections(int server) const;
  // Opens a connection with a small buffer of which nothing is read before that time, also when its server
  // has gone by then; -1 where none is made.
  int open_late_reader(int server, double read_at);
  // One attempt on such a connection; its request, or 0 where it has ended.
  std::uint64_t send_request_on(int late_reader, const Flow& flow, const std::string& key,
                                const std::string& body);

 private:
  // What a caller wants, until nothing more is attempted for it.
  struct Task {
    std::size_t flow = 0;
    std::string key, body;
    int retries = 0;
    bool has_final_answer = false;
    int attempts = 0;      // in flight or to come
    int last_server = -1;  // of the last attempt
  };
  struct Server {
    std::uint16_t port = 0;  // 0: none listens
    int incarnation = 0;
    bool is_avoided = false;
  };
  struct Link {
    int server = 0;
    std::string in;
    std::map<std::uint64_t, std::uint64_t> in_flight, answered;  // number to request
    bool is_draining = false;                                    // it was asked to send no more here
    bool reads_late = false;
  };
  std::uint64_t send_on(int fd, const Flow& flow, const std::string& key, const std::string& body);
  // The request's text on the wire, without its frame; `received_at` in s of the Unix clock. Sets the type
  // that it is sent as.
  std::string request_text(std::uint64_t request, std::uint64_t number, const Flow& flow,
                           const std::string& key, const std::string& body, double received_at,
                           std::string& type);
  void schedule_next_task(std::size_t flow);
  void begin_task(std::size_t flow);
  void attempt(std::uint64_t task);
  std::uint64_t send_to(int server, const Flow& flow, const std::string& key, const std::string& body,
                        bool on_new_link);
  // A server that takes work, another than the last one where there is one; -1 where none does.
  int choose_server(int last);
  // The descriptor of a link with space for a request; -1 where none is made.
  int link_to(int server, bool is_new);
  // Connects; -1 where the server does not listen.
  int dial(int server, int receive_bytes);
  void read(int fd);
  void take_message(Link& link, const std::string& text);
  // A second answer under one number breaks a rule: the journal has to know.
  void record_second_answer(const Link& link, std::uint64_t number);
  // An attempt is over; a further one follows where nothing final came of it.
  void end_attempt(std::uint64_t request, bool is_final, double retry_after);
  void drop(int fd);
  // Evenly drawn from [0, 1).
  double draw();

  Loop& loop_;
  Journal& journal_;
  Options options_;
  pcg64 random_;
  std::vector<Server> servers_;
  std::map<int, Link> links_;                               // by descriptor
  std::map<std::uint64_t, Task> tasks_;                     // by number
  std::map<std::uint64_t, std::uint64_t> task_by_request_;  // by request
  std::uint64_t next_request_ = 1, next_number_ = 1, started_tasks_ = 0, dialled_ = 0;
  std::size_t attempts_in_flight_ = 0, unfinished_tasks_ = 0;
  bool is_load_enabled_ = true;
};

}  // namespace damsonspoke::standins
