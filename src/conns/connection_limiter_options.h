// Options of the connection limiter. Durations are in seconds; shares are of all connections.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// A group of networks that operators define. One cap for all its clients applies in place of the caps per
// client and network.
struct ClientGroup {
  std::string name;
  double share = 1;
  std::vector<Prefix> prefixes;
};

struct ConnectionLimiterOptions {
  double client_share = 0.25;  // of one unknown client
  double known_client_share =
      0.5;  // of one known client, which is higher because many users may share its address
  double network_share = 0.5;
  double reserve = 0.25;  // not available to unknown clients

  // New connections: the sustained rate per second, and the burst.
  double client_rate = 20;
  double client_burst = 64;
  double network_rate = 100;
  double network_burst = 256;
  double unknown_clients_rate = 200;  // all unknown clients together
  double unknown_clients_burst = 400;
  double known_rate_factor = 4;  // by which the limits of a known client are higher

  double penalty_limit = 8;  // points at which connections of an unknown client are rejected
  double penalty_half_life = 30;

  // How long an idle connection is protected from eviction by unknown clients.
  double first_request_grace = 0.1;  // after it was opened
  double idle_protection = 0.3;      // after its last request or success
  double weight_protection = 0.5;    // added for each unit of priority weight that succeeded on it
  double max_protection = 30;        // the maximum that successes add

  std::size_t clients = 1024;  // entries of each sketch
  std::vector<Prefix> listed;  // clients that operators trust
  std::vector<ClientGroup> groups;
};

}  // namespace damsonspoke::conns
