// A backend that runs with the platform's settings alone, without an operators' file.
// CTest compares with tests/traces/settings_NAME.txt. usage: settings_program BINARY SCENARIO
#include "scenarios.h"
#include "server_fixture.h"

using namespace damsonspoke::standins::scripted;

namespace {

const std::string kKeyedParams = R"("ram":10,"limit":3000,"unique":"KEY")";

std::string keyed_params(const std::string& key) { return replaced(kKeyedParams, "KEY", key); }

std::string transaction_id(int id) {
  char text[20];
  std::snprintf(text, sizeof text, "%016x", id);
  return text;
}

// A route with idempotency keys: duplicates are recognized by the key of the protocol, and the request runs
// once.
void keyed() {
  ServerFixture fixture("", "",
                        {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000},)"
                         R"({"name":"pull","target":400,"give-up":800}])",
                         ""});
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", keyed_params("a").c_str());
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", keyed_params("a").c_str());
  fixture.pause(0.05);
  fixture.send_from_runtime("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", keyed_params("a").c_str());
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push");  // the route needs a key, but the request has none
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 5, "pull");  // a route that needs no key
  fixture.print_runtime_lines(2);
  fixture.print_counters({"runs.started", "results.remembered", "results.coalesced", "bad.params"});
}

// The idempotency window is shorter than the run. A duplicate that waits when the run ends gets its result, a
// duplicate that arrives at that moment does not run concurrently, and only a request that arrives later runs
// again.
void window() {
  ServerFixture fixture(
      "", "", {R"([{"name":"push","target":2000,"give-up":3000,"semantics":"dedup","window":200}])", ""});
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", keyed_params("a").c_str());
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", keyed_params("a").c_str());
  fixture.pause(0.5);  // the window has expired, the run has not ended
  fixture.send_request(caller, 3, "push", keyed_params("a").c_str());
  fixture.pause(0.05);
  fixture.signal(SIGSTOP);  // the end of the run and another duplicate are read in one event-loop iteration
  fixture.pause(0.05);
  fixture.send_from_runtime("end 1 " + transaction_id(1) + " complete 500 6\r\nresult");
  fixture.send_request(caller, 4, "push", keyed_params("a").c_str());
  fixture.pause(0.05);
  fixture.signal(SIGCONT);
  int succeeded = 0;
  for (int i = 0; i < 3; ++i) succeeded += fixture.next_message(caller).find("cmVzdWx0") != std::string::npos;
  std::printf("the original and its waiting duplicates that succeeded with its result: %d\n", succeeded);
  fixture.pause(0.5);
  fixture.send_request(caller, 5, "push", keyed_params("a").c_str());
  fixture.pause(0.1);
  fixture.print_counters({"requests.read", "results.conflicts", "results.unknown"});
}

// Tenants are identified by name; a request without a tenant, or with an unknown one, gets an error.
void tenants() {
  ServerFixture fixture("", "", {},
                        R"("customers":[{"name":"alba","quota-per-s":7},{"name":"brera","quota-per-s":0}],)");
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", R"("ram":10,"limit":3000,"team":"brera")");
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 2, "push", R"("ram":10,"limit":3000,"team":"cuneo","second":1)");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 4, "push", R"("ram":10,"limit":3000,"team":7)");
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 5, "push", R"("ram":10,"limit":3000,"team":"alba","second":2)");
  fixture.print_caller_message(caller);
  fixture.send_from_runtime("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "bad.params"});
}

