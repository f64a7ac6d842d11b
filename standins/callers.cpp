#include "callers.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace damsonspoke::standins {
namespace {

constexpr std::size_t kMaxInFlightOnLink = 24;  // the protocol allows 32
constexpr int kLateReaderBytes =
    2048;  // smaller than an answer, so that the rest waits in the server's buffer
constexpr std::uint64_t kSubjects = 8;  // items of shared reads

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
  }
  return out;
}

std::string from_base64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char c : text) {
    const std::size_t value = kDigits.find(c);
    if (value == std::string_view::npos) break;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((bit_count += 6) >= 8) out += static_cast<char>(bits >> (bit_count -= 8) & 255);
  }
  return out;
}

AnswerKind answer_kind(int code) {
  switch (code) {
    case -32001: return AnswerKind::kRejected;
    case -32003: return AnswerKind::kUnknownOutcome;
    case -32004: return AnswerKind::kConflict;
    case -32000: return AnswerKind::kFailed;
    default: return AnswerKind::kInvalid;
  }
}

// Decodes an answer that is read now.
Answer decode_answer(const nlohmann::json& message) {
  Answer answer;
  answer.at = now();
  if (message.contains("result")) {
    answer.kind = AnswerKind::kSucceeded;
    answer.result = from_base64(message["result"].value("arg", ""));
    return answer;
  }
  const auto& error = message["error"];
  answer.kind = answer_kind(error.value("code", 0));
  if (error.contains("data")) answer.retry_after = error["data"].value("later", 0.0) / 1000;
  return answer;
}

// Whether a task is not retried after such an answer.
bool is_final(AnswerKind kind) {
  return kind == AnswerKind::kSucceeded || kind == AnswerKind::kUnknownOutcome ||
         kind == AnswerKind::kConflict || kind == AnswerKind::kInvalid;
}

}  // namespace

Callers::Callers(Loop& loop, Journal& journal, Options options)
    : loop_(loop), journal_(journal), options_(std::move(options)), random_(options_.seed) {
  for (std::size_t i = 0; i < options_.flows.size(); ++i) schedule_next_task(i);
}

Callers::~Callers() {
  while (!links_.empty()) drop(links_.begin()->first);
}

double Callers::draw() { return std::ldexp(static_cast<double>(random_() >> 11), -53); }

void Callers::set_server(std::uint16_t port, int server, int incarnation) {
  const auto at = static_cast<std::size_t>(server);
  if (servers_.size() <= at) servers_.resize(at + 1);
  servers_[at] = {port, incarnation, false};
}
void Callers::avoid(int server) { servers_.at(static_cast<std::size_t>(server)).is_avoided = true; }
void Callers::set_load_enabled(bool is_enabled) { is_load_enabled_ = is_enabled; }

void Callers::disconnect_server(int server) {
  for (auto it = links_.begin(); it != links_.end();) {
    const int fd = it->first;
    const bool is_of_it = it->second.server == server && !it->second.reads_late;
    ++it;
    if (is_of_it) drop(fd);
  }
  servers_.at(static_cast<std::size_t>(server)).port = 0;
}

int Callers::choose_server(int last) {
  std::vector<int> available, others;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].port == 0 || servers_[i].is_avoided) continue;
    available.push_back(static_cast<int>(i));
    if (static_cast<int>(i) != last) others.push_back(static_cast<int>(i));
  }
  const std::vector<int>& from = others.empty() ? available : others;
  return from.empty() ? -1 : from[from.size() == 1 ? 0 : random_() % from.size()];
}

// Tasks arrive at random times, independently of earlier ones: an open-loop load.
void Callers::schedule_next_task(std::size_t flow) {
  const double pause = -std::log(1 - draw()) / options_.flows[flow].per_s;
  loop_.after(pause, [this, flow] {
    schedule_next_task(flow);
    if (is_load_enabled_ && choose_server(-1) >= 0) begin_task(flow);
  });
}

