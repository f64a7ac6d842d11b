// The output interface of a membership view: messages to send, state changes and notices.
#pragma once

#include <string>

#include "members/record.h"

namespace damsonspoke::members {

// The state of another member as this member sees it.
enum class MemberState {
  kAlive,
  kFlapping,     // alive, but it has left and returned too often recently
  kUnreachable,  // reported alive by others; or silent together with over half of the fleet
  kSuspected,
  kDead,
  kLeft
};
// The text that operators see.
[[nodiscard]] const char* text_of(MemberState state);

enum class StateChangeReason {
  kDiscovered,
  kGossip,
  kNoAnswer,
  kLinkRestored,
  kLinkPartlyRestored,
  kLinkBroken,
  kSuspicionExpired
};
[[nodiscard]] const char* text_of(StateChangeReason reason);

// An event that concerns this member itself or its part of the fleet.
struct Notice {
  enum class Kind {
    kRefuted,           // this member refuted a suspicion of itself
    kYielded,           // this process yields to an older one with the same name, at `address`
    kIdentityConflict,  // a younger process with the same name has started, at `address`
    kEpochRaised,       // this process raised its epoch above that of a former process
    kMassSilence,       // over half of the fleet is silent at once
    kPaused             // this process did not run for `pause_seconds`
  };
  Kind kind = Kind::kRefuted;
  std::string address;
  double pause_seconds = 0;
};
[[nodiscard]] std::string text_of(const Notice& notice);

// Called from within the view's methods; implementations must not call the view.
class MembershipSink {
 public:
  virtual ~MembershipSink() = default;
  // Sends one datagram; it may be lost.
  virtual void send(const std::string& address, const Message& message) = 0;
  // Starts a push-pull by stream, which ends in MembershipView::on_push_pull or on_push_pull_failed.
  virtual void start_push_pull(const std::string& address) = 0;
  virtual void on_state_changed(const std::string& name, MemberState state, StateChangeReason reason) = 0;
  virtual void on_notice(const Notice& notice) = 0;
};

}  // namespace damsonspoke::members