// The new configuration is that of another deployment without a keyed route: its addresses are used, but the
// routes, tenants and keys of the running process stay.
void reload() {
  ServerFixture fixture(
      "", "", {R"([{"name":"push","target":400,"give-up":3000,"semantics":"dedup","window":20000}])", ""});
  fixture.complete_startup();
  const int caller = fixture.connect();
  fixture.send_request(caller, 1, "push", keyed_params("a").c_str());
  fixture.print_runtime_lines(2);
  fixture.send_from_runtime("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  fixture.set_routes(R"([{"name":"read","target":400,"give-up":3000}])");
  fixture.reload();
  fixture.complete_runtime_handshake("hot 900");
  fixture.send_request(caller, 2, "push", keyed_params("a").c_str());
  fixture.print_caller_message(caller);
  fixture.send_request(caller, 3, "push", keyed_params("b").c_str());
  fixture.print_runtime_lines(2);
  fixture.send_request(caller, 4, "read");
  fixture.print_caller_message(caller);
  fixture.print_counters({"runs.started", "results.remembered", "results.no_capacity", "bad.routes"});
}

// If requests are valued by their work, they carry work hints by default: a request with fifty times the work
// of earlier ones is rejected at once, one with a tenth of it waits.
void work_hints() {
  ServerFixture fixture("", "", {}, R"("counted-by":"work",)");
  fixture.complete_startup();
  const int caller = fixture.connect();
  const auto request = [&](int id, const char* params) { fixture.send_request(caller, id, "pull", params); };
  request(1, R"("ram":10,"limit":3000,"cpu":100)");
  fixture.print_runtime_lines(2);
  fixture.pause(0.2);
  fixture.send_from_runtime("end 1 " + transaction_id(1) + " complete 20 6\r\nresult");
  fixture.print_caller_message(caller);
  request(2, R"("ram":10,"limit":3000,"cpu":100)");
  request(3, R"("ram":10,"limit":3000,"cpu":100)");
  fixture.print_runtime_lines(4);
  request(4, R"("ram":10,"limit":3000,"cpu":5000)");
  const bool rejected = fixture.next_message(caller).find("-32001") != std::string::npos;
  std::printf("the request with much work: %s\n", rejected ? "rejected" : "waits");
  request(5, R"("ram":10,"limit":3000,"cpu":10)");
  request(6, R"("ram":10,"limit":3000,"cpu":"much")");
  fixture.print_caller_message(caller);
  fixture.print_counters({"requests.read", "requests.succeeded", "requests.rejected", "bad.params"});
}

// One route, twenty routes, and no route that calls a dependency if none is configured.
void shapes() {
  const auto serve = [](ServerFixture& fixture, const std::string& route, int notice, bool calls_dependency) {
    fixture.complete_startup();
    const int caller = fixture.connect();
    fixture.send_request(caller, 1, route.c_str());
    fixture.print_runtime_lines(2);
    if (calls_dependency) {
      fixture.send_from_runtime("wants " + std::to_string(notice++) + " " + transaction_id(1) + " 4\r\ncall");
      fixture.print_dependency_lines(2);
      fixture.send_from_dependency(transaction_id(1) + " ok 5\r\nreply");
      fixture.print_runtime_lines(2);
    }
    fixture.send_from_runtime("end " + std::to_string(notice) + " " + transaction_id(1) +
                              " complete 20 6\r\nresult");
    fixture.print_caller_message(caller);
    fixture.send_request(caller, 2, "of-another-fleet");
    fixture.print_caller_message(caller);
  };
  std::printf("-- one route\n");
  ServerFixture one(R"(,"calls-by-class":[true],"worth-without":[0])", "",
                    {R"([{"name":"only","target":400,"give-up":3000}])", ""});
  serve(one, "only", 1, true);
  std::printf("-- twenty routes, calls-by-class for the first only\n");
  std::string routes;
  for (int i = 0; i < 20; ++i)
    routes += (i > 0 ? "," : "") + std::string(R"({"name":"t)") + std::to_string(i) +
              R"(","target":400,"give-up":3000,"worth":)" + std::to_string(i + 1) + "}";
  ServerFixture twenty("", "", {"[" + routes + "]", ""});
  serve(twenty, "t19", 1, false);
  std::printf("-- no route that calls the dependency\n");
  ServerFixture alone(R"(,"below":"off","calls-by-class":[])", R"(,"backend":null)");
  serve(alone, "pull", 1, false);
}

}  // namespace

int main(int argc, char** argv) {
  return run_scenario(argc, argv, binary,
                      {{"keyed", keyed},
                       {"window", window},
                       {"customers", tenants},
                       {"shapes", shapes},
                       {"work_hints", work_hints},
                       {"reload", reload}});
}
