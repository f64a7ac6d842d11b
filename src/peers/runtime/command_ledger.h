// Tracks the delivery of each command to the runtime: unsent, sent, delivered, or in doubt since its link was
// lost. Decides which commands go over a new link. Policy without I/O: times are passed in (monotonic
// seconds).
//
// Invariants:
// - A command whose last byte was not written to any link was not carried out: it goes over the next link.
// - A command in doubt may have been carried out, and its run may have continued or ended since. It is sent
//   again only where a second one does no harm. A start that must not run twice is never sent twice; neither
//   is a reply, which would answer whichever call its run waits for by then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/request.h"

namespace damsonspoke::peers {

// How a command in doubt is handled.
enum class InDoubt {
  kResend,
  kAwaitNotice,  // never sent again; a notice about its request shows whether it was carried out
  kReplace,      // replaced by a command that has no effect if the first one was carried out
};

// A command as it is added to the ledger.
struct RuntimeCommand {
  std::string text;  // as it is written to the link
  InDoubt in_doubt = InDoubt::kResend;
  std::string replacement;  // of kReplace
  bool is_start = false;    // nothing runs before it is delivered
  double give_up_at = 0;    // from then on no notice about the command in doubt is awaited
};

// How a link ended.
struct LinkLoss {
  double at = 0;                  // when the loss was noticed
  double known_alive_at = 0;      // when the latest request that was answered was sent
  std::uint64_t bytes_taken = 0;  // bytes of the stream that were written to the socket
  bool by_peer = true;            // false: replaced by a new link while it worked
};

// The commands of the requests whose runs have not ended.
class CommandLedger {
 public:
  // Identifies a command: a request has one command for its run at a time, and possibly a stop beside it.
  struct CommandKey {
    RequestId id = 0;
    bool is_stop = false;
  };
  // A command that is to be sent; `text` is valid until the ledger is called again.
  struct Outgoing {
    CommandKey key;
    std::string_view text;
    bool is_resend = false;  // it, or what it replaces, was sent before
  };

  // Adds a command, in place of the former one with this key.
  Outgoing add(CommandKey key, RuntimeCommand command);
  // The command was written to the link, up to byte `stream_end` of its stream; has no effect where its
  // request is unknown.
  void mark_sent(CommandKey key, std::uint64_t stream_end, double now);

  // The position of the latest command on this link, for mark_arrived().
  [[nodiscard]] std::uint64_t last_sent() const { return last_position_; }
  // The runtime has read the link up to this position.
  void mark_delivered(std::uint64_t position);
  // Whether a command on this link is not known to be delivered.
  [[nodiscard]] bool has_unacknowledged() const;

  // Updates the delivery of each command; returns for how many runs a command in doubt now awaits a notice
  // that did not before.
  std::size_t on_link_lost(const LinkLoss& loss);
  // The commands to send over the new link, in the order in which they were issued; the caller marks each
  // as sent.
  [[nodiscard]] std::vector<Outgoing> take_sendable();

  // Notices were lost for good: any run that was started may have ended, or may wait for a call, without a
  // notice of it.
  void on_notices_lost();
  // A notice reported that the run waits for a call: its last command was delivered.
  void on_call_wanted(RequestId id);
  // The run or its request has ended: removes its commands.
  void erase(RequestId id) { requests_.erase(id); }
  // The runtime was restarted: removes all but the starts that only the new process can have received, and
  // returns their requests.
  std::unordered_set<RequestId> on_restart();

  // Whether the command of the run is a start that was issued after the last link was lost, so that no
  // runtime process received it before.
  [[nodiscard]] bool is_new_start(RequestId id) const;
  // Whether the command of the run was sent more than once.
  [[nodiscard]] bool was_resent(RequestId id) const;
  // The requests whose starts or replies are in doubt, or whose notices may be lost: when the first is to
  // be given up, and which are to be given up by now.
  [[nodiscard]] std::optional<double> next_give_up() const;
  [[nodiscard]] std::vector<RequestId> requests_to_give_up(double now) const;

 private:
  enum class Delivery {
    kUnsent,     // not completely written to any link
    kSent,       // completely written to this link
    kDelivered,  // the runtime has answered a later request on this link
    kInDoubt,    // completely written to a link that was lost
  };
  struct Entry {
    std::uint64_t number = 0;  // in the order of issue; 0: none
    RuntimeCommand command;
    Delivery delivery = Delivery::kUnsent;
    int send_count = 0;
    std::uint64_t position = 0;    // on the current link
    std::uint64_t stream_end = 0;  // of its last byte on it
    double sent_at = 0;            // the last time
  };
  struct RequestEntries {
    Entry run;
    Entry stop;
    double give_up_at = 0;  // of its last start, resumption or reply
    bool may_have_ended = false;
  };

  static void update_delivery(Entry& entry, const LinkLoss& loss);
  [[nodiscard]] static bool is_sendable(const Entry& entry);
  [[nodiscard]] static bool awaits_notice(const Entry& entry);
  [[nodiscard]] static bool is_to_be_given_up(const RequestEntries& entries);

  std::unordered_map<RequestId, RequestEntries> requests_;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_number_before_link_ = 0;  // the last number when the last link was lost
  std::uint64_t last_position_ = 0;
};

}  // namespace damsonspoke::peers
