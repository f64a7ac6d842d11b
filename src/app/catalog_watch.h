// Keeps a backend's catalog up to date with its files: complete before the first request is read, then after
// each SIGHUP in steps beside all other work. Without a folder the catalog is that of the settings.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "catalog/catalog.h"
#include "catalog/follower.h"
#include "catalog/threaded_source.h"
#include "control/server.h"
#include "net/reactor.h"
#include "observability/counters.h"
#include "observability/logger.h"
#include "settings/config.h"

namespace damsonspoke {

class CatalogWatch {
 public:
  // Reads the files; blocks until they are read or the folder does not respond.
  CatalogWatch(net::Reactor& reactor, const ProcessConfig& process_config, Counters& counters, Logger& log);
  ~CatalogWatch();
  CatalogWatch(const CatalogWatch&) = delete;
  CatalogWatch& operator=(const CatalogWatch&) = delete;

  [[nodiscard]] const catalog::Catalog& catalog() const { return *catalog_; }
  // Starts to read what is new in the files; returns at once.
  void poll();
  // Registers the control command `catalog`.
  void register_command(control::Server& control);
  // Sets the counters of the catalog.
  void report();

 private:
  void load_at_start();
  void step();
  void log_messages();
  [[nodiscard]] std::string describe_status() const;

  net::Reactor& reactor_;
  Counters& counters_;
  Logger& log_;
  const std::string folder_;  // empty: there are no files to follow
  std::unique_ptr<catalog::Catalog> catalog_;
  std::unique_ptr<catalog::ThreadedSource> source_;  // null without a folder
  std::unique_ptr<catalog::Follower> follower_;      // null without a folder
  net::Reactor::TimerId timer_;
  std::optional<double> poll_requested_at_;  // seconds; set until the files are read
};

}  // namespace damsonspoke
