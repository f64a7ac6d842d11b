// Case: bad clients repeat a keyed op while its first try runs; the platform watches the memory limit.
#include "peers.h"

using namespace review;

namespace {

constexpr double kMemoryMb = 32;         // the smallest of "32 to 192 MB by language and day"
constexpr int kDescriptors = 512;        // "384 or 512 descriptors"
constexpr double kTriesPerSecond = 190;  // "up to 190 first tries a second"
constexpr double kSoundSeconds = 9;      // of the edge node's traffic
constexpr double kBadClientsAfter = 5;   // seconds
constexpr int kBadConnections = 295;     // "connect by hundreds"
constexpr int kRequestsPerConnection =
    32;  // "hundreds of requests at once"; each connection stays inside the protocol's 32
constexpr std::size_t kResultBytes = 4096;  // "A result holds 4 KiB at most"
constexpr std::size_t kBodyBytes = 2048;    // "A body may hold any bytes, 2 KiB at most"

std::string config(int listen, int runtime, int roster, int back_end) {
  return text(R"({"name":"n3","listen":"127.0.0.1:%d","runtime":"127.0.0.1:%d","roster":"127.0.0.1:%d",
 "backend":"127.0.0.1:%d","seed":"8c1f30d27a5be964","stop_ms":3200,
 "limits":{"cores":1.0,"memory_mb":%.0f,"sockets":%d},
 "settings":{"servers":4,"resolution":4,
 "request-classes":[
  {"name":"avail-read","semantics":"retryable","target":1300,"give-up":3300,"worth":1,"window":5000},
  {"name":"rate-push","semantics":"retryable","target":2200,"give-up":5400,"worth":1,"window":5000},
  {"name":"close-out","semantics":"dedup","target":2200,"give-up":5400,"worth":3,"window":5000}],
 "family-info":{"cores":6,"memory-kb":110652,"run-factor":16,"key-kb":17,"callers":3,"caller-idle":30000,
  "halt":"pause","deep-checks":true,"list-follows":true,"say":"off","below":"shared","dep-share":6,
  "calls-over":5000,"linger":200,"calls-by-class":[true,false,true],"worth-without":[0.3,0,0.5],"fresh":0,
  "passes-deadline":true,"tells-gone":false,"cold":false,"gauges":["cpu_busy","runnable","mem_used","sockets"]},
 "rules":{"answer-slack":60,"fall":1500,"fall-multiple":8,"cold":17000,"cold-from":0.2,"stop-sending-within":2500},
 "allowed":{"retry-after":true,"max-retry-after":1000}}})",
              listen, runtime, roster, back_end, kMemoryMb, kDescriptors);
}

const std::string bad_body = base64(std::string(kBodyBytes, 'b'));

std::string params(std::uint64_t txn, const std::string& key, const std::string& body, double ram) {
  return text(
      R"("txn":"%016llx","door":%.0f,"lb":4,"limit":5000,"ram":%.1f,"standing":0.9,"unique":"%s","arg":"%s")",
      static_cast<unsigned long long>(txn), std::floor(unix_ms()), ram, key.c_str(), body.c_str());
}

// The memory of the process: what is resident, and of that what is its own, without files mapped.
struct Memory {
  double resident_mb = 0;
  double own_mb = 0;
};

Memory memory_of(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  Memory memory;
  for (std::string line; std::getline(in, line);) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const double mb = std::atof(line.c_str() + colon + 1) / 1024;
    if (line.rfind("VmRSS:", 0) == 0) memory.resident_mb = mb;
    if (line.rfind("RssAnon:", 0) == 0 || line.rfind("RssShmem:", 0) == 0) memory.own_mb += mb;
  }
  return memory;
}

