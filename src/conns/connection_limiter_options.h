// Plain data that configures the connection limiter. Durations are seconds; shares are of all connections
// unless a name says otherwise.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "conns/prefix.h"

namespace damsonspoke::conns {

// Networks that operators name. A group has one limit for all its clients in place of the limits of a client
// and a network.
struct ClientGroup {
  std::string name;
  double share = 1;
  std::vector<Prefix> prefixes;
};

struct ConnectionLimiterOptions {
  double client_share = 0.25;       // of one client that is unknown
  double known_client_share = 0.5;  // of one that is known: many users may stand behind its address
  double network_share = 0.5;
  double reserve = 0.25;  // that unknown clients can't have

  // New connections: a second in the long run, and at once.
  double client_rate = 20;
  double client_burst = 64;
  double network_rate = 100;
  double network_burst = 256;
  double unknown_clients_rate = 200;  // all unknown clients together
  double unknown_clients_burst = 400;
  double known_rate_factor = 4;  // by which the limit of a known client is higher

  double penalty_limit = 8;  // points at which an unknown client is rejected
  double penalty_half_life = 30;

  // How long an idle connection is protected from eviction by unknown clients.
  double first_request_grace = 0.1;  // after it was opened
  double idle_protection = 0.3;      // after its last request or success
  double weight_protection = 0.5;    // more for each unit of priority weight that succeeded on it
  double max_protection = 30;        // the most that successes add

  std::size_t clients = 1024;  // entries of each sketch
  std::vector<Prefix> listed;  // that operators trust
  std::vector<ClientGroup> groups;
};

}  // namespace damsonspoke::conns
