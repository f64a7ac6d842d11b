// Case: a repeat of a keyed op that reaches the machine inside the window and is written slowly.
#include "peers.h"

using namespace review;

namespace {

constexpr double kWindowMs = 15171;      // of `bid`, as the site has it
constexpr double kInsideWindowMs = 400;  // the repeat reaches the machine so long before the window's end
constexpr double kPatienceMs = 2000;     // of the first try's edge node
constexpr double kWritingMs = 900;       // the slow client's message takes so long

std::string config(int listen, int runtime, int roster, int back_end) {
  return text(R"({"name":"n3","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","roster":"127.0.0.1:%d",
 "backend":"127.0.0.1:%d","seed":"8c1f30d27a5be964","stop_ms":3200,
 "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
 "settings":{"servers":12,"resolution":4,"counted-by":"work","hints":"rough",
 "customers":[{"name":"noordkaai","portion":0.27,"quota-per-s":25},{"name":"westhaven","portion":0.24,"quota-per-s":22},
  {"name":"zeedijk","portion":0.15,"quota-per-s":14},{"name":"oosterhaven","portion":0.14,"quota-per-s":13},
  {"name":"duinkaai","portion":0.12,"quota-per-s":11},{"name":"wadhaven","portion":0.074,"quota-per-s":7}],
 "over-share-worth":0.1,
 "request-classes":[
  {"name":"lot-view","semantics":"retryable","target":2000,"give-up":7600,"worth":1,"window":5000},
  {"name":"watch-list","semantics":"retryable","target":2500,"give-up":6300,"worth":1,"window":5000},
  {"name":"bid","semantics":"dedup","target":1900,"give-up":5100,"worth":3,"window":%.0f}],
 "family-info":{"cores":2,"memory-kb":22000,"run-factor":16,"key-kb":40,"callers":12,"caller-idle":30000,
  "halt":"pause","deep-checks":false,"list-follows":false,"say":"off","below":"shared","dep-share":2,
  "calls-over":5000,"linger":200,"calls-by-class":[true,true,true],"worth-without":[0.6,0.3,0],"fresh":0,
  "passes-deadline":false,"tells-gone":false,"cold":false,"gauges":["cpu_busy","runnable","mem_used","sockets"]},
 "rules":{"answer-slack":80,"fall":2000,"fall-multiple":8,"cold":17000,"cold-from":0.22,"stop-sending-within":2000},
 "allowed":{"retry-after":true,"max-retry-after":1000}}})",
              listen, runtime, roster, back_end, kWindowMs);
}

std::string params(const std::string& txn, double door) {
  return text(
      R"("txn":"%s","door":%.0f,"lb":4,"ram":24.5,"standing":0.625,"cpu":250,"team":"noordkaai","unique":"bid-7731","arg":"%s")",
      txn.c_str(), door, base64("lot 12, 340 cents").c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Runtime runtime([](const std::string& id, const std::string&, const std::string&) {
    return Work{80, "reserve lot 12", 2300, "complete", "bid taken by run " + id};
  });
  BackEnd back_end(20);
  Roster roster;
  const int port = free_port();
  const std::string path = arguments.temporary + "/config.json";
  write_file(path, config(port, runtime.port(), roster.port(), back_end.port()));
  Program program(run_command(),
                  {"PROXY_NAME=n3", text("PROXY_LISTEN=127.0.0.1:%d", port), "PROXY_CONFIG=" + path},
                  arguments.temporary + "/backend.log");
  wait_until_healthy(port);

  // The first try: its run takes longer than its edge node waits for it. The edge node says nothing of that.
  const double first_door = std::floor(unix_ms());
  const std::string first_txn = hex_id(1);
  {
    EdgeNode edge(port, "edge node, first try");
    record.line(text("edge node: first try %s, door %.0f", first_txn.c_str(), first_door));
    const int number = edge.send("bid", params(first_txn, first_door));
    if (edge.wait_for(number, kPatienceMs).kind != Answer::Kind::kNone)
      cannot_run("the first try was answered early");
    record.line("edge node: stops waiting for the first try; its connection stays open");
    const Answer late = edge.wait_for(number, 3000);
    record.line(std::string("edge node: the answer to the first try, which nobody waits for: ") +
                name_of(late.kind));
    if (late.kind != Answer::Kind::kServed || runtime.runs().size() != 1)
      cannot_run("the first try was not served");
  }

  // The repeat: it reaches the machine inside the window.
  const double window_end = first_door + kWindowMs;
  sleep_until_unix_ms(window_end - kInsideWindowMs);
  EdgeNode edge(port, "edge node, repeat");
  const int number = edge.next_number();
  const std::string second_txn = hex_id(2);
  const double second_door = std::floor(unix_ms());
  const std::string message = EdgeNode::message(number, "bid", params(second_txn, second_door));
  record.line(text("edge node: repeat %s, door %.0f: %.0f ms after the first try, window %.0f ms",
                   second_txn.c_str(), second_door, second_door - first_door, kWindowMs));
  if (arguments.trouble) {
    constexpr int kPieces = 10;
    for (int i = 0; i < kPieces; ++i) {
      const std::size_t from = message.size() * static_cast<std::size_t>(i) / kPieces;
      const std::size_t to = message.size() * static_cast<std::size_t>(i + 1) / kPieces;
      write_all(edge.fd(), message.substr(from, to - from));
      if (i + 1 < kPieces) sleep_ms(kWritingMs / (kPieces - 1));
    }
  } else {
    write_all(edge.fd(), message);
  }
  record.line(text("edge node: repeat written whole %.0f ms after its door", unix_ms() - second_door));
  const Answer second = edge.wait_for(number, 6000);
  record.line(std::string("edge node: repeat: ") + name_of(second.kind));
  sleep_ms(500);

  const std::vector<Runtime::Run> runs = runtime.runs();
  const bool inside = second_door - first_door < kWindowMs;
  if (!inside || program.has_ended()) cannot_run("the repeat came too late, or the program ended");
  const bool ran_twice = runs.size() > 1;
  record.line(text("verdict: the op with the key bid-7731 was run %zu times", runs.size()));
  std::printf(
      "the op with one key was run %zu times; the repeat reached the machine %.0f ms after the first try, "
      "window %.0f ms: rule %s\n",
      runs.size(), second_door - first_door, kWindowMs, ran_twice ? "broken" : "held");
  finish(ran_twice ? 1 : 0);
}
