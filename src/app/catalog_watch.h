// Keeps the catalog of a backend up to date with its files. The files are read completely before the first
// request is read, and again after each SIGHUP, in short steps between other work. Without a folder the
// catalog consists of the routes and tenants of the settings.
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
  // Reads the files; blocks until they are read or a read times out.
  CatalogWatch(net::Reactor& reactor, const ProcessConfig& process_config, Counters& counters, Logger& log);
  ~CatalogWatch();
  CatalogWatch(const CatalogWatch&) = delete;
  CatalogWatch& operator=(const CatalogWatch&) = delete;

  [[nodiscard]] const catalog::Catalog& catalog() const { return *catalog_; }
  // Starts to read the changes of the files and returns at once.
  void poll();
  // Registers the control query `catalog`.
  void register_command(control::Server& control);
  // Updates the counters of the catalog.
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
