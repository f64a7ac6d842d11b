// What operators choose beside the platform's configuration, read and checked as a whole. Without a file
// everything in it is off.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "conns/connection_limiter.h"
#include "conns/minimum_byte_rate.h"
#include "conns/prefix.h"
#include "settings/ajp_routes.h"
#include "settings/operator_lines.h"
#include "settings/operator_schema.h"

namespace damsonspoke {

// Remembered results; see src/results.
struct ResultsOptions {
  bool enabled = false;
  std::size_t memory = 0;   // bytes
  std::size_t entries = 0;  // keys
  std::string store;        // a path; empty: memory alone
  bool power_safe = false;
  std::size_t disk = 0;   // bytes
  std::size_t queue = 0;  // writes
  double patience = 0;    // s
  std::string key_field;
  std::size_t key_length = 0;  // bytes
  std::vector<std::string> digest;
  bool digest_by_caller = true;
};

// Learning that survives a restart; see src/knowledge.
struct KnowledgeOptions {
  bool enabled = false;
  std::string folder;
  double interval = 0;   // s
  double half_life = 0;  // s
  double most_age = 0;   // s
  double weight = 0;     // values
};

// A forwarder before planners; see src/tier.
struct ForwardOptions {
  std::vector<std::string> planners;  // addresses
  bool from_members = false;          // and those that members tell
  double reload_spread = 0;           // s
  std::string folder;                 // for the lists of planners there have been; empty: not kept
  bool by_subject = false;
  double retry_share = 0;       // of first tries
  double link_patience = 0;     // s
  std::size_t line = 0;         // requests
  std::size_t line_memory = 0;  // bytes
};

// Callers that speak AJP; see src/peers/ajp_callers.h.
struct AjpOptions {
  std::string listen;  // an address; empty: off
  std::string secret;
  std::vector<std::string> attributes;
  std::size_t packet = 0;  // bytes
  std::size_t body = 0;    // bytes
  double share = 0;        // of the connections
  double idle = 0;         // s
  std::vector<AjpRoute> routes;
  std::string dependency;  // an address; empty: the layer below is reached as the platform says
  std::string below_uri, below_secret;
  bool below_refuses = false;  // its 503 proves that nothing ran
};

// Admission of connections; see src/conns/connection_limiter.h and src/peers/connection_admission.h.
struct GateOptions {
  bool enabled = false;
  std::size_t connections = 0;  // 0: as the limits allow
  conns::ConnectionLimiterOptions limiter;
  conns::KnownClientsOptions known;
  std::string known_folder;   // empty: not kept
  double known_interval = 0;  // s
  double client_output = 0;   // of the memory for answers
  conns::MinimumByteRateOptions input, output;
};

struct ControlOptions {
  std::string folder;  // empty: off
};

// Membership; see src/members and src/peers/members.h.
struct MembersOptions {
  std::string bind;  // an address; empty: off
  std::string face;  // as others reach it
  std::string cluster;
  std::vector<std::string> seeds;
  std::vector<conns::Prefix> peers;  // who is heard, and written to
  std::string zone;
  std::string serves;                                // as others reach what it serves; empty: as it listens
  double interval = 0, suspicion = 0, remember = 0;  // s
  bool enabled() const { return !bind.empty(); }
};

// Routes and tenants that change while they serve; see src/catalog.
struct CatalogOptions {
  std::string folder;                   // of the snapshot and the changes; empty: off
  std::size_t routes = 0, tenants = 0;  // at most
};

struct OperatorOptions {
  CatalogOptions catalog;
  MembersOptions members;
  GateOptions gate;
  ControlOptions control;
  ResultsOptions results;
  KnowledgeOptions knowledge;
  ForwardOptions forward;
  AjpOptions ajp;
};

struct OperatorFile {
  struct Value {
    std::vector<std::string> words;
    std::size_t line = 0;
    std::vector<std::vector<std::string>> lines;  // of a directive that may stand again and again
  };
  std::map<std::pair<std::string, std::string>, Value> given;  // by section and directive
  OperatorOptions options;
  std::vector<OperatorError> errors;  // all of the file, by line; options mean nothing where there are any

  // Each directive with its value and where that came from.
  std::string effective() const;
};

OperatorFile parse_operator_file(std::string_view text);
// Throws SettingsError with one plain line where the file can't be read, or with its errors, a line each.
OperatorFile read_operator_file(const std::string& path);
std::string told(const std::string& path, const std::vector<OperatorError>& errors);

}  // namespace damsonspoke
