#include "callers.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>
#include <nlohmann/json.hpp>

namespace damsonspoke::standins {
namespace {

constexpr std::size_t kOpenALink = 24;  // of the 32 that the protocol allows
constexpr int kLateReaderBytes = 2048;  // under one answer: the rest waits in the server's buffer

std::string base64(const std::string& bytes) {
  static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t three = 0;
    for (std::size_t j = 0; j < 3; ++j)
      three = three << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j > bytes.size() ? '=' : kDigits[three >> (18 - 6 * j) & 63];
  }
  return out;
}

std::string from_base64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int have = 0;
  for (const char c : text) {
    const int value = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (value < 0) break;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((have += 6) >= 8) out += static_cast<char>(bits >> (have -= 8) & 255);
  }
  return out;
}

AnswerKind kind_of(int code) {
  switch (code) {
    case -32001: return AnswerKind::kRejected;
    case -32003: return AnswerKind::kUnknownOutcome;
    case -32004: return AnswerKind::kConflict;
    case -32000: return AnswerKind::kFailed;
    default: return AnswerKind::kBad;
  }
}

}  // namespace

Callers::Callers(Loop& loop, Journal& journal, Options options)
    : loop_(loop), journal_(journal), options_(std::move(options)), random_(options_.seed) {
  for (std::size_t i = 0; i < options_.flows.size(); ++i) next_thing(i);
}

Callers::~Callers() {
  while (!links_.empty()) drop(links_.begin()->first);
}

double Callers::chance() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void Callers::reach(std::uint16_t port, int server, int life) {
  const auto at = static_cast<std::size_t>(server);
  if (servers_.size() <= at) servers_.resize(at + 1);
  servers_[at] = {port, life, false};
}
void Callers::avoid(int server) { servers_.at(static_cast<std::size_t>(server)).avoided = true; }
void Callers::want_more(bool more) { more_ = more; }

void Callers::cut_off(int server) {
  for (auto it = links_.begin(); it != links_.end();) {
    const int fd = it->first;
    const bool of_it = it->second.server == server && !it->second.reads_late;
    ++it;
    if (of_it) drop(fd);
  }
  servers_.at(static_cast<std::size_t>(server)).port = 0;
}

int Callers::choose(int last) {
  std::vector<int> there, others;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].port == 0 || servers_[i].avoided) continue;
    there.push_back(static_cast<int>(i));
    if (static_cast<int>(i) != last) others.push_back(static_cast<int>(i));
  }
  const std::vector<int>& from = others.empty() ? there : others;
  return from.empty() ? -1 : from[from.size() == 1 ? 0 : random_() % from.size()];
}

// Things come at random, whatever becomes of those before: load does not wait for answers.
void Callers::next_thing(std::size_t flow) {
  const Flow& of = options_.flows[flow];
  const double pause = -std::log(1 - chance()) / of.per_s;
  loop_.after(pause, [this, flow] {
    next_thing(flow);
    if (!more_ || choose(-1) < 0) return;
    const Flow& f = options_.flows[flow];
    const std::uint64_t number = ++things_;
    Thing thing;
    thing.flow = flow;
    const std::uint64_t subject = f.shared ? 1 + random_() % 8 : number;
    thing.key = fmt::format("{}-{}", f.type, subject);
    thing.body = thing.key + ' ';
    if (thing.body.size() < f.body_bytes) thing.body.resize(f.body_bytes, 'b');
    thing.out = f.copies;
    ++wanted_;
    all_[number] = std::move(thing);
    ask_for(number);
    for (int i = 1; i < f.copies; ++i) loop_.after(chance() * f.spread, [this, number] { ask_for(number); });
  });
}