void Callers::begin_task(std::size_t flow) {
  const Flow& of = options_.flows[flow];
  const std::uint64_t number = ++started_tasks_;
  Task task;
  task.flow = flow;
  const std::uint64_t subject = of.shared ? 1 + random_() % kSubjects : number;
  task.key = fmt::format("{}-{}", of.type, subject);
  task.body = task.key + ' ';
  if (task.body.size() < of.body_bytes) task.body.resize(of.body_bytes, 'b');
  task.attempts = of.copies;
  ++unfinished_tasks_;
  tasks_[number] = std::move(task);
  attempt(number);
  for (int i = 1; i < of.copies; ++i) loop_.after(draw() * of.spread, [this, number] { attempt(number); });
}

void Callers::attempt(std::uint64_t number) {
  Task& task = tasks_.at(number);
  const std::string key = task.key, body = task.body;
  const Flow& flow = options_.flows[task.flow];
  const int server = task.last_server = choose_server(task.last_server);
  const std::uint64_t request = server < 0 ? 0 : send_to(server, flow, key, body, false);
  if (request != 0) {
    task_by_request_[request] = number;
    return;
  }
  // No server accepts the request: tries again after a pause.
  loop_.after(flow.pause, [this, number] { attempt(number); });
}

std::uint64_t Callers::send_request(const Flow& flow, const std::string& key, const std::string& body,
                                    bool on_new_connection) {
  const int server = choose_server(-1);
  return server < 0 ? 0 : send_to(server, flow, key, body, on_new_connection);
}

int Callers::link_to(int server, bool is_new) {
  int count = 0, best = -1;  // best: the connection with the fewest requests in flight
  for (auto& [fd, link] : links_) {
    if (link.server != server || link.reads_late) continue;
    ++count;
    if (link.is_draining || link.in_flight.size() >= kMaxInFlightOnLink) continue;
    if (best < 0 || link.in_flight.size() < links_.at(best).in_flight.size()) best = fd;
  }
  if (!is_new && best >= 0 && count >= options_.connections) return best;
  const int fd = dial(server, 0);
  if (fd >= 0) loop_.watch(fd, [this, fd] { read(fd); });
  return fd;
}

int Callers::dial(int server, int receive_bytes) {
  const std::uint16_t port = servers_.at(static_cast<std::size_t>(server)).port;
  const int fd =
      port == 0 ? -1 : connected_socket(port, options_.from, {receive_bytes, options_.connect_timeout});
  if (fd < 0) return -1;
  ++dialled_;
  links_[fd].server = server;
  return fd;
}

std::uint64_t Callers::send_to(int server, const Flow& flow, const std::string& key, const std::string& body,
                               bool on_new_link) {
  const int fd = link_to(server, on_new_link);
  return fd < 0 ? 0 : send_on(fd, flow, key, body);
}

std::string Callers::request_text(std::uint64_t request, std::uint64_t number, const Flow& flow,
                                  const std::string& key, const std::string& body, double received_at,
                                  std::string& type) {
  std::string more;
  if (flow.has_key) more += fmt::format(R"(,"key":"{}")", key);
  if (flow.shared) {
    std::uint64_t subject = 1;
    for (const char c : key) subject = subject * 131 + static_cast<unsigned char>(c);
    more += fmt::format(R"(,"item":"{:016x}")", subject);
  }
  if (flow.tenant_of) more += fmt::format(R"(,"team":"{}")", flow.tenant_of(random_()));
  type = flow.type_of ? flow.type_of(random_()) : flow.type;
  return fmt::format(
      R"({{"jsonrpc":"2.0","id":{},"method":"{}","params":{{"txn":"{:016x}","door":{:.0f},"lb":{},"ram":10,"limit":{:.0f}{},"arg":"{}"}}}})",
      number, type, request, received_at * 1000,
      options_.caller_ids > 1 ? 1 + random_() % options_.caller_ids : 1, flow.timeout * 1000, more,
      base64(body));
}

