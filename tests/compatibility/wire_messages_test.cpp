// Guards against an unintended change of the wire formats: encoded messages equal the bytes recorded from
// version 0.3.0, and the bytes recorded from either side decode to the values that they were encoded from.
#include <gtest/gtest.h>

#include <functional>

#include "control/lines.h"
#include "recorded_messages.h"
#include "wire/ajp.h"
#include "wire/dependency_lines.h"
#include "wire/members.h"
#include "wire/registry_report.h"
#include "wire/rpc.h"
#include "wire/runtime_lines.h"
#include "wire/tier.h"

using namespace damsonspoke;
using damsonspoke::testing::escaped;
using damsonspoke::testing::recorded_messages;

namespace {

using Messages = std::map<std::string, std::string>;

void expect_recorded(const std::string& file, const Messages& encoded) {
  const Messages recorded = recorded_messages(file);
  for (const auto& [name, bytes] : encoded) {
    ASSERT_TRUE(recorded.contains(name)) << name;
    EXPECT_EQ(escaped(bytes), escaped(recorded.at(name))) << name;
  }
  EXPECT_EQ(encoded.size(), recorded.size());
}

// ---- JSON-RPC with callers.
TEST(JsonRpcMessages, ResponsesAreEncodedAsRecorded) {
  using namespace wire;
  expect_recorded("json_rpc_answers.txt",
                  {{"result", encode_result(7, "ten bytes.")},
                   {"result_empty", encode_result(8, "")},
                   {"failed", encode_error(9, RpcError::kFailed, "failed")},
                   {"outcome_unknown", encode_error(10, RpcError::kOutcomeUnknown, "outcome unknown")},
                   {"key_conflict", encode_error(11, RpcError::kKeyConflict, "key conflict")},
                   {"parse_error", encode_error(0, RpcError::kParse, "parse \"error\"")},
                   {"invalid_request", encode_error(12, RpcError::kRequest, "invalid request")},
                   {"unknown_method", encode_error(13, RpcError::kMethod, "unknown method")},
                   {"invalid_params", encode_error(14, RpcError::kParams, "invalid params")},
                   {"nack", encode_rejection(15, 0, false)},
                   {"nack_later", encode_rejection(16, 249.2, false)},
                   {"nack_no_retry", encode_rejection(17, 0, true)},
                   {"nack_later_no_retry", encode_rejection(18, 1500, true)},
                   {"check_passes", encode_health(19, true)},
                   {"check_fails", encode_health(20, false)},
                   {"no_more", encode_drain_notice()}});
}

TEST(JsonRpcMessages, RecordedRequestsDecodeToTheirValues) {
  using namespace wire;
  const Messages recorded = recorded_messages("json_rpc_requests.txt");
  const auto decoded = [&](const std::string& name, std::string_view key_field = {}) {
    const std::string& bytes = recorded.at(name);
    const Frame frame = next_frame(bytes);
    EXPECT_EQ(frame.state, Framing::kFrame) << name;
    EXPECT_EQ(frame.length, bytes.size()) << name;
    RpcRequest request;
    EXPECT_EQ(decode_request(frame.body, request, key_field), RpcProblem::kNone) << name;
    return request;
  };

  const RpcRequest all = decoded("all_params", "unique");
  EXPECT_EQ(all.id, 42u);
  EXPECT_EQ(all.method, "rate-push");
  EXPECT_EQ(all.request_id, 0x1234abcd5678ef90u);
  EXPECT_EQ(all.received_at_ms, 1700000000123.5);
  EXPECT_EQ(all.client_timeout_ms, 900);
  EXPECT_EQ(all.work_ms, 12.5);
  EXPECT_EQ(all.size_kb, 24);
  EXPECT_EQ(all.subject, 0xabcu);
  EXPECT_EQ(all.idempotency_key, "key-1");
  EXPECT_EQ(all.tenant, "north");
  EXPECT_EQ(all.body, "hello");
  EXPECT_EQ(all.caller, 3u);
  EXPECT_FALSE(all.is_notification);
  EXPECT_TRUE(all.has_id && all.has_request_id && all.has_subject && all.has_idempotency_key);
  EXPECT_FALSE(all.requires_self_test);
  EXPECT_TRUE(all.is_retry);

  const RpcRequest minimal = decoded("least_params");
  EXPECT_EQ(minimal.id, 43u);
  EXPECT_EQ(minimal.method, "avail-read");
  EXPECT_FALSE(minimal.has_subject || minimal.has_idempotency_key || minimal.is_retry ||
               minimal.requires_self_test);
  EXPECT_EQ(minimal.client_timeout_ms, 0);

  const RpcRequest work = decoded("work_param");
  EXPECT_EQ(work.work_ms, 8);

  EXPECT_TRUE(decoded("probe").requires_self_test);
  EXPECT_TRUE(decoded("notification").is_notification);
  EXPECT_EQ(recorded.size(), 5u);
}

// ---- Lines to and from the runtime.
TEST(RuntimeMessages, CommandsAreEncodedAsRecorded) {
  using namespace wire;
  expect_recorded("runtime_commands.txt", {{"sync", encode_sync(17)},
                                           {"start", encode_start(0xabc, "rate-push", "body\r\n.")},
                                           {"stop", encode_stop(0xabc)},
                                           {"resume", encode_resume(0xabd)},
                                           {"give", encode_call_reply(0xabe, "reply")},
                                           {"omit", encode_skip_call(0xabf, 9)},
                                           {"gauges", encode_gauges_request(4)},
                                           {"self_test", encode_self_test(5)}});
}

TEST(RuntimeMessages, RecordedNoticesDecodeToTheirValues) {
  using namespace wire;
  const Messages recorded = recorded_messages("runtime_notices.txt");
  const auto decoded = [&](const std::string& name) {
    const NoticeRead read = next_notice(recorded.at(name));
    EXPECT_EQ(read.state, LineState::kLine) << name;
    EXPECT_EQ(read.length, recorded.at(name).size()) << name;
    return read.notice;
  };
  EXPECT_EQ(decoded("ready_cold").kind, NoticeKind::kReady);
  EXPECT_TRUE(decoded("ready_cold").is_cold);
  EXPECT_EQ(decoded("ready_cold").ms, 250);
  EXPECT_FALSE(decoded("ready_warm").is_cold);

  const Notice complete = decoded("end_complete");
  EXPECT_EQ(complete.kind, NoticeKind::kRunEnd);
  EXPECT_EQ(complete.number, 3u);
  EXPECT_EQ(complete.id, 0xabcu);
  EXPECT_EQ(complete.end, RunEnd::kComplete);
  EXPECT_EQ(complete.ms, 12.5);
  EXPECT_EQ(complete.body, "done\r\n!");
  EXPECT_EQ(decoded("end_error").end, RunEnd::kError);
  EXPECT_EQ(decoded("end_cancelled").end, RunEnd::kCancelled);
  EXPECT_EQ(decoded("end_unknown").end, RunEnd::kUnknown);

  const Notice call_requested = decoded("wants");
  EXPECT_EQ(call_requested.kind, NoticeKind::kCallRequested);
  EXPECT_EQ(call_requested.number, 7u);
  EXPECT_EQ(call_requested.body, "question");
  EXPECT_EQ(decoded("load").gauges, (std::vector<double>{0.5, 3, 0.25, 17}));
  EXPECT_EQ(decoded("load").tag, 4u);
  EXPECT_TRUE(decoded("verdict_good").has_passed);
  EXPECT_FALSE(decoded("verdict_bad").has_passed);
  EXPECT_EQ(decoded("nack").kind, NoticeKind::kRejection);
  EXPECT_EQ(decoded("nack").command, "start");
  EXPECT_EQ(decoded("info").kind, NoticeKind::kRemark);
  EXPECT_EQ(recorded.size(), 12u);
}

// ---- Lines to and from the dependency.
TEST(DependencyMessages, CommandsAreEncodedAsRecorded) {
  using namespace wire;
  expect_recorded("dependency_commands.txt",
                  {{"call", encode_call(0xabc, 350, "question")}, {"cancel", encode_cancel(0xabc)}});
}

TEST(DependencyMessages, RecordedRepliesDecodeToTheirValues) {
  using namespace wire;
  const Messages recorded = recorded_messages("dependency_replies.txt");
  const std::map<std::string, CallEnd> ends = {
      {"ok", CallEnd::kOk},           {"overload", CallEnd::kRejected},
      {"internal", CallEnd::kFailed}, {"deadline", CallEnd::kTimedOut},
      {"stale", CallEnd::kObsolete},  {"other", CallEnd::kUnknown}};
  for (const auto& [name, end] : ends) {
    const ReplyRead read = next_reply(recorded.at(name));
    EXPECT_EQ(read.state, LineState::kLine) << name;
    EXPECT_EQ(read.length, recorded.at(name).size()) << name;
    EXPECT_EQ(read.end, end) << name;
    EXPECT_EQ(read.id, 0xabcu) << name;
    EXPECT_EQ(read.body, name == "ok" ? "reply" : "") << name;
  }
  EXPECT_EQ(recorded.size(), ends.size());
}

// ---- Reports to the registry.
TEST(RegistryMessages, ReportsAreEncodedAsRecorded) {
  expect_recorded("registry_reports.txt", {{"takes_work", wire::encode_report("relay-1", true)},
                                           {"takes_no_work", wire::encode_report("relay-1", false)}});
}

// ---- Forwarders and planners.
std::map<std::string, wire::tier::Message> tier_messages() {
  using namespace wire::tier;
  Hello planner;
  planner.is_planner = true;
  planner.epoch = 0x1122334455667788;
  planner.name = "planner-1";
  planner.cores = 4;
  planner.window = 64;
  Hello forwarder;
  forwarder.epoch = 5;
  forwarder.name = "forwarder-1";
  forwarder.routes = {"avail-read", "rate-push"};
  Submit submit;
  submit.attempt = 9;
  submit.request = 10;
  submit.route = 1;
  submit.caller = 3;
  submit.subject = 0xfeed;
  submit.size_sixteenth_kb = 384;
  submit.age_us = 1500;
  submit.remaining_us = 250000;
  submit.idempotency_key = "key-1";
  submit.body = "body";
  Submit lookup = submit;
  lookup.is_lookup_only = true;
  std::map<std::string, Message> messages = {{"hello_planner", planner},
                                             {"hello_forwarder", forwarder},
                                             {"submit", submit},
                                             {"submit_known_only", lookup},
                                             {"cancel", Cancel{11}},
                                             {"fence", Fence{12}},
                                             {"window", LoadReport{32, 750, true}},
                                             {"window_bad", LoadReport{1, 0, false}},
                                             {"no_more", Draining{3000000}},
                                             {"ping", Ping{77}},
                                             {"pong", Pong{78}}};
  for (std::uint8_t result = 0; result <= 8; ++result) {
    messages["answer_" + std::to_string(result)] =
        Answer{20u + result, static_cast<Result>(result), 5000u * result, result % 2 == 1, "reply"};
  }
  return messages;
}

TEST(TierMessages, AreEncodedAsRecordedAndDecodeAgain) {
  Messages encoded;
  for (const auto& [name, message] : tier_messages()) encoded[name] = wire::tier::encode(message);
  expect_recorded("tier.txt", encoded);
  for (const auto& [name, bytes] : recorded_messages("tier.txt")) {
    const wire::tier::DecodedFrame frame = wire::tier::decode_next_frame(bytes);
    EXPECT_EQ(frame.state, wire::tier::Framing::kFrame) << name;
    EXPECT_EQ(frame.length, bytes.size()) << name;
    EXPECT_EQ(frame.message.index(), tier_messages().at(name).index()) << name;
    EXPECT_EQ(escaped(wire::tier::encode(frame.message)), escaped(bytes)) << name;
  }
}

// ---- AJP.
std::map<std::string, wire::ajp::FromGateway> gateway_messages() {
  using namespace wire::ajp;
  ForwardRequest request;
  request.method = "POST";
  request.protocol = "HTTP/1.1";
  request.uri = "/rates/push";
  request.remote_address = "127.0.0.1";
  request.remote_host = "gateway";
  request.server_name = "localhost";
  request.server_port = 8009;
  request.secure = true;
  request.headers = {{"host", "localhost"}, {"content-length", "5"}, {"x-request-id", "7"}};
  request.attributes = {{Attribute::kQueryString, "", "a=1", 0},
                        {Attribute::kRequest, "deadline", "900", 0},
                        {Attribute::kSslKeySize, "", "", 256},
                        {Attribute::kSecret, "", "word", 0}};
  return {{"forward_request", request},
          {"shutdown", Shutdown{}},
          {"ping", wire::ajp::Ping{}},
          {"cping", CPing{}}};
}

std::map<std::string, wire::ajp::FromServer> server_messages() {
  using namespace wire::ajp;
  return {{"send_headers", SendHeaders{200, "OK", {{"content-type", "text/plain"}, {"x-other", "1"}}}},
          {"send_headers_unavailable", SendHeaders{503, "Service Unavailable", {{"retry-after", "1"}}}},
          {"send_body_chunk", SendBodyChunk{"hello"}},
          {"end_response", EndResponse{true}},
          {"end_response_close", EndResponse{false}},
          {"get_body_chunk", GetBodyChunk{8186}},
          {"cpong", CPong{}}};
}

TEST(AjpMessages, OfGatewaysAreEncodedAsRecordedAndDecodeAgain) {
  using namespace wire::ajp;
  Messages encoded;
  for (const auto& [name, message] : gateway_messages()) encoded[name] = encode(message);
  expect_recorded("ajp_gateway.txt", encoded);
  for (const auto& [name, bytes] : recorded_messages("ajp_gateway.txt")) {
    const Packet packet = next_packet(bytes, From::kGateway, kDefaultPacketBytes);
    ASSERT_EQ(packet.state, Framing::kPacket) << name;
    const std::optional<FromGateway> message = decode_from_gateway(packet.payload);
    ASSERT_TRUE(message.has_value()) << name;
    EXPECT_TRUE(*message == gateway_messages().at(name)) << name;
  }
}

TEST(AjpMessages, OfServersAreEncodedAsRecordedAndDecodeAgain) {
  using namespace wire::ajp;
  Messages encoded;
  for (const auto& [name, message] : server_messages()) encoded[name] = encode(message);
  expect_recorded("ajp_server.txt", encoded);
  for (const auto& [name, bytes] : recorded_messages("ajp_server.txt")) {
    const Packet packet = next_packet(bytes, From::kServer, kDefaultPacketBytes);
    ASSERT_EQ(packet.state, Framing::kPacket) << name;
    const std::optional<FromServer> message = decode_from_server(packet.payload);
    ASSERT_TRUE(message.has_value()) << name;
    EXPECT_TRUE(*message == server_messages().at(name)) << name;
  }
}

TEST(AjpMessages, BodiesAreEncodedAsRecordedAndDecodeAgain) {
  using namespace wire::ajp;
  expect_recorded("ajp_body.txt", {{"piece", encode_body("hello")}, {"end", encode_body_end()}});
  const Messages recorded = recorded_messages("ajp_body.txt");
  EXPECT_EQ(decode_body(next_packet(recorded.at("piece"), From::kGateway, kDefaultPacketBytes).payload),
            "hello");
  EXPECT_EQ(decode_body(next_packet(recorded.at("end"), From::kGateway, kDefaultPacketBytes).payload), "");
}

// ---- Membership.
members::Record full_record() {
  members::Record record;
  record.name = "relay-1";
  record.epoch = 0x123456789abcd;
  record.conflicting_epoch = 0x123456789abce;
  record.incarnation = 4;
  record.condition = members::Condition::kSuspected;
  record.address = "127.0.0.1:7000";
  record.longest_pause_ms = 120;
  record.load_report = {
      3, "relay", "north", "0.3.0", 8, 0xdef, 12, 640, 7, members::DependencyState::kSlow, "127.0.0.1:7100"};
  record.load_report_age_ms = 900;
  record.accusers = {"relay-2", "relay-3"};
  record.last_datagram_number = 99;
  record.broken_links = {{"relay-4", true, 1500}, {"relay-5", false, 20}};
  return record;
}

std::map<std::string, members::Message> member_messages() {
  members::Record minimal;
  minimal.name = "relay-9";
  minimal.epoch = 1;
  minimal.address = "127.0.0.1:7009";
  members::Message ping;
  ping.kind = members::MessageKind::kPing;
  ping.sender = "relay-1";
  ping.sender_epoch = 6;
  ping.datagram_number = 7;
  ping.probe_id = 8;
  ping.target = "relay-2";
  ping.membership_digest = 0xabcdef;
  members::Message ack = ping;
  ack.kind = members::MessageKind::kAck;
  ack.requested_by = "relay-3";
  ack.direct_ping_received = true;
  members::Message ping_request = ping;
  ping_request.kind = members::MessageKind::kPingRequest;
  ping_request.direct_probe_id = 5;
  members::Message negative_ack = ping_request;
  negative_ack.kind = members::MessageKind::kNegativeAck;
  members::Message gossip;
  gossip.kind = members::MessageKind::kGossip;
  gossip.sender = "relay-1";
  gossip.sender_epoch = 6;
  gossip.datagram_number = 9;
  gossip.records = {minimal, full_record()};
  return {{"ping", ping}, {"ack", ack}, {"ask", ping_request}, {"silent", negative_ack}, {"gossip", gossip}};
}

TEST(MemberMessages, DatagramsAreEncodedAsRecordedAndDecodeAgain) {
  namespace wm = wire::members;
  Messages encoded;
  for (const auto& [name, message] : member_messages()) encoded[name] = wm::encode("fleet", message);
  expect_recorded("members_datagrams.txt", encoded);
  for (const auto& [name, bytes] : recorded_messages("members_datagrams.txt")) {
    const wm::DecodedMessage read = wm::decode("fleet", bytes);
    ASSERT_EQ(read.error, wm::DecodeError::kNone) << name;
    EXPECT_EQ(read.message.kind, member_messages().at(name).kind) << name;
    EXPECT_EQ(read.message.records, member_messages().at(name).records) << name;
    EXPECT_EQ(escaped(wm::encode("fleet", read.message)), escaped(bytes)) << name;
  }
}

TEST(MemberMessages, PushPullsAreEncodedAsRecordedAndDecodeAgain) {
  namespace wm = wire::members;
  const std::vector<members::Record> records = {full_record(), full_record()};
  expect_recorded("members_exchange.txt", {{"exchange", wm::encode_push_pull("fleet", records)}});
  const std::string bytes = recorded_messages("members_exchange.txt").at("exchange");
  const wm::DecodedPushPull read = wm::decode_push_pull("fleet", bytes);
  EXPECT_EQ(read.error, wm::DecodeError::kNone);
  EXPECT_TRUE(read.is_complete);
  EXPECT_EQ(read.bytes_used, bytes.size());
  EXPECT_EQ(read.records, records);
}

// ---- The control socket.
TEST(ControlMessages, AreEncodedAsRecordedAndDecodeAgain) {
  using namespace control;
  const std::vector<std::string> tokens = {"members", "show", "all"};
  expect_recorded("control.txt", {{"request", encode_query(tokens)},
                                  {"answer", encode_response("two\nlines\n")},
                                  {"error", control::encode_error("no such question")}});
  const Messages recorded = recorded_messages("control.txt");
  EXPECT_EQ(parse_query(recorded.at("request")).tokens, tokens);
  EXPECT_TRUE(parse_response(recorded.at("answer")).is_ok);
  EXPECT_EQ(parse_response(recorded.at("answer")).text, "two\nlines\n");
  EXPECT_FALSE(parse_response(recorded.at("error")).is_ok);
  EXPECT_EQ(parse_response(recorded.at("error")).text, "no such question");
}

}  // namespace
