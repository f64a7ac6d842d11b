// The control socket: valid, truncated and malformed messages of its codec; then a server in a private folder
// that receives valid and malformed queries, slow clients and too many connections. CTest compares with
// tests/traces/control_NAME.txt. usage: control SCENARIO
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "control/lines.h"
#include "control/server.h"
#include "scenarios.h"

using namespace damsonspoke;
using namespace damsonspoke::control;

namespace {

const char* text_of(ParseStatus state) {
  return state == ParseStatus::kComplete    ? "complete"
         : state == ParseStatus::kMalformed ? "malformed"
                                            : "incomplete";
}

void lines() {
  const std::string long_line(300, 'x');
  const std::string nine_tokens = "1 2 3 4 5 6 7 8 9\n";
  for (const std::string& input :
       {std::string("conns 20\n"), std::string("  conns   20  \nmore"), std::string("conns"),
        std::string("\n"), std::string("   \n"), std::string("a\tb\n"), std::string("a\x80\n"), nine_tokens,
        long_line, long_line.substr(0, 255) + "\n", long_line.substr(0, 256) + "\n"}) {
    const Query query = parse_query(input);
    std::printf("query of %3zu bytes: %s, %zu tokens\n", input.size(), text_of(query.state),
                query.tokens.size());
  }
  for (const std::string& input :
       {std::string("ok 5\nhello"), std::string("ok 5\nhell"), std::string("ok 0\n"), std::string("ok \n"),
        std::string("ok -1\n"), std::string("ok 5x\nhello"), std::string("ok 262144\n"),
        std::string("ok 262145\n"), std::string("error no such\n"), std::string("error no such"),
        std::string("hello\n"), long_line}) {
    const Response response = parse_response(input);
    std::printf("response %-14.14s: %s, %s, %zu bytes\n", input.substr(0, input.find('\n')).c_str(),
                text_of(response.state), response.is_ok ? "ok" : "not ok", response.text.size());
  }
  const std::string large(kMaxResponseBytes, 'a');
  std::printf("a response that is too long is truncated at the end of a line: %zu\n",
              parse_response(encode_response("line\n" + large)).text.size());
  std::printf("an error is one line: %s", encode_error("two\nlines").c_str());
}

std::string send_and_describe(const std::string& folder, const std::vector<std::string>& tokens) {
  try {
    return "response '" + send_query(folder, tokens, 2) + "'";
  } catch (const std::exception& error) {
    std::string text = error.what();
    if (const std::size_t at = text.find(folder); at != std::string::npos)
      text.replace(at, folder.size(), "FOLDER");
    return "error: " + text;
  }
}

int raw_connection(const std::string& folder) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::strncpy(address.sun_path, socket_path(folder).c_str(), sizeof address.sun_path - 1);
  const int fd = ::socket(AF_UNIX, SOCK_STREAM, 0);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    std::printf("no connection\n");
  return fd;
}

std::string rest_of(int fd) {
  std::string out;
  char bytes[256];
  for (ssize_t got = 0; (got = ::recv(fd, bytes, sizeof bytes, 0)) > 0;)
    out.append(bytes, static_cast<std::size_t>(got));
  ::close(fd);
  return out;
}

void server() {
  char folder_template[] = "/tmp/control-XXXXXX";
  const std::string folder = ::mkdtemp(folder_template);
  Logger log(Level::kError);
  const auto try_to_start = [&](const char* what) {
    net::Reactor reactor;
    try {
      Server control_server(reactor, folder, log);
      std::printf("%s: starts\n", what);
    } catch (const std::exception& error) {
      std::string text = error.what();
      if (const std::size_t at = text.find(folder); at != std::string::npos)
        text.replace(at, folder.size(), "FOLDER");
      std::printf("%s: %s\n", what, text.c_str());
    }
  };
  ::chmod(folder.c_str(), 0750);
  try_to_start("a folder that the group can enter");
  ::chmod(folder.c_str(), 0700);
  std::ofstream(socket_path(folder)) << "mine";
  try_to_start("a regular file in place of the socket");
  ::unlink(socket_path(folder).c_str());
  try_to_start("a private folder");
  std::printf("no process listening: %s\n", send_and_describe(folder, {"hello"}).c_str());
  {
    net::Reactor reactor;
    Server control_server(reactor, folder, log);
    control_server.add_handler(
        "hello", [](const std::vector<std::string>& tokens) { return "to " + tokens.back() + "\n"; });
    control_server.add_handler(
        "bad", [](const std::vector<std::string>&) -> std::string { throw std::runtime_error("it is off"); });
    std::thread client([&] {
      std::printf("%s\n", send_and_describe(folder, {"hello", "you"}).c_str());
      std::printf("%s\n", send_and_describe(folder, {"bad"}).c_str());
      std::printf("%s\n", send_and_describe(folder, {"other"}).c_str());
      int fd = raw_connection(folder);
      static_cast<void>(::send(fd, "\x01\n", 2, MSG_NOSIGNAL));
      std::printf("malformed query: %s", rest_of(fd).c_str());
      int idle_connections[4];
      for (int& one_fd : idle_connections) one_fd = raw_connection(folder);
      ::usleep(50000);
      std::printf("a fifth connection while four are open: '%s'\n", rest_of(raw_connection(folder)).c_str());
      for (const int one_fd : idle_connections)
        std::printf("a connection without a query for one second: '%s'\n", rest_of(one_fd).c_str());
      std::printf("a query after that: %s\n", send_and_describe(folder, {"hello", "again"}).c_str());
      reactor.post_from_other_thread([&] { try_to_start("a second process in the same folder"); });
      reactor.post_from_other_thread([&] { reactor.stop(); });
    });
    reactor.run();
    client.join();
  }
  std::printf("the socket is removed with the server: %s\n",
              ::access(socket_path(folder).c_str(), F_OK) != 0 ? "yes" : "no");
  ::rmdir(folder.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc == 2 && std::strcmp(argv[1], "lines") == 0) return lines(), 0;
  if (argc == 2 && std::strcmp(argv[1], "server") == 0) return server(), 0;
  return 2;
}
