#include "app/deferred_signals.h"

#include <pthread.h>

#include <csignal>
#include <initializer_list>

namespace damsonspoke {
namespace {

sigset_t server_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) ::sigaddset(&signals, signal);
  return signals;
}

}  // namespace

void defer_signals() {
  const sigset_t signals = server_signals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void deliver_signals() {
  const sigset_t signals = server_signals();
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace damsonspoke
