// Keeps a backend's catalog up with its files: whole before the first request is read, then on each SIGHUP in
// steps beside everything else. Off without a folder.
#pragma once

#include <memory>
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
  // Reads the files; holds the caller until they are read, or the folder hangs.
  CatalogWatch(net::Reactor& reactor, const Choice& choice, Counters& counters, Logger& log);
  ~CatalogWatch();

  const catalog::Catalog& catalog() const { return *catalog_; }
  void poll();  // what has come since; returns at once
  void answer_questions(control::Server& control);
  void report();  // the counters

 private:
  void load();
  void step();
  void tell();
  std::string described() const;

  net::Reactor& reactor_;
  Counters& counters_;
  Logger& log_;
  const std::string folder_;  // empty: off
  std::unique_ptr<catalog::Catalog> catalog_;
  std::unique_ptr<catalog::ThreadedSource> source_;
  std::unique_ptr<catalog::Follower> follower_;
  net::Reactor::TimerId timer_;
  double polled_at_ = -1;  // s; when poll() was called, until all of it is read
};

}  // namespace damsonspoke
