// Features that follow from the platform's settings alone, without an operators' file.
// CTest compares with tests/traces/settings_NAME.txt. usage: settings_program BINARY SCENARIO
#include "scenarios.h"
#include "scripted_site.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kMarked = R"("ram":10,"limit":3000,"unique":"MARK")";

std::string marked(const std::string& mark) { return replaced(kMarked, "MARK", mark); }

std::string transaction_id(int id) {
  char text[20];
  std::snprintf(text, sizeof text, "%016x", id);
  return text;
}

// A route with idempotency keys: repeats are recognized by the protocol's own key, and run once.
void keyed() {
  Site site("", "",
            {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000},)"
             R"({"name":"pull","target":400,"give-up":800}])",
             ""});
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", marked("a").c_str());
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", marked("a").c_str());
  site.pause(0.05);
  site.runtime_says("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.caller_hears(caller);
  site.send_request(caller, 3, "push", marked("a").c_str());
  site.caller_hears(caller);
  site.send_request(caller, 4, "push");  // a keyed request without its mark
  site.caller_hears(caller);
  site.send_request(caller, 5, "pull");  // one that needs none
  site.runtime_hears(2);
  site.counters({"runs.started", "results.remembered", "results.coalesced", "bad.params"});
}

// A window shorter than the run: the repeat that waits as it ends still gets the one result, one that comes
// as the first ends does not run beside it, and only what comes after both runs again.
void window() {
  Site site("", "",
            {R"([{"name":"push","target":2000,"give-up":3000,"semantics":"dedup","window":200}])", ""});
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", marked("a").c_str());
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", marked("a").c_str());
  site.pause(0.5);  // the window is over, the run is not
  site.send_request(caller, 3, "push", marked("a").c_str());
  site.pause(0.05);
  site.signal(SIGSTOP);  // the run's end and another repeat are read in one turn
  site.pause(0.05);
  site.runtime_says("end 1 " + transaction_id(1) + " complete 500 6\r\nresult");
  site.send_request(caller, 4, "push", marked("a").c_str());
  site.pause(0.05);
  site.signal(SIGCONT);
  int succeeded = 0;
  for (int i = 0; i < 3; ++i) succeeded += site.heard(caller).find("cmVzdWx0") != std::string::npos;
  std::printf("the first and those that waited for it, succeeded with its result: %d\n", succeeded);
  site.pause(0.5);
  site.send_request(caller, 5, "push", marked("a").c_str());
  site.pause(0.1);
  site.counters({"requests.read", "results.conflicts", "results.unknown"});
}

// Tenants are identified by name; a request without one, or with an unknown one, gets an error.
void tenants() {
  Site site("", "", {}, R"("customers":[{"name":"alba","quota-per-s":7},{"name":"brera","quota-per-s":0}],)");
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"team":"brera")");
  site.runtime_hears(2);
  site.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"team":"cuneo","second":1)");
  site.caller_hears(caller);
  site.send_request(caller, 3, "push");
  site.caller_hears(caller);
  site.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"team":7)");
  site.caller_hears(caller);
  site.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"team":"alba","second":2)");
  site.caller_hears(caller);
  site.runtime_says("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "bad.params"});
}

// A new configuration that is another deployment's, with no keyed route: its addresses are taken, our request
// types, tenants and keys stay.
void reload() {
  Site site("", "",
            {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000}])", ""});
  site.comes_up();
  const int caller = site.connect();
  site.send_request(caller, 1, "push", marked("a").c_str());
  site.runtime_hears(2);
  site.runtime_says("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  site.other_types(R"([{"name":"read","target":400,"give-up":3000}])");
  site.reload();
  site.runtime_comes_up("hot 900");
  site.send_request(caller, 2, "push", marked("a").c_str());
  site.caller_hears(caller);
  site.send_request(caller, 3, "push", marked("b").c_str());
  site.runtime_hears(2);
  site.send_request(caller, 4, "read");
  site.caller_hears(caller);
  site.counters({"runs.started", "results.remembered", "results.no_capacity", "bad.routes"});
}

// Where requests are valued by work they carry hints, and the settings need not say so: a request with fifty
// times the work of those that ran is rejected at once, one with a tenth waits.
void told_work() {
  Site site("", "", {}, R"("counted-by":"work",)");
  site.comes_up();
  const int caller = site.connect();
  const auto request = [&](int id, const char* more) { site.send_request(caller, id, "pull", more); };
  request(1, R"("ram":10,"limit":3000,"cpu":100)");
  site.runtime_hears(2);
  site.pause(0.2);
  site.runtime_says("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  site.caller_hears(caller);
  request(2, R"("ram":10,"limit":3000,"cpu":100)");
  request(3, R"("ram":10,"limit":3000,"cpu":100)");
  site.runtime_hears(4);
  request(4, R"("ram":10,"limit":3000,"cpu":5000)");
  const bool rejected = site.heard(caller).find("-32001") != std::string::npos;
  std::printf("the one of much work: %s\n", rejected ? "rejected" : "waits");
  request(5, R"("ram":10,"limit":3000,"cpu":10)");
  request(6, R"("ram":10,"limit":3000,"cpu":"much")");
  site.caller_hears(caller);
  site.counters({"requests.read", "requests.succeeded", "requests.rejected", "bad.params"});
}

// One route, twenty routes, and no route that calls a dependency where there is none.
void shapes() {
  const auto serve = [](Site& site, const std::string& type, int notice, bool calls) {
    site.comes_up();
    const int caller = site.connect();
    site.send_request(caller, 1, type.c_str());
    site.runtime_hears(2);
    if (calls) {
      site.runtime_says("wants " + std::to_string(notice++) + " " + transaction_id(1) + " 4\r\ncall");
      site.below_hears(2);
      site.below_says(transaction_id(1) + " ok 5\r\nreply");
      site.runtime_hears(2);
    }
    site.runtime_says("end " + std::to_string(notice) + " " + transaction_id(1) + " complete 20 6\r\nresult");
    site.caller_hears(caller);
    site.send_request(caller, 2, "of-another-fleet");
    site.caller_hears(caller);
  };
  std::printf("-- one route\n");
  Site one(R"(,"calls-by-class":[true],"worth-without":[0])", "",
           {R"([{"name":"only","target":400,"give-up":3000}])", ""});
  serve(one, "only", 1, true);
  std::printf("-- twenty, the calls of the first told and no more\n");
  std::string routes;
  for (int i = 0; i < 20; ++i)
    routes += (i > 0 ? "," : "") + std::string(R"({"name":"t)") + std::to_string(i) +
              R"(","target":400,"give-up":3000,"worth":)" + std::to_string(i + 1) + "}";
  Site twenty("", "", {"[" + routes + "]", ""});
  serve(twenty, "t19", 1, false);
  std::printf("-- none that calls below\n");
  Site alone(R"(,"below":"off","calls-by-class":[])", R"(,"backend":null)");
  serve(alone, "pull", 1, false);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"keyed", keyed},
                       {"window", window},
                       {"customers", tenants},
                       {"shapes", shapes},
                       {"told_work", told_work},
                       {"reload", reload}});
}
