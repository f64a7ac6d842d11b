#include "control/server.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "control/lines.h"

namespace damsonspoke::control {
namespace {

constexpr std::size_t kMaxOpenQueries = 4;
constexpr double kQueryTimeoutSeconds = 1;  // from accepting the connection to the end of the response
constexpr int kListenBacklog = 8;           // connections

sockaddr_un address_of(const std::string& path) {
  sockaddr_un out{};
  out.sun_family = AF_UNIX;
  if (path.size() >= sizeof out.sun_path)
    throw std::runtime_error("control: the path '" + path + "' is too long");
  std::memcpy(out.sun_path, path.data(), path.size());
  return out;
}

// Checks that only the owner may enter the folder, because every process that can reach the socket may send
// queries.
void check_private(const std::string& folder) {
  struct stat status {};
  if (::stat(folder.c_str(), &status) != 0)
    throw std::runtime_error("control: folder '" + folder + "': " + std::strerror(errno));
  if (!S_ISDIR(status.st_mode)) throw std::runtime_error("control: '" + folder + "' is not a folder");
  if (status.st_uid != ::geteuid() || (status.st_mode & 077) != 0)
    throw std::runtime_error("control: folder '" + folder +
                             "' is not private: this user must own it and its mode must be 700");
}

// Owns the socket of a client.
struct Socket {
  int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Socket() = default;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (fd >= 0) ::close(fd);
  }
};

int connect_to(const std::string& path, int fd) {
  const sockaddr_un address = address_of(path);
  return ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

int listen_at(const std::string& path) {
  const sockaddr_un address = address_of(path);
  {
    // The socket that a killed process left behind refuses connections. One that accepts belongs to a running
    // process.
    Socket probe;
    if (probe.fd >= 0 && connect_to(path, probe.fd) == 0)
      throw std::runtime_error("control: another process listens on '" + path + "'");
  }
  struct stat status {};
  if (::lstat(path.c_str(), &status) == 0) {
    if (!S_ISSOCK(status.st_mode)) throw std::runtime_error("control: '" + path + "' is not a socket");
    ::unlink(path.c_str());
  }
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("control: cannot create a socket");
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    ::close(fd);
    throw std::runtime_error("control: cannot listen on '" + path + "': " + reason);
  }
  return fd;
}

}  // namespace

std::string socket_path(const std::string& folder) { return folder + "/control"; }

Server::Server(net::Reactor& reactor, const std::string& folder, Logger& log)
    : reactor_(reactor), log_(log), path_(socket_path(folder)) {
  check_private(folder);
  listener_ = std::make_unique<net::Listener>(reactor, listen_at(path_),
                                              [this](const net::Accepted& one) { on_accept(one); });
}

Server::~Server() {
  for (auto& [tag, query] : queries_) reactor_.cancel(query.timeout);
  ::unlink(path_.c_str());
}

void Server::on_accept(const net::Accepted& accepted) {
  if (queries_.size() >= kMaxOpenQueries) {
    ::close(accepted.fd);
    return;
  }
  const std::uint64_t tag = next_tag_++;
  OpenQuery& query = queries_[tag];
  query.connection = net::Connection::accepted(reactor_, *this, accepted.fd,
                                               {kMaxQueryBytes, 2 * kMaxResponseBytes, nullptr});
  query.connection->tag = tag;
  query.timeout = reactor_.after(kQueryTimeoutSeconds, [this, tag] {
    const auto found = queries_.find(tag);
    if (found != queries_.end()) found->second.connection->close();
  });
}

std::string Server::handle(const std::vector<std::string>& tokens) const {
  const auto found = handlers_.find(tokens.front());
  if (found == handlers_.end())
    return encode_error("'" + tokens.front() + "' is not a query of this process");
  try {
    return encode_response(found->second(tokens));
  } catch (const std::exception& error) {
    return encode_error(error.what());
  }
}

std::size_t Server::on_input(net::Connection& connection, std::string_view bytes) {
  const auto found = queries_.find(connection.tag);
  if (found == queries_.end() || found->second.is_answered) return bytes.size();
  const Query query = parse_query(bytes);
  if (query.state == ParseStatus::kNeedMore) return 0;
  found->second.is_answered = true;
  if (query.state == ParseStatus::kMalformed) {
    log_.debug("control", "malformed query rejected");
    connection.send(encode_error("malformed query: expected one line of tokens"));
  } else {
    connection.send(handle(query.tokens));
  }
  if (connection.pending_output_bytes() == 0) connection.close_gracefully();
  return bytes.size();
}

void Server::on_end_of_input(net::Connection& connection) {
  const auto found = queries_.find(connection.tag);
  if (found != queries_.end() && !found->second.is_answered) connection.close();
}

void Server::on_output_sent(net::Connection& connection) { connection.close_gracefully(); }

void Server::on_end(net::Connection& connection, net::CloseReason) {
  const auto found = queries_.find(connection.tag);
  if (found == queries_.end()) return;
  reactor_.cancel(found->second.timeout);
  queries_.erase(found);
}

std::string send_query(const std::string& folder, const std::vector<std::string>& tokens,
                       double timeout_seconds) {
  const std::string path = socket_path(folder);
  Socket socket;
  const timeval timeout{
      static_cast<time_t>(timeout_seconds),
      static_cast<suseconds_t>((timeout_seconds - static_cast<long>(timeout_seconds)) * 1e6)};
  ::setsockopt(socket.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(socket.fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect_to(path, socket.fd) != 0)
    throw std::runtime_error("no process listens on '" + path + "': " + std::strerror(errno));
  const std::string query = encode_query(tokens);
  std::string input;
  if (::send(socket.fd, query.data(), query.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(query.size())) {
    char bytes[16384];
    for (ssize_t received = 0; (received = ::recv(socket.fd, bytes, sizeof bytes, 0)) > 0;) {
      input.append(bytes, static_cast<std::size_t>(received));
      const Response response = parse_response(input);
      if (response.state == ParseStatus::kMalformed) break;
      if (response.state == ParseStatus::kNeedMore) continue;
      if (!response.is_ok) throw std::runtime_error(response.text);
      return response.text;
    }
  }
  throw std::runtime_error("no complete response from '" + path + "'");
}

}  // namespace damsonspoke::control