void Callers::ask_for(std::uint64_t number) {
  Thing& thing = all_.at(number);
  const std::string key = thing.key, body = thing.body;
  const Flow& flow = options_.flows[thing.flow];
  const int server = thing.tried = choose(thing.tried);
  const std::uint64_t request = server < 0 ? 0 : send_try(flow, key, body, server, false);
  if (request != 0) {
    thing_of_[request] = number;
    return;
  }
  // Nobody listens: tried again as long as somebody may.
  loop_.after(flow.pause, [this, number] { ask_for(number); });
}

std::uint64_t Callers::ask(const Flow& flow, const std::string& key, const std::string& body,
                           bool on_its_own) {
  const int server = choose(-1);
  return server < 0 ? 0 : send_try(flow, key, body, server, on_its_own);
}

int Callers::link(int server, bool own) {
  int count = 0, best = -1;  // the emptiest one of those there are
  for (auto& [fd, link] : links_) {
    if (link.server != server || link.reads_late) continue;
    ++count;
    if (link.no_more || link.open.size() >= kOpenALink) continue;
    if (best < 0 || link.open.size() < links_.at(best).open.size()) best = fd;
  }
  if (!own && best >= 0 && count >= options_.connections) return best;
  const std::uint16_t port = servers_.at(static_cast<std::size_t>(server)).port;
  const int fd = port == 0 ? -1 : connected_socket(port, options_.from, {0, options_.connect_patience});
  if (fd < 0) return -1;
  ++dialled_;
  links_[fd].server = server;
  loop_.watch(fd, [this, fd] { read(fd); });
  return fd;
}

std::uint64_t Callers::send_try(const Flow& flow, const std::string& key, const std::string& body, int server,
                                bool own) {
  const int fd = link(server, own);
  return fd < 0 ? 0 : send_on(fd, flow, key, body);
}

std::uint64_t Callers::send_on(int fd, const Flow& flow, const std::string& key, const std::string& body) {
  const int server = links_.at(fd).server;
  const std::uint64_t request = (random_() & 0xffffffff00000000ULL) | next_request_++,
                      number = next_number_++;
  const double door = unix_now();
  std::string more;
  if (flow.marked) more += fmt::format(R"(,"key":"{}")", key);
  if (flow.shared) {
    std::uint64_t item = 1;
    for (const char c : key) item = item * 131 + static_cast<unsigned char>(c);
    more += fmt::format(R"(,"item":"{:016x}")", item);
  }
  if (flow.tenant_of) more += fmt::format(R"(,"team":"{}")", flow.tenant_of(random_()));
  const std::string type = flow.type_of ? flow.type_of(random_()) : flow.type;
  const std::string text = fmt::format(
      R"({{"jsonrpc":"2.0","id":{},"method":"{}","params":{{"txn":"{:016x}","door":{:.0f},"lb":{},"ram":10,"limit":{:.0f}{},"arg":"{}"}}}})",
      number, type, request, door * 1000, options_.hotels > 1 ? 1 + random_() % options_.hotels : 1,
      flow.patience * 1000, more, base64(body));
  Try seen;
  seen.request = request;
  seen.key = key;
  seen.type = type;
  seen.life = servers_.at(static_cast<std::size_t>(server)).life;
  seen.sent = now();
  seen.due = seen.sent + flow.patience;
  seen.read_late = links_.at(fd).reads_late;
  journal_.tries[request] = std::move(seen);
  links_.at(fd).open[number] = request;
  ++owed_;
  loop_.send(fd, fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text));
  return request;
}

std::size_t Callers::connections(int server) const {
  std::size_t count = 0;
  for (const auto& [fd, link] : links_) count += link.server == server ? 1 : 0;
  return count;
}

int Callers::open_late_reader(int server, double read_at) {
  const std::uint16_t port = servers_.at(static_cast<std::size_t>(server)).port;
  const int fd =
      port == 0 ? -1 : connected_socket(port, options_.from, {kLateReaderBytes, options_.connect_patience});
  if (fd < 0) return -1;
  ++dialled_;
  links_[fd].server = server;
  links_[fd].reads_late = true;
  loop_.mute(fd);
  loop_.at(read_at, [this, fd] { loop_.watch(fd, [this, fd] { read(fd); }); });
  return fd;
}

