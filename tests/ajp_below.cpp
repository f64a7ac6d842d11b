// Calls below by AJP against a scripted server on a bare socket: what each end of a call proves, and what a
// server may not do. CTest compares with tests/traces/ajp_below.txt. usage: ajp_below
#include <fmt/format.h>

#include <csignal>
#include <map>
#include <string>

#include "ajp_server.h"
#include "loop.h"
#include "peers/ajp/dependency_client.h"
#include "stepped_reactor.h"

using namespace damsonspoke;
namespace bare = damsonspoke::standins::bare;
using standins::now;

namespace {

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return "ok";
    case Outcome::kRejected: return "turned away, never ran";
    case Outcome::kUnreachable: return "never reached, never ran";
    case Outcome::kTimeout: return "patience over, may have run";
    case Outcome::kReset: return "broken, may have run";
    case Outcome::kError: return "failed, may have run";
    default: return "something else";
  }
}

using bare::head, bare::piece;
const std::string kEnd = bare::end(), kLastEnd = bare::end(false);

struct Play : peers::DependencyEvents {
  explicit Play(std::size_t links = 4) : server(loop), log(Level::kError) {
    AjpOptions options;
    options.packet = 8192;
    options.dependency = fmt::format("127.0.0.1:{}", server.port);
    options.dependency_path = "/call";
    options.dependency_refusal_is_proof = true;
    dependency =
        std::make_unique<peers::AjpDependencyClient>(stepped.reactor, options, links, *this, counters, log);
  }
  void on_call_ended(RequestId id, Outcome outcome, double, std::string_view reply) override {
    ends[id] =
        fmt::format("{}{}", name_of(outcome), reply.empty() ? "" : fmt::format(", {} bytes", reply.size()));
  }
  ~Play() override { stepped.end(); }
  void run_for(double seconds) {
    stepped.run_for([&] { loop.run_for(seconds); });
  }
  // One call, to its end or for so long; how it ended and when.
  std::string call(RequestId id, double patience = 0.4, const std::string& body = "body") {
    const double began = now();
    dependency->call(id, patience, body);
    for (int i = 0; i < 200 && !ends.contains(id); ++i) run_for(0.01);
    if (!ends.contains(id)) return "no end";
    return fmt::format("{}, {}", ends[id], now() - began < patience * 0.9 ? "at once" : "in its time");
  }
  SteppedReactor stepped;
  standins::Loop loop;  // the server's, on this thread
  standins::AjpServer server;
  Counters counters;
  Logger log;
  std::map<RequestId, std::string> ends;
  std::unique_ptr<peers::AjpDependencyClient> dependency;
};

void one(const char* what, const std::string& answer, double patience = 0.4) {
  Play play;
  play.server.answer = answer;
  fmt::print("{}: {}\n", what, play.call(1, patience));
  play.server.answer = head(200) + piece("done") + kEnd;
  fmt::print("  the next one: {}; connections {}\n", play.call(2), play.server.accepted);
}

void answers() {
  one("a whole answer", head(200) + piece("done") + kEnd);
  one("in many pieces", head(200) + piece(std::string(8000, 'x')) + piece(std::string(8000, 'x')) + kEnd);
  one("a connection that ends with it", head(200) + piece("done") + kLastEnd);
  one("503", head(503) + kEnd);
  one("500", head(500) + piece("why") + kEnd);
  one("a piece is asked for",
      bare::packet(std::string("\6\1\0", 3), "AB") + head(200) + piece("done") + kEnd);
  one("closed, nothing said", "!");
  one("closed in the middle", head(200) + piece("do") + "!");
  one("nothing said", "");
  one("stalls inside a piece", head(200) + piece("done").substr(0, 7));
  one("stalls after a piece", head(200) + piece("done"));
  one("stalls while there is much time", head(200) + piece("done"), 2);
  one("a piece before the head", piece("done") + kEnd);
  one("two heads", head(200) + head(200) + kEnd);
  one("an end before the head", kEnd);
  one("ends twice", head(200) + piece("done") + kEnd + kEnd);
  one("a gateway's magic", bare::packet("\x0a"));
  one("no AJP at all", "HTTP/1.1 200 OK\r\n\r\n");
  std::string much = head(200);
  for (int i = 0; i < 9; ++i) much += piece(std::string(8000, 'x'));
  one("more than may be", much + kEnd);
}

void connections() {
  {
    Play play;
    fmt::print("a call: {}, its body: {}\n", play.call(1, 0.4, "abc"), play.server.last_body);
    play.run_for(0.7);
    fmt::print("an idle connection: {}, pings {}, connections {}\n", play.call(2), play.server.pings,
               play.server.accepted);
    play.run_for(0.7);
    play.server.pongs = false;
    fmt::print("a ping that is not answered: {}, connections {}, requests {}\n", play.call(3, 1),
               play.server.accepted, play.server.requests);
    play.run_for(0.7);
    fmt::print("nor in its time: {}, requests {}\n", play.call(4, 0.1), play.server.requests);
    play.server.closes_unread = true;
    play.server.hang_up();
    play.run_for(0.1);
    fmt::print("closed meanwhile, and whenever one connects: {}\n", play.call(5));
    play.server.stop_listening();
    play.run_for(0.1);
    fmt::print("nobody listens: {}\n", play.call(6));
  }
  Play play(2);
  play.server.answer = "";
  play.dependency->call(1, 0.3, "a");
  play.dependency->call(2, 0.3, "b");
  play.dependency->call(3, 0.2, "c");
  play.dependency->call(4, 0.6, "d");
  play.run_for(0.25);
  fmt::print("two connections, four calls; the third waits: {}\n", play.ends[3]);
  play.server.answer = head(200) + piece("done") + kEnd;
  play.run_for(0.2);
  fmt::print("the first: {}; the fourth, when there is room: {}\n", play.ends[1], play.ends[4]);
  play.server.answer = "";
  play.dependency->call(5, 0.5, "e");
  play.run_for(0.05);
  play.dependency->cancel(5);
  play.server.answer = head(200) + piece("done") + kEnd;
  fmt::print("one that is given up has no end: {}; the next one is served: {}\n",
             play.ends.contains(5) ? "SOME" : "none", play.call(6));
}

// Guards against a call that is made twice, or taken for never made: the server closes a connection that has
// just carried a call as the next one is given to it.
void reuse() {
  {
    Play play;
    play.call(1);
    play.server.hang_up();  // nobody here has read the end yet
    fmt::print("closed before the next call: {}; connections {}, requests {}\n", play.call(2),
               play.server.accepted, play.server.requests);
  }
  Play play;
  play.call(1);
  play.dependency->call(2, 0.4, "body");  // written at once, on the connection that is there
  play.server.hang_up();
  play.run_for(0.6);
  fmt::print("closed as the next call was written: {}; connections {}, requests read {}\n", play.ends[2],
             play.server.accepted, play.server.requests);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  answers();
  connections();
  reuse();
  return 0;
}
