// What is known of each command to the runtime: whether it has left, has arrived, or is in doubt since the
// link that took it was lost. Decides which commands go over a new link. Policy without I/O: times are handed
// in (monotonic seconds).
//
// Invariants:
// - A command whose last byte no link has taken was not carried out: it goes over the next link.
// - A command in doubt may have been carried out, and its run may have gone on or ended meanwhile. It is sent
//   again only where a second one does no harm; a start that must not run twice and a reply, which would
//   answer whichever call its run waits for by then, are never sent twice.
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

// What becomes of a command in doubt.
enum class InDoubt {
  kResend,
  kAwaitNotice,  // never sent again; a notice about its request tells how it went
  kReplace,      // another command takes its place that has no effect where the first one was carried out
};

// A command as it is handed to the ledger.
struct RuntimeCommand {
  std::string text;  // as it is written to the link
  InDoubt in_doubt = InDoubt::kResend;
  std::string replacement;  // of kReplace
  bool is_start = false;    // nothing runs before it has arrived
  double give_up_at = 0;    // of one that waits in doubt: from then on no notice is awaited
};

// How a link ended.
struct LinkLoss {
  double at = 0;                  // when this was noticed
  double known_alive_at = 0;      // it answered what was asked at this time
  std::uint64_t bytes_taken = 0;  // of the stream, by the system
  bool by_peer = true;            // false: it was replaced while it worked
};

// The commands of the requests whose runs are not over.
class CommandLedger {
 public:
  // Names a command: a request has one of its run at a time, and one stop beside it.
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

  // Remembers a command, in place of the former one with this key.
  Outgoing add(CommandKey key, RuntimeCommand command);
  // It was written to the link, up to this byte of its stream; without effect where its request is unknown.
  void mark_sent(CommandKey key, std::uint64_t stream_end, double now);

  // The position of the latest command on this link, for mark_arrived().
  [[nodiscard]] std::uint64_t last_sent() const { return last_position_; }
  // The runtime has read the link up to this position.
  void mark_delivered(std::uint64_t position);
  // Whether a command on this link is not known to have arrived.
  [[nodiscard]] bool has_unacknowledged() const;

  // Settles what has become of each command; returns how many runs' commands wait in doubt from now on.
  std::size_t on_link_lost(const LinkLoss& loss);
  // What goes over the new link, in the order in which it was issued; the caller marks each as sent.
  [[nodiscard]] std::vector<Outgoing> take_sendable();

  // Notices were lost for good: any run that was begun may have ended, or wait for a call, unheard of.
  void on_notices_lost();
  // A notice tells that the run waits for a call: its last command has arrived.
  void on_call_wanted(RequestId id);
  // The run is over, or its request is: forgets their commands.
  void erase(RequestId id) { requests_.erase(id); }
  // The runtime was restarted: forgets all but the starts that only the new process may have heard of, and
  // returns their requests.
  std::unordered_set<RequestId> on_restart();

  // Whether it is a start that was issued after the last link was lost: no runtime heard of it before.
  [[nodiscard]] bool is_new_start(RequestId id) const;
  // Whether the command of the run was sent more than once.
  [[nodiscard]] bool was_resent(RequestId id) const;
  // Of the requests whose starts or replies wait in doubt, or whose notices may be lost: when the first is to
  // be given up, and which are by now.
  [[nodiscard]] std::optional<double> next_give_up() const;
  [[nodiscard]] std::vector<RequestId> requests_to_give_up(double now) const;

 private:
  enum class Delivery {
    kUnsent,     // no link has taken all of it
    kSent,       // this link has taken it
    kDelivered,  // proven by what the runtime answered behind it
    kInDoubt,    // a lost link had taken it
  };
  struct Entry {
    std::uint64_t number = 0;  // in the order of issue; 0: none
    RuntimeCommand command;
    Delivery delivery = Delivery::kUnsent;
    int send_count = 0;
    std::uint64_t position = 0;    // on the present link
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
  std::uint64_t last_number_before_link_ = 0;  // the last number as the last link was lost
  std::uint64_t last_position_ = 0;
};

}  // namespace damsonspoke::peers