std::uint64_t Callers::ask_on(int late_reader, const Flow& flow, const std::string& key,
                              const std::string& body) {
  const auto found = links_.find(late_reader);
  if (found == links_.end() || !found->second.reads_late) return 0;
  return send_on(late_reader, flow, key, body);
}

void Callers::read(int fd) {
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return drop(fd);
  Link& link = links_.at(fd);
  link.in.append(bytes, static_cast<std::size_t>(got));
  for (;;) {
    const std::size_t head = link.in.find("\r\n\r\n");
    if (head == std::string::npos) break;
    const auto length = static_cast<std::size_t>(std::atoll(link.in.c_str() + link.in.find(':') + 1));
    if (link.in.size() < head + 4 + length) break;
    const std::string text = link.in.substr(head + 4, length);
    link.in.erase(0, head + 4 + length);
    take(link, text);
  }
  if (link.no_more && link.open.empty()) drop(fd);
}

void Callers::take(Link& link, const std::string& text) {
  const nlohmann::json message = nlohmann::json::parse(text, nullptr, false);
  if (!message.is_object()) return;
  if (message.value("method", "") == "noMore") {
    link.no_more = !options_.ignores_no_more;
    return;
  }
  if (!message.contains("id") || !message["id"].is_number()) return;
  const auto number = message["id"].get<std::uint64_t>();
  const auto found = link.open.find(number);
  if (found == link.open.end()) {
    // A second answer under one number breaks a rule: the journal has to know.
    const auto before = link.answered.find(number);
    if (before != link.answered.end())
      journal_.tries.at(before->second).answers.push_back({now(), AnswerKind::kBad, {}});
    return;
  }
  const std::uint64_t request = found->second;
  link.answered[number] = request;
  link.open.erase(found);
  --owed_;
  Try& of = journal_.tries.at(request);
  Answer answer;
  answer.at = now();
  double come_back = 0;
  if (message.contains("result")) {
    answer.kind = AnswerKind::kSucceeded;
    answer.result = from_base64(message["result"].value("arg", ""));
  } else {
    const auto& error = message["error"];
    answer.kind = kind_of(error.value("code", 0));
    if (error.contains("data")) come_back = error["data"].value("later", 0.0) / 1000;
    answer.retry_after = come_back;
  }
  const bool final = answer.kind == AnswerKind::kSucceeded || answer.kind == AnswerKind::kUnknownOutcome ||
                     answer.kind == AnswerKind::kConflict || answer.kind == AnswerKind::kBad;
  of.answers.push_back(std::move(answer));
  if (on_answer) on_answer(of);
  over(request, final, come_back);
}

// A try is over; a further one follows where nothing final came of it.
void Callers::over(std::uint64_t request, bool final, double come_back) {
  const auto found = thing_of_.find(request);
  if (found == thing_of_.end()) return;
  const std::uint64_t number = found->second;
  thing_of_.erase(found);
  Thing& thing = all_.at(number);
  const Flow& flow = options_.flows[thing.flow];
  if (!final && !thing.over && thing.retries < flow.retries) {
    ++thing.retries;
    loop_.after(std::max(come_back, flow.pause) * (1 + chance()), [this, number] { ask_for(number); });
    return;
  }
  if (final) thing.over = true;
  if (--thing.out == 0) {
    --wanted_;
    all_.erase(number);
  }
}

void Callers::drop(int fd) {
  const Link link = std::move(links_.at(fd));
  links_.erase(fd);
  loop_.forget(fd);
  ::close(fd);
  for (const auto& [number, request] : link.open) {
    --owed_;
    Try& of = journal_.tries.at(request);
    of.lost = true;
    of.lost_at = now();
    of.connection_was_new = link.answered.empty();
    over(request, false, 0);
  }
}

}  // namespace damsonspoke::standins
