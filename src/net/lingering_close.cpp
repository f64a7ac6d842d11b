#include "net/lingering_close.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace damsonspoke::net {
namespace {

constexpr std::size_t kMaxBytesPerRead = 16 * 1024;  // bytes

using OnRead = Poco::Observer<LingeringClose, Poco::Net::ReadableNotification>;

}  // namespace

void LingeringClose::begin(Reactor& reactor, int fd) {
  begin(reactor, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)));
}

void LingeringClose::begin(Reactor& reactor, const Poco::Net::StreamSocket& socket) {
  const int fd = socket.impl()->sockfd();
  std::shared_ptr<LingeringClose> lingering(new LingeringClose(reactor, socket));
  if (::shutdown(fd, SHUT_WR) != 0 || !lingering->discard())
    return;  // the peer has closed already: nothing can be lost
  auto& all = reactor.lingering_closes();
  if (all.size() >= kMaxOpen) all.pop_front();  // the oldest one
  all.push_back(lingering);
  reactor.addEventHandler(lingering->socket_, OnRead(*lingering, &LingeringClose::on_readable));
  lingering->is_observing_ = true;
  lingering->timer_ = reactor.after(kTimeoutSeconds, [one = lingering.get()] { one->finish(); });
}

LingeringClose::~LingeringClose() {
  reactor_.cancel(timer_);
  if (is_observing_) reactor_.removeEventHandler(socket_, OnRead(*this, &LingeringClose::on_readable));
  socket_.close();
}

bool LingeringClose::discard() {
  char bytes[kMaxBytesPerRead];
  for (;;) {
    const ssize_t got = ::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
    if (got == 0) return false;
    discarded_bytes_ += static_cast<std::size_t>(got);
    if (discarded_bytes_ > kMaxDiscardedBytes) return false;
  }
}

void LingeringClose::on_readable(Poco::Net::ReadableNotification* notification) {
  notification->release();
  run_guarded("lingering close", [this] {
    if (!discard()) finish();
  });
}

// Destroys this object in the next event-loop iteration, as it may be inside its own callback.
void LingeringClose::finish() {
  reactor_.cancel(timer_);
  reactor_.post([&reactor = reactor_, one = this] {
    auto& all = reactor.lingering_closes();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& each) { return each.get() == one; });
    if (found != all.end()) all.erase(found);
  });
}

}  // namespace damsonspoke::net
