// Messages of members: a decoded message survives encoding and decoding, and a view stays consistent after
// handling it.
#include "wire/members.h"

#include <cstdlib>
#include <string>
#include <string_view>

#include "members/membership_view.h"

namespace {

struct DiscardingSink : damsonspoke::members::MembershipSink {
  void send(const std::string&, const damsonspoke::members::Message& message) override {
    if (damsonspoke::wire::members::encode("c", message).size() >
        damsonspoke::wire::members::kMaxDatagramBytes)
      std::abort();
  }
  void start_push_pull(const std::string&) override {}
  void on_state_changed(const std::string&, damsonspoke::members::MemberState,
                        damsonspoke::members::StateChangeReason) override {}
  void on_notice(const damsonspoke::members::Notice&) override {}
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace damsonspoke::members;
  namespace wm = damsonspoke::wire::members;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto exchange = wm::decode_push_pull("c", bytes);
  if (exchange.is_complete && exchange.bytes_used > bytes.size()) std::abort();
  const wm::DecodedMessage read = wm::decode("c", bytes);
  if (read.error != wm::DecodeError::kNone) return 0;
  const std::string again = wm::encode("c", read.message);
  const wm::DecodedMessage second = wm::decode("c", again);
  if (second.error != wm::DecodeError::kNone || second.message.sender != read.message.sender) std::abort();
  if (second.message.records.size() > read.message.records.size()) std::abort();
  for (std::size_t i = 0; i < second.message.records.size(); ++i) {
    if (!(second.message.records[i] == read.message.records[i])) std::abort();
  }
  DiscardingSink sink;
  MembershipView view({}, {"self", "127.0.0.1:1", 1000}, {}, 1, sink);
  view.start(0);
  for (double now = 0; now < 3; now += 0.05) {
    if (now >= view.next_timer_at()) view.on_timer(now);
    if (now < 0.2) view.on_message("127.0.0.1:2", read.message, now);
  }
  if (!view.has_yielded() && view.self_record(3).condition != Condition::kAlive) std::abort();
  return 0;
}
