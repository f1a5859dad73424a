// A stand-in for a render worker: cores and a queue, a cold start, connections, keys it remembers,
// load reports, probes, and the ways in which it fails. Counts what took effect by invocation id.
//
//   POST /invoke/OPERATION   x-invocation, x-key, x-work-us (of a yardstick core), x-forwarder,
//   x-timeout-us 200 done | 500 errored | 503 + x-not-begun: 1 refused before it began;  x-load:
//   cpu=..,waiting=.. where told GET /probe/shallow  200 while the process runs;  GET /probe/deep
//   200 after a small piece of work
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/http_server.h"
#include "testbed/observer.h"

namespace badgergrade::testbed {

struct FakeServerSettings {
    std::string id, zone;
    net::Address listen;  // port 0: a free one
    int cores = 2;
    double speed = 1;  // of a yardstick core
    std::size_t max_queued_per_core = 10;
    double initial_capacity_fraction = 0.2;
    Micros warm_up_time{}, collapse_window{};
    double collapse_factor = 0;  // 0: never falls
    std::size_t max_connections = 200;
    Micros handshake_work{};
    double cache_saving_fraction = 0;  // part of the work that a remembered key saves
    Micros cache_ttl{};
    std::size_t max_cached_keys = 1000;
    bool reports_load = false;
    Micros load_report_interval{};
    double error_fraction = 0;
    std::size_t max_concurrent_probes = 3;
};

// What a day does to a worker. All of it can be changed while it runs.
struct ServerFault {
    bool hangs = false;                 // takes invocations, answers none
    double error_fraction = 0;          // part that fails at once
    double slowdown_factor = 1;         // this many times slower
    double stolen_cpu_fraction = 0;     // part of the machine that a neighbour takes
    double lost_response_fraction = 0;  // part of the answers that break off after the work
    double reported_load_fraction = 1;  // load reports show this part of the truth
    std::size_t max_connections = SIZE_MAX;
};

class FakeServer {
public:
    FakeServer(net::Loop& loop, base::ActorId actor, FakeServerSettings settings,
               std::uint64_t seed, Observer* observer, bool cold,
               std::vector<std::string> operations);
    ~FakeServer();

    const FakeServerSettings& settings() const { return settings_; }

    net::Address address() const { return server_->address(); }

    Micros started_at() const { return started_; }

    bool cold_start() const { return cold_; }

    bool collapsed() const { return collapsed_; }

    ServerFault fault;

private:
    struct Job {
        net::HttpExchangePtr exchange;
        std::uint64_t invocation = 0;
        int operation = -1;
        std::string key;
        double work_us = 0;
        Micros expires{};
    };

    void on_request(const net::HttpExchangePtr& exchange);
    void invoke(const net::HttpExchangePtr& exchange);
    void run_next();
    void run(Job job);
    void finish(Job job);
    void respond(const net::HttpExchangePtr& exchange, int status, const char* not_begun);
    void track_received_work(const std::string& proxy, double work_us);
    double capacity() const;
    double cache_factor(const std::string& key);
    std::string load_report();

    net::Loop& loop_;
    base::ActorId actor_;
    FakeServerSettings settings_;
    Observer* observer_;
    std::vector<std::string> operations_;
    std::uint64_t seed_;
    Micros started_{};
    bool cold_, collapsed_ = false;
    int running_ = 0;
    std::size_t active_probes_ = 0;
    std::uint64_t last_timer_id_ = 0;
    std::deque<Job> queue_;
    std::map<std::uint64_t, std::unique_ptr<base::Timer>> running_timers_;
    double pending_handshake_work_us_ = 0;
    std::deque<Observer::ReceivedWork> received_work_;
    double received_work_us_ = 0;
    std::map<std::string, Micros> cached_keys_;
    std::deque<std::pair<Micros, std::string>> key_order_;
    Micros load_report_at_{};
    std::string load_report_;
    double busy_us_ = 0;
    Micros busy_window_start_{};
    std::unique_ptr<net::HttpServer> server_;
};

}  // namespace badgergrade::testbed
