// How clients become known and lose this status, and what a restart restores from the stored record. CTest
// compares with tests/traces/conns_known.txt.
#include <cmath>
#include <cstdio>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "connection_flood_sim.h"
#include "conns/known_clients.h"
#include "conns/known_clients_record.h"

using namespace damsonspoke::conns;
using damsonspoke::standins::kUnixStartSeconds;
using damsonspoke::standins::v4;

namespace {

constexpr double kMaxAgeSeconds = 100;
constexpr double kRequiredSuccesses = 4;
const KnownClientsOptions kOptions{kMaxAgeSeconds, kRequiredSuccesses, 3};

Prefix client(unsigned n) { return client_of(v4(10, 0, 0, n)); }

struct Table {
  KnownClients clients{kOptions};
  double now = kUnixStartSeconds;

  void succeed(unsigned n, int times) {
    for (int i = 0; i < times; ++i) clients.record_success(client(n), now);
  }
  void misbehave(unsigned n, int times) {
    for (int i = 0; i < times; ++i) clients.record_misbehavior(client(n));
  }
  void print(const char* title) const {
    std::printf("%-46s", title);
    for (unsigned n = 1; n <= 5; ++n) {
      std::printf(" %u:%s%.0f", n, clients.is_known(client(n), now) ? "known " : "",
                  clients.score(client(n)));
    }
    std::printf("\n");
  }
};

void become_known_and_lose_it(Table& table) {
  table.succeed(1, 3);
  table.print("three successes");
  table.succeed(1, 1);
  table.print("four successes");
  table.succeed(1, 20);
  table.print("the score is at most twice the requirement");
  table.misbehave(1, 4);
  table.print("misbehavior, four times");
  table.misbehave(1, 3);
  table.print("seven times: no longer known");
}

void evict_and_age(Table& table) {
  for (int i = 0; i < 4; ++i) {
    table.succeed(1, 1);
    table.succeed(2, 1);
  }
  table.now += 1;
  table.succeed(3, 1);
  table.print("two known, one not known");
  table.now += 1;
  table.succeed(4, 1);
  table.print("a fourth evicts the one that is not known");
  table.succeed(4, 4);
  table.now += 1;
  table.succeed(5, 1);
  table.print("the oldest known client is evicted");
  table.now += 99;
  table.print("nearly too old");
  table.now += 2;
  table.print("too old");
  table.succeed(4, 1);
  table.print("a success after that does not make it known");
}

void restore_leaves_out_implausible_entries(const Table& table) {
  const double now = table.now;
  std::vector<KnownClient> stored = table.clients.entries();
  stored.push_back({client(7), 4, now + 1000, true});         // in the future
  stored.push_back({client(8), 4, now - 101, true});          // too old
  stored.push_back({client(9), -1, now, true});               // impossible score
  stored.push_back({{v4(10, 0, 0, 10), 100}, 4, now, true});  // bits beyond the prefix
  stored.push_back({client(11), 1, now, true});               // flagged as known, with too low a score
  stored.push_back({client(12), 4, std::nan(""), true});
  stored.push_back({client(13), 2.5, now, true});  // has lost some of its score but is still known
  KnownClients restored(kOptions);
  std::printf("restored %zu of %zu, known:", restored.restore(stored, now), stored.size());
  for (unsigned n = 1; n <= 13; ++n) {
    if (restored.is_known(client(n), now)) std::printf(" %u", n);
  }
  std::printf("\n");
}

void record_is_read_as_written_or_rejected(const Table& table) {
  const KnownClient invalid{{v4(10, 0, 0, 1), 200}, 4, table.now, true};
  std::printf("a prefix of 200 bits: %s\n",
              decode_known_clients(encode_known_clients({invalid})) ? "accepted" : "rejected");
  const std::string bytes = encode_known_clients(table.clients.entries());
  const auto read = decode_known_clients(bytes);
  const bool is_same = read && read->size() == table.clients.size() && encode_known_clients(*read) == bytes;
  std::printf("round trip: %s\n", is_same ? "identical" : "different");
  int accepted = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    if (decode_known_clients(bytes.substr(0, n))) ++accepted;
  }
  std::printf("truncated anywhere: %d of %s accepted\n", accepted, "all prefixes");
}

int implausible_entries(const KnownClients& clients, double now) {
  int implausible = 0;
  for (const KnownClient& entry : clients.entries()) {
    const bool is_implausible = !std::isfinite(entry.score) || entry.score > 2 * kRequiredSuccesses ||
                                entry.last_success > now || now - entry.last_success > kMaxAgeSeconds;
    if (is_implausible) ++implausible;
  }
  return implausible;
}

void damaged_record_restores_nothing_implausible(const Table& table) {
  const std::string bytes = encode_known_clients(table.clients.entries());
  pcg32 random(3);
  int implausible = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = bytes;
    for (unsigned n = 1 + random() % 3; n > 0; --n)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    const auto clients = decode_known_clients(damaged);
    if (!clients) continue;
    KnownClients restored(kOptions);
    restored.restore(*clients, table.now);
    implausible += implausible_entries(restored, table.now);
  }
  std::printf("damaged bytes: %d implausible entries\n", implausible);
}

}  // namespace

int main() {
  Table table;
  become_known_and_lose_it(table);
  evict_and_age(table);
  restore_leaves_out_implausible_entries(table);
  record_is_read_as_written_or_rejected(table);
  damaged_record_restores_nothing_implausible(table);
  return 0;
}
