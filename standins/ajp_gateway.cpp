#include "ajp_gateway.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>

namespace damsonspoke::standins {
namespace raw_ajp {
namespace {

constexpr std::size_t kMaxPieceBytes = 8192 - 6;  // in a packet of 8 KiB

std::string number(std::size_t value) { return {static_cast<char>(value >> 8), static_cast<char>(value)}; }
std::string text(const std::string& value) { return number(value.size()) + value + '\0'; }

// Reads the fields of a payload in order. Reads beyond its end return zeros and empty strings.
class Cursor {
 public:
  explicit Cursor(const std::string& bytes) : bytes_(bytes) {}
  int byte() { return at_ < bytes_.size() ? static_cast<unsigned char>(bytes_[at_++]) : 0; }
  int number() {
    const int high = byte();
    return high << 8 | byte();
  }
  std::string text() {
    const auto length = static_cast<std::size_t>(number());
    std::string out = bytes_.substr(std::min(at_, bytes_.size()), length);
    at_ += length + 1;
    return out;
  }
  std::string rest(std::size_t length) { return bytes_.substr(std::min(at_, bytes_.size()), length); }

 private:
  const std::string& bytes_;
  std::size_t at_ = 0;
};

const char* const kNames[] = {
    "",         "content-type", "content-language", "content-length", "date",   "last-modified",
    "location", "set-cookie",   "set-cookie2",      "servlet-engine", "status", "www-authenticate"};

}  // namespace

std::string packet(const std::string& payload, const char* magic) {
  return std::string(magic, 2) + number(payload.size()) + payload;
}
std::string forward_request(const Request& r) {
  std::string out = {2, static_cast<char>(r.method)};
  out +=
      text("HTTP/1.1") + text(r.uri) + text("127.0.0.1") + text("") + text("localhost") + number(80) + '\0';
  out += number(r.headers.size());
  for (const auto& [name, value] : r.headers) {
    out += name == "content-length" ? std::string("\xa0\x08") : text(name);
    out += text(value);
  }
  if (!r.query.empty()) out += '\x05' + text(r.query);
  for (const auto& [name, value] : r.attributes) out += '\x0a' + text(name) + text(value);
  if (!r.secret.empty()) out += '\x0c' + text(r.secret);
  return packet(out + '\xff');
}
std::string body_piece(const std::string& piece) {
  return packet(piece.empty() ? "" : number(piece.size()) + piece);
}
std::string cping() { return packet("\x0a"); }

Reply take_reply(std::string& input) {
  Reply out;
  if (input.size() < 4) return out;
  if (input[0] != 'A' || input[1] != 'B') return out.kind = -1, out;
  const std::size_t length = static_cast<std::size_t>(static_cast<unsigned char>(input[2])) << 8 |
                             static_cast<unsigned char>(input[3]);
  if (input.size() < 4 + length) return out;
  const std::string payload = input.substr(4, length);
  input.erase(0, 4 + length);
  Cursor in(payload);
  out.kind = in.byte();
  if (out.kind == 4) {
    out.status = in.number();
    in.text();
    for (int count = in.number(); count > 0; --count) {
      const int code = in.number();  // a coded name, or the length of a name
      std::string name;
      if (code >> 8 == 0xa0) {
        name = kNames[(code & 0xff) < 12 ? code & 0xff : 0];
      } else {
        name = in.rest(static_cast<std::size_t>(code));
        for (int i = 0; i <= code; ++i) in.byte();
      }
      out.headers[name] = in.text();
    }
  }
  if (out.kind == 3) {
    const int size = in.number();
    out.piece = in.rest(static_cast<std::size_t>(size));
  }
  if (out.kind == 5) out.reuse = in.byte() == 1;
  if (out.kind == 6) out.max_bytes = in.number();
  return out;
}

}  // namespace raw_ajp

AjpGateway::AjpGateway(Loop& loop, Journal& journal, Options options)
    : loop_(loop), journal_(journal), options_(std::move(options)), random_(options_.seed) {
  for (std::size_t i = 0; i < options_.flows.size(); ++i) schedule_next_request(i);
}
AjpGateway::~AjpGateway() {
  while (!links_.empty()) close_link(links_.begin()->first);
}
double AjpGateway::draw() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void AjpGateway::set_server(std::uint16_t port, int incarnation) {
  port_ = port;
  incarnation_ = incarnation;
}

void AjpGateway::schedule_next_request(std::size_t flow) {
  loop_.after(-std::log(1 - draw()) / options_.flows[flow].per_s, [this, flow] {
    schedule_next_request(flow);
    if (is_load_enabled_ && port_ != 0) send_request(options_.flows[flow]);
  });
}

void AjpGateway::send_request(const Flow& flow) {
  int fd = -1;
  for (const auto& [one, link] : links_) {
    if (link.request == 0 && !link.closing) fd = one;
  }
  if (fd < 0 && static_cast<int>(links_.size()) < options_.connections) {
    fd = connected_socket(port_);
    if (fd >= 0) {
      links_[fd];
      loop_.watch(fd, [this, fd] { read(fd); });
    }
  }
  if (fd < 0) {
    ++skipped_;
    return;
  }
  const std::string key = fmt::format("ajp-{}-{}", flow.type, ++generated_requests_);
  std::string body = key + ' ';
  if (body.size() < flow.body_bytes) body.resize(flow.body_bytes, 'b');
  // A number for the journal only: the server numbers AJP requests itself.
  const std::uint64_t id = std::uint64_t{0xa1} << 56 | next_request_++;
  raw_ajp::Request request;
  request.uri = "/ops/" + flow.type;
  request.secret = options_.secret;
  request.headers = {{"x-wait-ms", fmt::format("{:.0f}", flow.timeout * 1000)},
                     {"x-key", key},
                     {"x-hotel", std::to_string(2 + random_() % options_.caller_ids)}};
  if (options_.chunked) {
    request.headers.emplace_back("transfer-encoding", "chunked");
  } else {
    request.headers.emplace_back("content-length", std::to_string(body.size()));
  }
  Link& link = links_.at(fd);
  link = {};
  link.request = id;
  std::string out = raw_ajp::forward_request(request);
  if (options_.chunked) {
    link.rest = body;
  } else {
    out += raw_ajp::body_piece(body.substr(0, raw_ajp::kMaxPieceBytes));
    link.rest = body.size() > raw_ajp::kMaxPieceBytes ? body.substr(raw_ajp::kMaxPieceBytes) : "";
  }
  Attempt attempt;
  attempt.request = id;
  attempt.key = key;
  attempt.type = flow.type;
  attempt.incarnation = incarnation_;
  attempt.is_numbered_by_server = true;
  attempt.sent = now();
  attempt.deadline = attempt.sent + flow.timeout;
  journal_.attempts[id] = std::move(attempt);
  ++in_flight_;
  loop_.send(fd, out);
}

void AjpGateway::read(int fd) {
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return close_link(fd);
  links_.at(fd).in.append(bytes, static_cast<std::size_t>(got));
  for (;;) {
    const raw_ajp::Reply reply = raw_ajp::take_reply(links_.at(fd).in);
    if (reply.kind == 0) return;
    if (!handle_reply(fd, reply)) return;
  }
}

AnswerKind AjpGateway::answer_kind(int status, const std::string& outcome) {
  switch (status) {
    case 200: return AnswerKind::kSucceeded;
    case 503: return AnswerKind::kRejected;
    case 502:
    case 504: return AnswerKind::kFailed;
    case 500: return outcome == "unknown" ? AnswerKind::kUnknownOutcome : AnswerKind::kInvalid;
    case 422: return AnswerKind::kConflict;
    default: return AnswerKind::kInvalid;
  }
}

bool AjpGateway::handle_reply(int fd, const raw_ajp::Reply& reply) {
  Link& link = links_.at(fd);
  switch (reply.kind) {
    case 4:
      link.status = reply.status;
      if (reply.headers.contains("outcome")) link.outcome = reply.headers.at("outcome");
      return true;
    case 3: link.result += reply.piece; return true;
    case 6: {
      const std::size_t size = std::min(link.rest.size(), static_cast<std::size_t>(reply.max_bytes));
      loop_.send(fd, raw_ajp::body_piece(link.rest.substr(0, size)));
      link.rest.erase(0, size);
      return true;
    }
    case 5: break;
    default: return close_link(fd), false;
  }
  if (const auto found = journal_.attempts.find(link.request); found != journal_.attempts.end()) {
    Answer answer;
    answer.at = now();
    answer.result = link.result;
    answer.kind = answer_kind(link.status, link.outcome);
    found->second.answers.push_back(std::move(answer));
    --in_flight_;
  }
  link.request = 0;
  link.closing = !reply.reuse;
  return true;
}

void AjpGateway::close_link(int fd) {
  if (const std::uint64_t request = links_.at(fd).request; request != 0) {
    journal_.attempts.at(request).is_lost = true;
    --in_flight_;
  }
  links_.erase(fd);
  loop_.forget(fd);
  ::close(fd);
}

}  // namespace damsonspoke::standins
