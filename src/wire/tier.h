// The protocol between forwarders and planners, version 1 (docs/operators/tier-protocol.md): frames of a
// length, a kind and fields in network byte order. All times are durations, so that no two clocks are
// compared. A codec: bytes to typed messages and back; lengths are bounded before anything is stored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damsonspoke::wire::tier {

constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 5;  // length of the fields (4), kind (1)
constexpr std::size_t kMaxBodyBytes =
    64 * 1024;  // the maximum of a runtime's result, so that none is truncated
constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + 1024;  // without the header
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxRoutes = 256;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::uint32_t kNoTimeLimit = 0xffffffff;  // us; no limit was given

// The first message on every link, in both directions.
struct Hello {
  std::uint16_t version = kVersion;
  bool is_planner = false;
  // Random, never 0. The epoch of a forwarder identifies one incarnation of its process. The epoch of a
  // planner identifies one session with the forwarder on this link; a planner that no longer knows the
  // forwarder's attempts sends a new epoch. The sessions of one planner process have epochs less than 2^32
  // apart.
  std::uint64_t epoch = 0;
  std::string name;
  std::uint16_t cores = 0;          // of the planner
  std::uint32_t window = 0;         // of the planner, see LoadReport
  std::vector<std::string> routes;  // of the forwarder: a Submit refers to a route by its position
};

// ---- Forwarder to planner.

struct Submit {
  std::uint64_t attempt = 0;  // increases during an epoch of the forwarder; never reused
  std::uint64_t request = 0;
  std::uint16_t route = 0;
  std::uint32_t caller = 0;
  std::uint64_t subject = 0;                  // 0: none
  std::uint32_t size_sixteenth_kb = 0;        // 1/16 kB
  std::uint32_t age_us = 0;                   // since the request arrived at the forwarder
  std::uint32_t remaining_us = kNoTimeLimit;  // for which its caller still waits
  bool is_lookup_only = false;                // runs nothing: asks for the remembered result of the key
  std::string idempotency_key;
  std::string body;
};

// The caller no longer waits for the attempt.
struct Cancel {
  std::uint64_t attempt = 0;
};

// Asks for proof that the attempt never ran and never will. Without proof, its answer follows when it ends.
struct Fence {
  std::uint64_t attempt = 0;
};

// ---- Planner to forwarder.

enum class Result : std::uint8_t {
  kSucceeded = 0,
  kRejected = 1,        // it did not run and never will
  kFailed = 2,          // it may have run
  kUnknown = 3,         // it is a duplicate of a request that ran with an unknown outcome
  kConflict = 4,        // its key belongs to a request with another body
  kNeverRan = 5,        // the proof that a Fence asked for
  kRunning = 6,         // no proof: it runs or has run, and its answer will follow
  kOutcomeEvicted = 7,  // it has ended, and its answer is no longer cached
  kKeyUnknown = 8       // to a lookup: nothing is remembered of the key, and nothing ran
};

struct Answer {
  std::uint64_t attempt = 0;
  Result result = Result::kFailed;
  std::uint32_t retry_after_us = 0;
  bool no_retry = false;
  std::string body;
};

struct LoadReport {
  std::uint32_t window = 0;  // attempts that may be in flight on this link; a level, not an increment
  std::uint32_t slot_value_milli = 0;  // of the next free slot, 1/1000 of priority weight
  bool is_healthy = true;
};

// The planner shuts down gracefully: nothing more is to be submitted.
struct Draining {
  std::uint32_t stop_us = 0;  // until it stops
};

// ---- Both ways.

struct Ping {
  std::uint64_t token = 0;
};
struct Pong {
  std::uint64_t token = 0;
};

using Message = std::variant<Hello, Submit, Cancel, Fence, Answer, LoadReport, Draining, Ping, Pong>;

enum class Framing {
  kNeedMore,  // the frame is not complete
  kFrame,
  kBroken  // a length out of bounds, an unknown kind, or fields that do not fill the frame
};

struct DecodedFrame {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // bytes to be consumed from the input
  Message message;
};

// Decodes the message at the start of the input. After a broken frame the rest of the input cannot be
// decoded.
[[nodiscard]] DecodedFrame decode_next_frame(std::string_view input);

// Names, keys and bodies that are too long are truncated to their bounds.
[[nodiscard]] std::string encode(const Message& message);

}  // namespace damsonspoke::wire::tier