std::uint64_t Callers::send_on(int fd, const Flow& flow, const std::string& key, const std::string& body) {
  const int server = links_.at(fd).server;
  const std::uint64_t request = (random_() & 0xffffffff00000000ULL) | next_request_++,
                      number = next_number_++;
  // Taken before the time that the request carries: if this process is paused in between, the recorded
  // deadline is the earlier one.
  const double sent_at = now();
  const double received_at = unix_now();
  std::string type;
  const std::string text = request_text(request, number, flow, key, body, received_at, type);
  Attempt sent;
  sent.request = request;
  sent.key = key;
  sent.type = type;
  sent.incarnation = servers_.at(static_cast<std::size_t>(server)).incarnation;
  sent.sent = sent_at;
  sent.deadline = sent.sent + flow.timeout;
  sent.is_read_late = links_.at(fd).reads_late;
  journal_.attempts[request] = std::move(sent);
  links_.at(fd).in_flight[number] = request;
  ++attempts_in_flight_;
  loop_.send(fd, fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text));
  return request;
}

std::size_t Callers::connections(int server) const {
  std::size_t count = 0;
  for (const auto& [fd, link] : links_) count += link.server == server ? 1 : 0;
  return count;
}

int Callers::open_late_reader(int server, double read_at) {
  const int fd = dial(server, kLateReaderBytes);
  if (fd < 0) return -1;
  links_[fd].reads_late = true;
  loop_.stop_reading(fd);
  loop_.at(read_at, [this, fd] { loop_.watch(fd, [this, fd] { read(fd); }); });
  return fd;
}

std::uint64_t Callers::send_request_on(int late_reader, const Flow& flow, const std::string& key,
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
    take_message(link, text);
  }
  if (link.is_draining && link.in_flight.empty()) drop(fd);
}

void Callers::take_message(Link& link, const std::string& text) {
  const nlohmann::json message = nlohmann::json::parse(text, nullptr, false);
  if (!message.is_object()) return;
  if (message.value("method", "") == "noMore") {
    link.is_draining = !options_.ignores_drain_notice;
    return;
  }
  if (!message.contains("id") || !message["id"].is_number()) return;
  const auto number = message["id"].get<std::uint64_t>();
  const auto found = link.in_flight.find(number);
  if (found == link.in_flight.end()) {
    record_second_answer(link, number);
    return;
  }
  const std::uint64_t request = found->second;
  link.answered[number] = request;
  link.in_flight.erase(found);
  --attempts_in_flight_;
  Attempt& attempt = journal_.attempts.at(request);
  attempt.answers.push_back(decode_answer(message));
  const Answer answer = attempt.answers.back();
  if (on_answer) on_answer(attempt);
  end_attempt(request, is_final(answer.kind), answer.retry_after);
}

void Callers::record_second_answer(const Link& link, std::uint64_t number) {
  const auto before = link.answered.find(number);
  if (before != link.answered.end())
    journal_.attempts.at(before->second).answers.push_back({now(), AnswerKind::kInvalid, {}});
}

void Callers::end_attempt(std::uint64_t request, bool is_final, double retry_after) {
  const auto found = task_by_request_.find(request);
  if (found == task_by_request_.end()) return;
  const std::uint64_t number = found->second;
  task_by_request_.erase(found);
  Task& task = tasks_.at(number);
  const Flow& flow = options_.flows[task.flow];
  if (!is_final && !task.has_final_answer && task.retries < flow.retries) {
    ++task.retries;
    loop_.after(std::max(retry_after, flow.pause) * (1 + draw()), [this, number] { attempt(number); });
    return;
  }
  if (is_final) task.has_final_answer = true;
  if (--task.attempts == 0) {
    --unfinished_tasks_;
    tasks_.erase(number);
  }
}

void Callers::drop(int fd) {
  const Link link = std::move(links_.at(fd));
  links_.erase(fd);
  loop_.forget(fd);
  ::close(fd);
  for (const auto& [number, request] : link.in_flight) {
    --attempts_in_flight_;
    Attempt& attempt = journal_.attempts.at(request);
    attempt.is_lost = true;
    attempt.lost_at = now();
    attempt.was_on_new_connection = link.answered.empty();
    end_attempt(request, false, 0);
  }
}

}  // namespace damsonspoke::standins
