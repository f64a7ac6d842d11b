// AJP without sockets: packets made by hand, round trips, the operators' table, and how listeners share
// connections. CTest compares with tests/traces/ajp_NAME.txt. usage: ajp SCENARIO
#include "wire/ajp.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstring>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ajp_gateway.h"
#include "conns/connection_quota.h"
#include "settings/ajp_routes.h"

using namespace damsonspoke;
namespace wa = damsonspoke::wire::ajp;
namespace raw_ajp = damsonspoke::standins::raw_ajp;

namespace {

std::string_view payload(const std::string& packet) { return std::string_view(packet).substr(4); }
const char* name_of(wa::Framing framing) {
  return framing == wa::Framing::kPacket ? "complete" : framing == wa::Framing::kNeedMore ? "more" : "broken";
}

void request(const char* what, const std::string& packet) {
  const auto message = wa::decode_from_gateway(payload(packet));
  if (!message) return fmt::print("{}: invalid\n", what);
  if (std::holds_alternative<wa::Shutdown>(*message)) return fmt::print("{}: shutdown\n", what);
  if (std::holds_alternative<wa::Ping>(*message)) return fmt::print("{}: ping\n", what);
  if (std::holds_alternative<wa::CPing>(*message)) return fmt::print("{}: cping\n", what);
  const auto& r = std::get<wa::ForwardRequest>(*message);
  fmt::print("{}: {} {} by {}, {}:{}{}", what, r.method.empty() ? "no method" : r.method, r.uri, r.protocol,
             r.server_name, r.server_port, r.secure ? ", secure" : "");
  for (const wa::Header& h : r.headers) fmt::print(", {}={}", h.name, h.value);
  for (const wa::Attribute& a : r.attributes)
    fmt::print(", [{} {}{}={}]", int{a.kind}, a.name, a.number, a.value);
  fmt::print("\n");
}

// Packets made byte by byte according to the description.
void packets() {
  const std::string sound = raw_ajp::forward_request(
      {4, "/a/b", {{"content-length", "5"}, {"X-Thing", "7"}}, "q=1", "word", {{"AJP_REMOTE_PORT", "9"}}});
  request("a request", sound);
  std::string bytes = "\x02\xff";  // a method that is stored
  bytes += std::string("\x00\x08HTTP/1.0\x00", 11) + std::string("\x00\x02/x\x00", 5) +
           std::string("\xff\xff\xff\xff\xff\xff", 6) +
           std::string("\x00\x50\x01\x00\x01\xa0\x0b\x00\x01h\x00", 11);
  const std::string head = bytes;
  bytes += std::string("\x0d\x00\x05PATCH\x00\x0b\x01\x00\xff", 13);
  request("a stored method, no strings, a coded header name, a key size", raw_ajp::packet(bytes));
  request("a missing stored method", raw_ajp::packet(head + "\xff"));
  request("two stored methods", raw_ajp::packet(head + std::string("\x0d\x00\x01"
                                                                   "A\x00\x0d\x00\x01"
                                                                   "B\x00\xff",
                                                                   11)));
  request("a method beside a stored one", raw_ajp::packet('\x02' + std::string("\x02") + head.substr(2) +
                                                          std::string("\x0d\x00\x01"
                                                                      "A\x00\xff",
                                                                      6)));
  request("no end of attributes", raw_ajp::packet(head));
  request("an unknown attribute", raw_ajp::packet(head + "\x0e\xff"));
  request("bytes after the end", raw_ajp::packet(head + "\xff\x01"));
  std::string modified = head + "\xff";
  modified[1] = '\x1c';
  request("an unknown method", raw_ajp::packet(modified));
  modified = head + "\xff";
  modified[modified.find("\xa0\x0b") + 1] = '\x0f';
  request("an unknown header", raw_ajp::packet(modified));
  modified = head + "\xff";
  modified[modified.find("\x01\xa0\x0b") - 1] = '\x7f';
  request("32513 announced headers", raw_ajp::packet(modified));
  raw_ajp::Request many;
  for (int i = 0; i < 64; ++i) many.headers.emplace_back("h", "v");
  request("64 headers", raw_ajp::forward_request(many).substr(0, 0) + raw_ajp::forward_request(many));
  many.headers.emplace_back("h", "v");
  request("65 headers", raw_ajp::forward_request(many));
  raw_ajp::Request attributes;
  for (int i = 0; i < 33; ++i) attributes.attributes.emplace_back("a", "v");
  request("33 attributes", raw_ajp::forward_request(attributes));
  raw_ajp::Request nul;
  nul.uri = std::string("/a\0b", 4);
  request("a NUL inside", raw_ajp::forward_request(nul));
  request("shutdown", raw_ajp::packet("\x07"));
  request("ping", raw_ajp::packet("\x08"));
  request("cping", raw_ajp::cping());
  request("a packet of a server", raw_ajp::packet("\x05\x01"));
  request("an empty payload", raw_ajp::packet(""));
  const auto framing = [](const char* what, std::string_view input,
                          std::size_t max_bytes = wa::kDefaultPacketBytes,
                          wa::From from = wa::From::kGateway) {
    fmt::print("{}: {}\n", what, name_of(wa::next_packet(input, from, max_bytes).state));
  };
  framing("a packet", sound);
  framing("a packet without its last byte", std::string_view(sound).substr(0, sound.size() - 1));
  framing("a server's magic", "A");
  framing("a magic with a wrong second byte", "\x12\x35");
  framing("8188 bytes in 8 KiB", std::string("\x12\x34\x1f\xfc", 4) + std::string(8188, 'x'));
  framing("8189 bytes in 8 KiB", std::string("\x12\x34\x1f\xfd", 4));
  framing("the maximum length", std::string("\x12\x34\xff\xfc", 4), wa::kMaxPacketBytes);
  framing("above the maximum length", std::string("\x12\x34\xff\xfd", 4), wa::kMaxPacketBytes);
  const auto piece = [](const char* what, const std::string& packet) {
    const auto got = wa::decode_body(payload(packet));
    fmt::print("{}: {}\n", what, got ? fmt::format("{} bytes", got->size()) : "invalid");
  };
  piece("a piece", raw_ajp::body_piece("abc"));
  piece("the end", raw_ajp::body_piece(""));
  piece("a piece of no bytes", raw_ajp::packet(std::string("\x00\x00", 2)));
  piece("shorter than its length", raw_ajp::packet(std::string("\x00\x05"
                                                               "abc",
                                                               5)));
  piece("longer than its length", raw_ajp::packet(std::string("\x00\x01"
                                                              "abc",
                                                              5)));
}

std::string text(pcg32& random, std::size_t max_bytes) {
  std::string out(random() % (max_bytes + 1), ' ');
  for (char& c : out) c = static_cast<char>('!' + random() % 90);
  return out;
}

// Each message that one side encodes is decoded by the other; any truncated packet needs more input.
void round_trips() {
  pcg32 random(11);
  int gateways = 0, servers = 0, mismatches = 0;
  const auto cut_anywhere = [&](const std::string& bytes, wa::From from) {
    for (std::size_t i = 0; i < bytes.size(); i += 1 + bytes.size() / 40)
      mismatches += wa::next_packet(std::string_view(bytes).substr(0, i), from, wa::kMaxPacketBytes).state !=
                    wa::Framing::kNeedMore;
    const wa::Packet packet = wa::next_packet(bytes + "rest", from, wa::kMaxPacketBytes);
    mismatches += packet.state != wa::Framing::kPacket || packet.length != bytes.size();
    return payload(bytes);
  };
  const char* const kNames[] = {"content-type", "content-length", "x-any", "host", "status", "set-cookie"};
  for (int i = 0; i < 3000; ++i) {
    wa::ForwardRequest r;
    r.method = i % 5 == 0 ? "PATCH" : i % 2 == 0 ? "GET" : "BASELINE_CONTROL";
    r.protocol = text(random, 10), r.uri = text(random, 300), r.remote_address = text(random, 15);
    r.remote_host = text(random, 20), r.server_name = text(random, 20);
    r.server_port = static_cast<std::uint16_t>(random()), r.secure = random() % 2 == 0;
    for (unsigned n = random() % 9; n > 0; --n) r.headers.push_back({kNames[random() % 6], text(random, 60)});
    for (unsigned n = random() % 5; n > 0; --n) {
      wa::Attribute a;
      a.kind = static_cast<wa::Attribute::Kind>(1 + random() % 12);
      a.kind == wa::Attribute::kSslKeySize
          ? static_cast<void>(a.number = static_cast<std::uint16_t>(random()))
          : static_cast<void>(a.value = text(random, 60));
      if (a.kind == wa::Attribute::kRequest) a.name = text(random, 20);
      r.attributes.push_back(a);
    }
    if (i % 5 == 0) r.attributes.push_back({wa::Attribute::kStoredMethod, "", "PATCH", 0});
    const wa::FromGateway sent = i % 50 == 0 ? wa::FromGateway(wa::CPing{}) : wa::FromGateway(r);
    const std::string bytes = wa::encode(sent);
    mismatches += wa::decode_from_gateway(cut_anywhere(bytes, wa::From::kGateway)) != sent;
    ++gateways;
    wa::FromServer back = wa::EndResponse{random() % 2 == 0};
    if (i % 4 == 0) back = wa::SendBodyChunk{text(random, 8000)};
    if (i % 4 == 1) back = wa::GetBodyChunk{static_cast<std::uint16_t>(random())};
    if (i % 4 == 2) {
      wa::SendHeaders h{static_cast<std::uint16_t>(100 + random() % 900), text(random, 20), {}};
      for (unsigned n = random() % 9; n > 0; --n)
        h.headers.push_back({kNames[random() % 6], text(random, 60)});
      back = h;
    }
    const std::string answer = wa::encode(back);
    mismatches += wa::decode_from_server(cut_anywhere(answer, wa::From::kServer)) != back;
    ++servers;
  }
  fmt::print("{} messages of gateways, {} of servers: {} read as something else\n", gateways, servers,
             mismatches);
  const auto read = wa::decode_from_server(
      payload(wa::encode(wa::SendHeaders{200, "a\r\nb", {{"x", "v\r\nset-cookie: 1"}}})));
  fmt::print("a value with line ends is written as '{}'\n",
             std::get<wa::SendHeaders>(*read).headers[0].value);
}

// How the stand-in gateway's own reader decodes our packets.
void answers() {
  std::string bytes = wa::encode(wa::SendHeaders{
                          503, "Service Unavailable", {{"retry-after", "2"}, {"content-length", "0"}}}) +
                      wa::encode(wa::SendBodyChunk{"abc"}) + wa::encode(wa::GetBodyChunk{77}) +
                      wa::encode(wa::CPong{}) + wa::encode(wa::EndResponse{true});
  for (;;) {
    const raw_ajp::Reply reply = raw_ajp::take_reply(bytes);
    if (reply.kind <= 0) break;
    fmt::print("{}: status {}, '{}', max_bytes {}, reuse {}", reply.kind, reply.status, reply.piece,
               reply.max_bytes, reply.reuse);
    for (const auto& [name, value] : reply.headers) fmt::print(", {}={}", name, value);
    fmt::print("\n");
  }
  for (const std::string& one : {std::string("\x04\x00\x05\x00\x00\x00\x00\x00", 8),
                                 std::string("\x03\x00\x09"
                                             "ab",
                                             5),
                                 std::string("\x03\x00\x02"
                                             "ab\x01",
                                             6),
                                 std::string("\x05\x02", 2), std::string("\x0a", 1)})
    fmt::print("{}", wa::decode_from_server(one) ? "valid " : "invalid ");
  fmt::print("\n");
}

void routes() {
  const auto read = [](const std::vector<std::string>& words) {
    const auto route = read_ajp_route(words);
    std::string line;
    for (const std::string& word : words) line += word + " ";
    if (const auto* error = std::get_if<AjpRouteError>(&route)) {
      fmt::print("{}-> word {}: {}\n", line, error->word, error->text);
      return AjpRoute{};
    }
    const auto& good = std::get<AjpRoute>(route);
    fmt::print("{}-> {} segments{}, {} kB\n", line, good.segments.size(),
               good.matches_rest ? " and more" : "", good.size_kb);
    return good;
  };
  std::vector<AjpRoute> table;
  table.push_back(
      read({"POST", "/hotels/*/close", "close", "key=header:Idempotency-Key", "caller=path:1", "held=16"}));
  table.push_back(read({"GET", "/rates/**", "rates", "subject=query:room", "wait=header:X-Wait-Ms"}));
  table.push_back(read({"GET", "/", "health"}));
  table.push_back(read({"POST", "/hotels/*/*", "push"}));
  read({"POST", "/a"});
  read({"post", "/a", "push"});
  read({"POST", "a", "push"});
  read({"POST", "/a//b", "push"});
  read({"POST", "/a/", "push"});
  read({"POST", "/**/a", "push"});
  read({"POST", "/a*", "push"});
  read({"POST", "/a/..", "push"});
  read({"POST", "/a%2fb", "push"});
  read({"POST", "/a", "push", "key"});
  read({"POST", "/a", "push", "key=cookie:x"});
  read({"POST", "/a", "push", "key=header:"});
  read({"POST", "/a", "push", "key=header:a b"});
  read({"POST", "/a/*", "push", "key=path:2"});
  read({"POST", "/a/*", "push", "key=path:1", "key=path:1"});
  read({"POST", "/a", "push", "importance=9"});
  read({"POST", "/a", "push", "held=0"});
  read({"POST", "/a", "push", "held=2000"});
  const auto print_match = [&](const char* method, const char* path) {
    const auto found = match(table, method, path);
    if (const auto* none = std::get_if<AjpNoMatch>(&found)) {
      return fmt::print("{} {}: {}\n", method, path,
                        *none == AjpNoMatch::kPath     ? "unmapped path"
                        : *none == AjpNoMatch::kMethod ? "unmapped method"
                                                       : "invalid path");
    }
    const auto& matched = std::get<AjpMatch>(found);
    fmt::print("{} {}: {}", method, path, matched.route->route);
    for (const std::string_view star : matched.wildcards) fmt::print(" *={}", star);
    fmt::print("\n");
  };
  for (const char* path :
       {"/hotels/7/close", "/hotels/7/open", "/hotels/7", "/hotels//close", "/hotels/../close",
        "/hotels/%2e%2e/close", "/hotels/7;x=1/close", "/hotels/7/close/", "hotels/7/close", "", "/"})
    print_match("POST", path);
  for (const char* path :
       {"/rates", "/rates/a/b/c", "/ratesx", "/", "/hotels/7/close", "/rates/./a", "/rates/a\\b"})
    print_match("GET", path);
  for (const char* query : {"room=4&x=1", "x=1&room=4", "rooms=4", "room", "room=", "", "x&&room=9"}) {
    const auto value = query_field(query, "room");
    fmt::print("'{}': {}\n", query, value ? fmt::format("'{}'", *value) : "none");
  }
}

void share() {
  conns::ConnectionQuota one(100, {0.5, 0.25}, {0.01, 60});
  const auto open_all = [&](std::size_t listener) {
    int count = 0;
    while (one.has_capacity(listener)) one.on_opened(listener), ++count;
    return count;
  };
  const auto take = [&](const char* when, std::initializer_list<std::size_t> listeners) {
    fmt::print("{}:", when);
    for (const std::size_t listener : listeners)
      fmt::print(" the {} opens {}", listener == 0 ? "first" : "second", open_all(listener));
    fmt::print("\n");
  };
  take("the second listener first", {1, 0, 1});
  for (int i = 0; i < 30; ++i) one.on_closed(1);
  take("thirty of the second close", {0, 1});
  for (int i = 0; i < 200; ++i) one.on_closed(0), one.on_closed(1);
  fmt::print("all close, and more closes are reported: open {} and {}\n", one.open_count(0),
             one.open_count(1));
  take("the first listener first", {0, 1, 0});
  const auto read = [&](std::size_t listener, int wanted, double now) {
    int count = 0;
    for (int i = 0; i < wanted; ++i) count += one.try_read(listener, now);
    return count;
  };
  fmt::print("alone, a listener reads {} of 1000\n", read(1, 1000, 1));
  fmt::print("the first one reads in the same period: {} of 1000\n", read(0, 1000, 1.005));
  const int second = read(1, 1000, 1.012), first = read(0, 1000, 1.012);
  fmt::print("in the next one: {} and {}\n", second, first);
  fmt::print("before it ends: {} and {}, again at {:.3f}\n", read(1, 9, 1.021), read(0, 9, 1.021),
             one.next_period_at());
  fmt::print("the first one is idle, two periods later: {}\n", read(1, 1000, 1.05));
  conns::ConnectionQuota small(2, {0.5, 0.25});
  fmt::print("two places: guaranteed {} and {}\n", small.guaranteed(0), small.guaranteed(1));
  conns::ConnectionQuota smallest(1, {0.5, 0.25});
  fmt::print("one place: guaranteed {} and {}, capacity {} and {}\n", smallest.guaranteed(0),
             smallest.guaranteed(1), smallest.has_capacity(0), smallest.has_capacity(1));
}

}  // namespace

int main(int argc, char** argv) {
  const std::pair<const char*, void (*)()> kScenarios[] = {{"packets", packets},
                                                           {"round_trips", round_trips},
                                                           {"answers", answers},
                                                           {"routes", routes},
                                                           {"share", share}};
  for (const auto& [name, play] : kScenarios) {
    if (argc == 2 && std::strcmp(argv[1], name) == 0) return play(), 0;
  }
  return 2;
}
