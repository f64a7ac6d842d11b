#include "members/membership_sink.h"

namespace damsonspoke::members {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

const char* text_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive: return "there";
    case MemberState::kFlapping: return "unsettled";
    case MemberState::kUnreachable: return "cut";
    case MemberState::kSuspected: return "suspected";
    case MemberState::kDead: return "dead";
    case MemberState::kLeft: return "left";
  }
  return "";
}

const char* text_of(StateChangeReason reason) {
  switch (reason) {
    case StateChangeReason::kDiscovered: return "discovered";
    case StateChangeReason::kGossip: return "reported by gossip";
    case StateChangeReason::kNoAnswer: return "no answer to direct and indirect probes";
    case StateChangeReason::kLinkRestored: return "answers direct probes again";
    case StateChangeReason::kLinkPartlyRestored: return "one direction of the link works again";
    case StateChangeReason::kLinkBroken: return "answers indirect probes only";
    case StateChangeReason::kSuspicionExpired: return "suspicion timed out";
  }
  return "";
}

std::string text_of(const Notice& notice) {
  switch (notice.kind) {
    case Notice::Kind::kRefuted: return "refuted a suspicion of this member";
    case Notice::Kind::kYielded:
      return "an older process under this name still runs at " + notice.address + ": this one yields";
    case Notice::Kind::kIdentityConflict:
      return "a younger process under this name has started at " + notice.address;
    case Notice::Kind::kEpochRaised: return "raised the epoch beyond that of a former process";
    case Notice::Kind::kMassSilence:
      return "over half of the fleet is silent at once: no deaths are declared, this member may be "
             "disconnected";
    case Notice::Kind::kPaused:
      return "this process was paused for " +
             std::to_string(static_cast<int>(notice.pause_seconds * kMillisecondsPerSecond)) + " ms";
  }
  return "";
}

}  // namespace damsonspoke::members
