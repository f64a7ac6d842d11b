// Calls to a dependency by AJP, against a scripted server on a bare socket: what each end of a call proves,
// and which behavior of the server is invalid. CTest compares with tests/traces/ajp_dependency.txt. usage:
// ajp_dependency
#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ajp_server.h"
#include "loop.h"
#include "peers/ajp/dependency_client.h"
#include "stepped_reactor.h"

using namespace damsonspoke;
namespace raw_ajp = damsonspoke::standins::raw_ajp;
using standins::now;

namespace {

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk: return "ok";
    case Outcome::kRejected: return "rejected, never ran";
    case Outcome::kUnreachable: return "unreachable, never ran";
    case Outcome::kTimeout: return "timed out, may have run";
    case Outcome::kReset: return "broken, may have run";
    case Outcome::kError: return "failed, may have run";
    default: return "something else";
  }
}

using raw_ajp::head, raw_ajp::piece;
constexpr RequestId kCallsWithACopy = 8;
const std::string kEnd = raw_ajp::end(), kLastEnd = raw_ajp::end(false);

struct Scenario : peers::DependencyEvents {
  explicit Scenario(std::size_t links = 4) : server(loop), log(Level::kError) {
    AjpOptions options;
    options.packet = 8192;
    options.dependency = fmt::format("127.0.0.1:{}", server.port);
    options.dependency_path = "/call";
    options.dependency_refusal_is_proof = true;
    dependency =
        std::make_unique<peers::AjpDependencyClient>(stepped.reactor, options, links, *this, counters, log);
  }
  void on_call_ended(RequestId id, Outcome outcome, double, std::string_view reply) override {
    replies[id] = reply;
    ends[id] =
        fmt::format("{}{}", name_of(outcome), reply.empty() ? "" : fmt::format(", {} bytes", reply.size()));
  }
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;
  ~Scenario() override { stepped.end(); }
  void run_for(double seconds) {
    stepped.run_for([&] { loop.run_for(seconds); });
  }
  // Makes one call and waits for its end, for 2 s at most; returns how and when it ended.
  std::string call(RequestId id, double timeout = 0.4, const std::string& body = "body") {
    const double began = now();
    dependency->call(id, timeout, body);
    for (int i = 0; i < 200 && !ends.contains(id); ++i) run_for(0.01);
    if (!ends.contains(id)) return "no end";
    return fmt::format("{}, {}", ends[id], now() - began < timeout * 0.9 ? "at once" : "at its timeout");
  }
  SteppedReactor stepped;
  standins::Loop loop;  // of the server, on this thread
  standins::AjpServer server;
  Counters counters;
  Logger log;
  std::map<RequestId, std::string> ends, replies;
  std::unique_ptr<peers::AjpDependencyClient> dependency;
};

void run_one(const char* what, const std::string& answer, double timeout = 0.4) {
  Scenario scenario;
  scenario.server.answer = answer;
  fmt::print("{}: {}\n", what, scenario.call(1, timeout));
  scenario.server.answer = head(200) + piece("done") + kEnd;
  fmt::print("  the next one: {}; connections {}\n", scenario.call(2), scenario.server.accepted);
}

void answers() {
  run_one("a complete answer", head(200) + piece("done") + kEnd);
  run_one("in many pieces", head(200) + piece(std::string(8000, 'x')) + piece(std::string(8000, 'x')) + kEnd);
  run_one("a connection that closes after it", head(200) + piece("done") + kLastEnd);
  run_one("503", head(503) + kEnd);
  run_one("500", head(500) + piece("why") + kEnd);
  run_one("a piece is requested",
          raw_ajp::packet(std::string("\6\1\0", 3), "AB") + head(200) + piece("done") + kEnd);
  run_one("closed without an answer", "!");
  run_one("closed inside an answer", head(200) + piece("do") + "!");
  run_one("no answer", "");
  run_one("stalls inside a piece", head(200) + piece("done").substr(0, 7));
  run_one("stalls after a piece", head(200) + piece("done"));
  run_one("stalls with a long timeout", head(200) + piece("done"), 2);
  run_one("a piece before the head", piece("done") + kEnd);
  run_one("two heads", head(200) + head(200) + kEnd);
  run_one("an end before the head", kEnd);
  run_one("ends twice", head(200) + piece("done") + kEnd + kEnd);
  run_one("a gateway's magic", raw_ajp::packet("\x0a"));
  run_one("no AJP at all", "HTTP/1.1 200 OK\r\n\r\n");
  std::string much = head(200);
  for (int i = 0; i < 9; ++i) much += piece(std::string(8000, 'x'));
  run_one("an answer beyond the limit", much + kEnd);
}

