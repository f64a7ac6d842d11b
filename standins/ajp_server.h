// A scripted AJP server: a test sets how it answers complete requests and pings. A request
// counts as complete with the first piece of its body.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ajp_gateway.h"
#include "loop.h"

namespace damsonspoke::standins {

namespace raw_ajp {
std::string head(int status);
std::string piece(const std::string& bytes);
std::string end(bool reuse = true);
std::string answer(int status, const std::string& body = "done");  // complete
}  // namespace raw_ajp

class AjpServer {
 public:
  explicit AjpServer(Loop& loop);
  AjpServer(const AjpServer&) = delete;
  AjpServer& operator=(const AjpServer&) = delete;
  ~AjpServer();
  void stop_listening();
  void disconnect_all();

  std::uint16_t port = 0;
  // Sent for each request; a '!' at its end is not sent, and the connection is closed after it.
  std::string answer = raw_ajp::answer(200);
  // Where it is set: makes the pieces that are sent instead for a request with this body, with a pause
  // between them in which nothing is read.
  std::function<std::vector<std::string>(const std::string& body)> answer_pieces;
  std::string after_pong;  // sent directly behind each pong
  bool answers_pings = true, closes_on_accept = false;
  bool closes_after_pong = false;  // with what arrives next unread
  int requests = 0, pings = 0, accepted = 0;
  std::string last_body;

 private:
  void accept();
  void serve(int fd);
  void send_pieces(int fd);
  void close_link(int fd);

  Loop& loop_;
  int listener_ = -1;
  std::map<int, std::string> links_;
};

}  // namespace damsonspoke::standins