std::string text_of(const Memory& memory) {
  return text("%.1f MB, %.1f MB of it its own", memory.resident_mb, memory.own_mb);
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  Runtime runtime([](const std::string&, const std::string&, const std::string& body) {
    const bool is_long = body == std::string(kBodyBytes, 'b');
    return Work{0, "", is_long ? 2500.0 : 20.0, "complete", std::string(kResultBytes, is_long ? 'B' : 'r')};
  });
  runtime.be_quiet();
  BackEnd back_end(10);
  Roster roster;
  const int port = free_port();
  const std::string path = arguments.temporary + "/config.json";
  write_file(path, config(port, runtime.port(), roster.port(), back_end.port()));
  Program program(run_command(),
                  {"PROXY_NAME=n3", text("PROXY_LISTEN=127.0.0.1:%d", port), "PROXY_CONFIG=" + path},
                  arguments.temporary + "/backend.log");
  wait_until_healthy(port);

  // The platform: kills a backend that is over its limit.
  std::atomic<bool> is_over{false};
  std::atomic<bool> is_watching{true};
  Memory most;
  std::thread platform([&] {
    while (is_watching) {
      const Memory memory = memory_of(program.pid());
      if (memory.resident_mb > most.resident_mb) most = memory;
      if (memory.resident_mb > kMemoryMb && !is_over) {
        is_over = true;
        record.line("platform: the backend holds " + text_of(memory) +
                    text("; the limit is %.0f MB: killed", kMemoryMb));
        program.signal(SIGKILL);
      }
      sleep_ms(10);
    }
  });

  // The edge node: keyed ops of their own, each once, on one connection.
  EdgeNode edge(port);
  edge.be_quiet();
  std::vector<int> numbers;
  std::vector<int> bad;
  std::uint64_t txn = 1;
  const std::string body = base64(std::string(200, 'o'));
  const double began = unix_ms();
  bool are_bad_clients_here = false;
  for (int i = 0; i < kSoundSeconds * kTriesPerSecond && !is_over; ++i) {
    sleep_until_unix_ms(began + i * 1000 / kTriesPerSecond);
    if (edge.open() >= kRequestsPerConnection) continue;  // the protocol allows no more
    ++txn;
    numbers.push_back(edge.send("close-out", params(txn, "op-" + std::to_string(txn), body, 24.5)));
    if (are_bad_clients_here || !arguments.trouble || unix_ms() - began < kBadClientsAfter * 1000) continue;
    are_bad_clients_here = true;
    record.line(text("edge node: %zu ops sent; the backend holds ", numbers.size()) +
                text_of(memory_of(program.pid())));
    std::thread([&, next = txn + 1000000]() mutable {
      for (int k = 0; k < kBadConnections && !is_over; ++k) {
        const int fd = connect_to(port);
        if (fd < 0) break;
        bad.push_back(fd);
        std::string messages;
        for (int n = 1; n <= kRequestsPerConnection; ++n)
          messages += EdgeNode::message(n, "close-out", params(++next, "the-same", bad_body, 1));
        // "They send half a request": its head and most of its body.
        messages += "Content-Length: 8190\r\n\r\n" + std::string(8000, ' ');
        if (!write_all(fd, messages)) break;
      }
      record.line(text("bad clients: %zu connections, %d requests each, all with one key; the backend holds ",
                       bad.size(), kRequestsPerConnection) +
                  text_of(memory_of(program.pid())));
    }).detach();
  }
  std::size_t served = 0;
  std::size_t lost = 0;
  std::map<std::string, std::size_t> answers;
  for (const int number : numbers) {
    const Answer answer = edge.wait_for(number, 6000);
    ++answers[name_of(answer.kind)];
    if (answer.kind == Answer::Kind::kServed) ++served;
    if (answer.kind == Answer::Kind::kLost || answer.kind == Answer::Kind::kNone) ++lost;
  }
  sleep_ms(500);
  is_watching = false;
  platform.join();
  for (const auto& [name, count] : answers) record.line(text("edge node: %zu ops: %s", count, name.c_str()));
  const std::string summary =
      "the backend held at most " + text_of(most) +
      text(", limit %.0f MB; %zu of %zu ops of the edge node served, %zu without an answer: rule %s",
           kMemoryMb, served, numbers.size(), lost, is_over ? "broken" : "held");
  record.line("verdict: " + summary);
  std::printf("%s\n", summary.c_str());
  if (!is_over && served < numbers.size() / 2) cannot_run("the edge node was hardly served");
  finish(is_over ? 1 : 0);
}
