#include "conns/arrival_rates.h"

#include <algorithm>

namespace damsonspoke::conns {
namespace {

constexpr std::size_t kMaxSketchEntries = 1 << 16;
constexpr double kDrainFactor = 2;  // how much faster a sketch drains than unknown clients may arrive
const Prefix kAllClients{};         // the only key in the sketch for all unknown clients

// The number of entries at which the smallest one is always empty while unknown clients arrive at their
// maximum rate, also after a full burst. A new key then replaces only an empty entry, so that no client's
// count is lost.
std::size_t sketch_entries(const ConnectionLimiterOptions& options) {
  const double to_drain = kDrainFactor * options.unknown_clients_rate / options.client_rate;
  const auto needed = static_cast<std::size_t>(std::max(to_drain, options.unknown_clients_burst));
  return std::clamp(needed, options.clients, std::max(options.clients, kMaxSketchEntries));
}

}  // namespace

ArrivalRates::ArrivalRates(const ConnectionLimiterOptions& options)
    : unknown_clients_(sketch_entries(options), options.client_rate, options.client_burst),
      known_clients_(options.clients, options.client_rate * options.known_rate_factor,
                     options.client_burst * options.known_rate_factor),
      networks_(options.clients, options.network_rate, options.network_burst),
      all_unknown_(1, options.unknown_clients_rate, options.unknown_clients_burst) {}

std::optional<ArrivalRates::Violation> ArrivalRates::find_violation(const NewConnection& new_connection,
                                                                    double now) const {
  const RateSketch& clients = new_connection.is_unknown ? unknown_clients_ : known_clients_;
  if (const double wait = clients.wait_seconds(new_connection.client, now); wait > 0)
    return Violation{RejectCause::kClientRate, wait};
  if (!new_connection.is_unknown) return std::nullopt;
  if (!new_connection.is_in_group) {
    if (const double wait = networks_.wait_seconds(new_connection.network, now); wait > 0)
      return Violation{RejectCause::kNetworkRate, wait};
  }
  if (const double wait = all_unknown_.wait_seconds(kAllClients, now); wait > 0)
    return Violation{RejectCause::kUnknownClientsRate, wait};
  return std::nullopt;
}

void ArrivalRates::record(const NewConnection& new_connection, double now) {
  RateSketch& clients = new_connection.is_unknown ? unknown_clients_ : known_clients_;
  clients.add(new_connection.client, now);
  if (!new_connection.is_unknown) return;
  networks_.add(new_connection.network, now);
  all_unknown_.add(kAllClients, now);
}

void ArrivalRates::reconfigure(const ConnectionLimiterOptions& options, double now) {
  unknown_clients_.reconfigure(options.client_rate, options.client_burst, now);
  known_clients_.reconfigure(options.client_rate * options.known_rate_factor,
                             options.client_burst * options.known_rate_factor, now);
  networks_.reconfigure(options.network_rate, options.network_burst, now);
  all_unknown_.reconfigure(options.unknown_clients_rate, options.unknown_clients_burst, now);
}

}  // namespace damsonspoke::conns
