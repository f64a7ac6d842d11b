// The options that operators set in their file in addition to the platform's configuration, by section.
// Durations are in seconds, sizes in bytes, and shares range from 0 to 1.
#pragma once

#include <string>
#include <vector>

#include "conns/connection_limiter.h"
#include "conns/minimum_byte_rate.h"
#include "conns/prefix.h"
#include "settings/ajp_routes.h"

namespace damsonspoke {

// Section `results`: the idempotency cache and its store; see src/results.
struct ResultsOptions {
  bool enabled = false;
  std::size_t memory = 0;    // bytes
  std::size_t entries = 0;   // maximum number of keys
  std::string store;         // a path; empty: in memory only
  bool power_safe = false;   // the store survives a power failure, not only the end of the process
  std::size_t disk = 0;      // maximum size of the store, bytes
  std::size_t queue = 0;     // maximum number of writes that wait for the store
  double store_timeout = 0;  // seconds that a request waits for the store at most
  std::string key_field;
  std::size_t key_length = 0;       // bytes at most
  std::vector<std::string> digest;  // routes whose requests are identified by a digest instead of a key
  bool digest_by_caller = true;     // the digest includes the caller's number
};

// Section `knowledge`: learned statistics that survive a restart; see src/statistics.
struct StatisticsPersistenceOptions {
  bool enabled = false;
  std::string folder;
  double interval = 0;   // seconds between two records
  double half_life = 0;  // seconds
  double max_age = 0;    // seconds
  double weight = 0;     // number of values that a fresh record counts as
};

// Section `forward`: a forwarder in front of planners; see src/tier.
struct ForwardOptions {
  std::vector<std::string> planners;  // addresses
  bool from_members = false;          // also uses the planners that members report
  double reload_spread = 0;           // seconds within which all forwarders receive a new list
  std::string folder;                 // for the history of planner lists; empty: not stored
  bool by_subject = false;            // prefers one planner for all requests of a subject
  double retry_share = 0;             // maximum retries as a share of first attempts
  double link_timeout = 0;            // seconds that a connection to a planner may be lost
  std::size_t queue_length = 0;       // maximum number of waiting requests
  std::size_t queue_bytes = 0;        // maximum size of the waiting requests, bytes
};

// Section `ajp`: callers and a dependency that speak AJP 1.3; see src/peers/ajp.
struct AjpOptions {
  std::string listen;  // an address; empty: off
  std::string secret;
  std::vector<std::string> attributes;  // accepted request attributes
  std::size_t packet = 0;               // bytes at most
  std::size_t body = 0;                 // bytes of a request at most
  double share = 0;                     // of the connections
  double idle = 0;                      // seconds until an idle connection is closed
  std::vector<AjpRoute> routes;
  std::string dependency;       // an address; empty: the dependency speaks the platform's protocol
  std::string dependency_path;  // the path that calls are posted to
  std::string dependency_secret;
  bool dependency_refusal_is_proof = false;  // a response with status 503 proves that the call did not run
};

// Section `gate`: admission of connections; see src/conns and src/peers/connection_admission.h.
struct ConnectionAdmissionOptions {
  bool enabled = false;
  std::size_t connections = 0;  // 0: as many as the limits of the process allow
  conns::ConnectionLimiterOptions limiter;
  conns::KnownClientsOptions known;
  std::string known_folder;   // empty: known clients are not stored
  double known_interval = 0;  // seconds between two records
  double client_output = 0;   // maximum share of the memory for unread answers for one client
  conns::MinimumByteRateOptions input;
  conns::MinimumByteRateOptions output;
};

// Section `control`: the socket for operators' queries; see src/control.
struct ControlOptions {
  std::string folder;  // empty: off
};

// Section `members`: membership of the fleet; see src/members and src/peers/members.
struct MembersOptions {
  std::string bind;                // an address; empty: off
  std::string advertised_address;  // at which other members reach this instance
  std::string cluster;
  std::vector<std::string> seeds;
  std::vector<conns::Prefix> peers;  // networks whose members are accepted
  std::string zone;
  std::string service_address;   // at which others reach its service; empty: the listening address
  double probe_interval = 0;     // seconds between two health checks
  double suspicion_timeout = 0;  // minimum seconds until a suspected member is declared dead
  double dead_retention = 0;     // seconds for which dead members are remembered
  [[nodiscard]] bool enabled() const { return !bind.empty(); }
};

// Section `catalog`: routes and tenants that change at run time; see src/catalog.
struct CatalogOptions {
  std::string folder;       // of the snapshot and the changes; empty: off
  std::size_t routes = 0;   // maximum number
  std::size_t tenants = 0;  // maximum number
};

struct OperatorOptions {
  CatalogOptions catalog;
  MembersOptions members;
  ConnectionAdmissionOptions connection_admission;
  ControlOptions control;
  ResultsOptions results;
  StatisticsPersistenceOptions statistics;
  ForwardOptions forward;
  AjpOptions ajp;
};

}  // namespace damsonspoke