void connections() {
  {
    Scenario scenario;
    fmt::print("a call: {}, its body: {}\n", scenario.call(1, 0.4, "abc"), scenario.server.last_body);
    scenario.run_for(0.7);
    fmt::print("an idle connection: {}, pings {}, connections {}\n", scenario.call(2), scenario.server.pings,
               scenario.server.accepted);
    scenario.run_for(0.7);
    scenario.server.answers_pings = false;
    fmt::print("a ping that is not answered: {}, connections {}, requests {}\n", scenario.call(3, 1),
               scenario.server.accepted, scenario.server.requests);
    scenario.run_for(0.7);
    fmt::print("the same with a short timeout: {}, requests {}\n", scenario.call(4, 0.1),
               scenario.server.requests);
    scenario.server.closes_on_accept = true;
    scenario.server.disconnect_all();
    scenario.run_for(0.1);
    fmt::print("closed while idle, and after each connect: {}\n", scenario.call(5));
    scenario.server.stop_listening();
    scenario.run_for(0.1);
    fmt::print("no listener: {}\n", scenario.call(6));
  }
  Scenario scenario(2);
  scenario.server.answer = "";
  scenario.dependency->call(1, 0.3, "a");
  scenario.dependency->call(2, 0.3, "b");
  scenario.dependency->call(3, 0.2, "c");
  scenario.dependency->call(4, 0.6, "d");
  scenario.run_for(0.25);
  fmt::print("two connections, four calls; the third waits: {}\n", scenario.ends[3]);
  scenario.server.answer = head(200) + piece("done") + kEnd;
  scenario.run_for(0.2);
  fmt::print("the first: {}; the fourth, on a free connection: {}\n", scenario.ends[1], scenario.ends[4]);
  scenario.server.answer = "";
  scenario.dependency->call(5, 0.5, "e");
  scenario.run_for(0.05);
  scenario.dependency->cancel(5);
  scenario.server.answer = head(200) + piece("done") + kEnd;
  fmt::print("one that is cancelled has no end: {}; the next one is served: {}\n",
             scenario.ends.contains(5) ? "SOME" : "none", scenario.call(6));
}

// Guards against a call that is made twice, or reported as never made: the server closes a connection that
// has just carried a call while it is reused for the next one.
void reuse() {
  {
    Scenario scenario;
    scenario.call(1);
    scenario.server.disconnect_all();  // its end was not read yet
    fmt::print("closed before the next call: {}; connections {}, requests {}\n", scenario.call(2),
               scenario.server.accepted, scenario.server.requests);
  }
  {
    Scenario scenario;
    scenario.call(1);
    scenario.dependency->call(2, 0.4, "body");  // its ping is written at once, on the open connection
    scenario.server.disconnect_all();
    scenario.run_for(0.6);
    fmt::print("closed as the ping was written: {}; connections {}, requests read {}\n", scenario.ends[2],
               scenario.server.accepted, scenario.server.requests);
  }
  Scenario scenario;
  scenario.call(1);
  scenario.server.closes_after_pong = true;
  scenario.dependency->call(2, 0.4, "body");
  scenario.run_for(0.6);
  fmt::print("closed as the next call was written: {}; connections {}, requests read {}\n", scenario.ends[2],
             scenario.server.accepted, scenario.server.requests);
}

// Makes eight calls at once on one connection. The server's answers name the calls; `pieces` makes those of
// the call with body "3" out of its answer. Prints whether each call got its own answer.
void run_second_copy(const char* what,
                     const std::function<std::vector<std::string>(const std::string& answer)>& pieces,
                     bool is_after_pong = false) {
  Scenario scenario(1);
  const auto answer_to = [](const std::string& body) {
    return head(200) + piece("answer to " + body.substr(0, 1)) + kEnd;
  };
  scenario.server.answer_pieces = [&](const std::string& body) {
    const bool is_doubled = body[0] == '3';
    scenario.server.after_pong = is_doubled && is_after_pong ? answer_to(body) : "";
    return is_doubled ? pieces(answer_to(body)) : std::vector<std::string>{answer_to(body)};
  };
  for (RequestId id = 1; id <= kCallsWithACopy; ++id) scenario.dependency->call(id, 1.5, std::to_string(id));
  for (int i = 0; i < 150 && scenario.ends.size() < kCallsWithACopy; ++i) scenario.run_for(0.01);
  int own = 0;
  for (const auto& [id, reply] : scenario.replies) own += reply == "answer to " + std::to_string(id) ? 1 : 0;
  fmt::print("{}: {} of {} calls ended with their own answer; connections {}\n", what, own, kCallsWithACopy,
             scenario.server.accepted);
}

// Guards against an answer that is given to another call: AJP has no ids, and the server sends a second copy
// of an answer, at once, in pieces or later.
void second_copies() {
  run_second_copy("no second copy", [](const std::string& answer) { return std::vector{answer}; });
  run_second_copy("a second copy behind the answer",
                  [](const std::string& answer) { return std::vector{answer + answer}; });
  run_second_copy("a second copy after the answer", [](const std::string& answer) {
    return std::vector{answer, answer};
  });
  run_second_copy("a second copy in pieces", [](const std::string& answer) {
    return std::vector{answer + answer.substr(0, 3), answer.substr(3, 20), answer.substr(23)};
  });
  run_second_copy("the beginning of a second copy",
                  [](const std::string& answer) { return std::vector{answer + answer.substr(0, 3)}; });
  run_second_copy("the end of a second copy, later", [](const std::string& answer) {
    return std::vector{answer, answer.substr(answer.size() - kEnd.size())};
  });
  run_second_copy(
      "a second copy behind a pong", [](const std::string& answer) { return std::vector{answer}; }, true);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  answers();
  connections();
  reuse();
  second_copies();
  return 0;
}
