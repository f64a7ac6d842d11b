// What forwarders and planners speak to each other, version 1: docs/operators/tier-protocol.md. Frames of a
// length, a kind and fields in network order; all times are durations, so that no two clocks are compared.
// A codec: bytes to typed values and back, lengths bounded before anything is kept.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damsonspoke::wire::tier {

constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 5;           // bytes: length of what follows it (4), kind (1)
constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // bytes; as long as a runtime's result may be: none is cut
constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + 1024;  // bytes of a frame without its head
constexpr std::size_t kMaxNameBytes = 64, kMaxRoutes = 256, kMaxKeyBytes = 255;
constexpr std::uint32_t kNoTimeLimit = 0xffffffff;  // us; "not told"

// First on every link, both ways. An epoch is one life of a process: drawn at its start, never 0.
struct Hello {
  std::uint16_t version = kVersion;
  bool is_planner = false;
  std::uint64_t epoch = 0;
  std::string name;
  std::uint16_t cores = 0;          // of the planner
  std::uint32_t window = 0;         // of the planner: see LoadReport
  std::vector<std::string> routes;  // of the forwarder: requests name them by position
};

// Forwarder to planner.
struct Submit {
  std::uint64_t attempt = 0;  // rises by one in each life of a forwarder; never used again
  std::uint64_t request = 0;
  std::uint16_t route = 0;
  std::uint32_t caller = 0;
  std::uint64_t subject = 0;                  // 0: none
  std::uint32_t size_sixteenth_kb = 0;        // 1/16 kB
  std::uint32_t age_us = 0;                   // since its caller's door, when it was sent
  std::uint32_t remaining_us = kNoTimeLimit;  // that its caller still waits
  bool lookup_only = false;                   // runs nothing: whether its key is known is asked
  std::string idempotency_key;
  std::string body;
};
struct Cancel {  // nobody waits for it any more
  std::uint64_t attempt = 0;
};
struct Fence {  // prove that it never ran, and never let it run; else answer it when it ends
  std::uint64_t attempt = 0;
};

// Planner to forwarder.
enum class Result : std::uint8_t {
  kSucceeded = 0,
  kRejected = 1,        // never ran and never will
  kFailed = 2,          // may have run
  kUnknown = 3,         // it repeats one that ran, whose outcome is not known
  kConflict = 4,        // its key belongs to another body
  kNeverRan = 5,        // the proof that a fence asked for
  kRunning = 6,         // no proof: it has run or runs; its end will be told
  kOutcomeEvicted = 7,  // it was known and has ended, and what came of it is no longer kept
  kKeyUnknown = 8       // to a submit that only asks: nothing of its key is remembered, nothing ran
};
struct Answer {
  std::uint64_t attempt = 0;
  Result result = Result::kFailed;
  std::uint32_t retry_after_us = 0;
  bool no_retry = false;
  std::string body;
};
struct LoadReport {
  std::uint32_t window = 0;            // attempts that may be open on this link; not an increment
  std::uint32_t slot_value_milli = 0;  // 1/1000 of importance: what the next free slot would fetch
  bool is_healthy = true;              // its health
};
struct Draining {  // it leaves: nothing more is to be sent
  std::uint32_t stop_us = 0;
};

// Both ways.
struct Ping {
  std::uint64_t token = 0;
};
struct Pong {
  std::uint64_t token = 0;
};

using Message = std::variant<Hello, Submit, Cancel, Fence, Answer, LoadReport, Draining, Ping, Pong>;

enum class Framing { kNeedMore, kFrame, kBroken };
struct DecodedFrame {
  Framing state = Framing::kNeedMore;
  std::size_t length = 0;  // to be taken off the input
  Message message;
};
// The message that the input starts with. Broken: a length out of bounds, an unknown kind, fields that do not
// fill their frame: nothing after it can be trusted.
DecodedFrame decode_next_frame(std::string_view input);

std::string encode(const Message& message);

}  // namespace damsonspoke::wire::tier
