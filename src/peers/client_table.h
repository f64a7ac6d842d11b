// The open connections of one listener, by tag and in the order of their last traffic.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>

#include "net/connection.h"

namespace damsonspoke::peers {

// `Client` is derived from ClientConnection. References stay valid until the client is removed.
template <typename Client>
class ClientTable {
 public:
  // Adds a client whose tag is not in the table, as the one with the latest traffic. `now`: monotonic s.
  Client& insert(std::uint64_t tag, const std::shared_ptr<net::Connection>& connection, double now) {
    Client& client = clients_[tag];
    client.connection = connection;
    client.connection->tag = tag;
    client.last_traffic_at = now;
    client.idle_position = idle_order_.insert(idle_order_.end(), tag);
    return client;
  }
  // Null where the tag is unknown.
  [[nodiscard]] Client* find(std::uint64_t tag) {
    const auto found = clients_.find(tag);
    return found == clients_.end() ? nullptr : &found->second;
  }
  // Removes and returns a client that is in the table.
  Client extract(std::uint64_t tag) {
    const auto found = clients_.find(tag);
    Client client = std::move(found->second);
    idle_order_.erase(client.idle_position);
    clients_.erase(found);
    return client;
  }
  // Records traffic of the client, which moves it to the end of the idle order.
  void on_traffic(Client& client, double now) {
    client.last_traffic_at = now;
    idle_order_.splice(idle_order_.end(), idle_order_, client.idle_position);
  }
  // The connection to evict in favor of a new one: the oldest silent one of those that `is_idle`, otherwise
  // the one that has been idle the longest; null: none is idle.
  template <typename IsIdle>
  [[nodiscard]] Client* find_evictable(double now, IsIdle&& is_idle) {
    Client* longest_idle = nullptr;
    for (const std::uint64_t tag : idle_order_) {
      Client& client = clients_.at(tag);
      if (!client.connection->open()) continue;
      const bool is_silent = client.is_silent(now);
      if ((longest_idle != nullptr && !is_silent) || !is_idle(client)) continue;
      longest_idle = &client;
      if (is_silent) break;
    }
    return longest_idle;
  }
  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  // The tags in the order of the last traffic, the longest idle first.
  [[nodiscard]] const std::list<std::uint64_t>& idle_order() const { return idle_order_; }
  [[nodiscard]] auto begin() { return clients_.begin(); }
  [[nodiscard]] auto end() { return clients_.end(); }

 private:
  std::unordered_map<std::uint64_t, Client> clients_;
  std::list<std::uint64_t> idle_order_;
};

}  // namespace damsonspoke::peers
