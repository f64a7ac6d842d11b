// Callers that want things done, and ask again: each thing is wanted a few times, with or without a mark, and
// every try and answer goes to the journal. Where several servers serve, a first try goes to any that takes
// work, a further one to another than the last where there is one.
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
  double per_s = 10;     // things wanted
  double patience = 2;   // s, told with each try
  bool marked = false;   // tries carry the key
  bool shared = false;   // reads of few subjects, named by `item`
  int copies = 1;        // tries of a thing that are sent whatever comes of the others
  double spread = 0.05;  // s within which they are
  int retries = 0;       // further tries after a failure, a refusal or a lost connection
  double pause = 0.05;   // s before those, at least
  std::size_t body_bytes = 32;
  // Of a load over many routes and tenants: what a try is sent as, by a number drawn for it.
  std::function<std::string(std::uint64_t draw)> type_of = nullptr, tenant_of = nullptr;
};

class Callers {
 public:
  struct Options {
    std::vector<Flow> flows;
    int connections = 8;  // to each server
    std::uint64_t seed = 1;
    std::string from = "127.0.0.1";  // where they connect from
    unsigned hotels = 1;             // whose requests they pass on, as callers' numbers from 1
    double connect_patience = 0;     // s, after which a connection counts as refused; 0: the system's
    bool ignores_no_more = false;    // connections that were asked for no more are used until they end
  };
  Callers(Loop& loop, Journal& journal, Options options);
  ~Callers();

  // A server listens there now; its life's number in the journal.
  void reach(std::uint16_t port, int server, int life);
  void cut_off(int server);                   // it has gone: connections end
  void avoid(int server);                     // the list says that it takes no work; what is open goes on
  void want_more(bool more);                  // new things; what was wanted is still tried
  std::size_t open() const { return owed_; }  // tries without an answer
  std::size_t still_wanted() const { return wanted_; }
  std::uint64_t things() const { return things_; }
  std::uint64_t dialled() const { return dialled_; }  // connections made

  // One try on its own, for tests; returns its request.
  std::uint64_t ask(const Flow& flow, const std::string& key, const std::string& body,
                    bool on_its_own = false);
  std::function<void(const Try&)> on_answer;
  std::size_t connections(int server) const;
  // A connection with a small buffer of which nothing is read before that time, also when its server has gone
  // by then; -1: none is made.
  int open_late_reader(int server, double read_at);
  // On such a connection; 0: it has ended.
  std::uint64_t ask_on(int late_reader, const Flow& flow, const std::string& key, const std::string& body);

 private:
  struct Thing {
    std::size_t flow = 0;
    std::string key, body;
    int retries = 0;
    bool over = false;
    int out = 0;     // tries in hand or to come
    int tried = -1;  // the server of the last try
  };
  struct Server {
    std::uint16_t port = 0;  // 0: none listens
    int life = 0;
    bool avoided = false;
  };
  struct Link {
    int server = 0;
    std::string in;
    std::map<std::uint64_t, std::uint64_t> open, answered;  // number to request
    bool no_more = false;
    bool reads_late = false;
  };
  std::uint64_t send_on(int fd, const Flow& flow, const std::string& key, const std::string& body);
  void next_thing(std::size_t flow);
  void ask_for(std::uint64_t thing);
  std::uint64_t send_try(const Flow& flow, const std::string& key, const std::string& body, int server,
                         bool own_link);
  int choose(int last);  // a server that takes work; -1: none does
  int link(int server, bool own);
  void read(int fd);
  void take(Link& link, const std::string& text);
  void over(std::uint64_t request, bool good, double come_back);
  void drop(int fd);
  double chance();

  Loop& loop_;
  Journal& journal_;
  Options options_;
  pcg64 random_;
  std::vector<Server> servers_;
  std::map<int, Link> links_;
  std::map<std::uint64_t, Thing> all_;               // by number
  std::map<std::uint64_t, std::uint64_t> thing_of_;  // by request
  std::uint64_t next_request_ = 1, next_number_ = 1, things_ = 0, dialled_ = 0;
  std::size_t owed_ = 0, wanted_ = 0;
  bool more_ = true;
};

}  // namespace damsonspoke::standins
