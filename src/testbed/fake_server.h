// A fake of a render server: cores with a queue, warm-up after a cold start, a connection limit, a
// cache of keys, load reports, health checks, and faults. Reports each execution by invocation id.
//
//   POST /invoke/OPERATION   request headers: x-invocation, x-key, x-work-us (CPU time on the
//                            reference core, us), x-forwarder, x-timeout-us
//                            200: done; 500: error; 503 with "x-not-begun: 1": rejected
//                            unprocessed; response header x-load (cpu=..,active=..,waiting=..) if
//                            enabled
//   GET /probe/shallow       200 while the process runs
//   GET /probe/deep          200 after a small piece of work in the queue
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/http_server.h"
#include "testbed/observer.h"

namespace badgergrade::testbed {

// Times in microseconds.
struct FakeServerSettings {
    std::string id, zone;
    net::Address listen;  // port 0 selects a free port
    int cores = 2;
    double speed = 1;  // of a core, relative to the reference core
    std::size_t max_queued_per_core = 10;
    double initial_capacity_fraction = 0.2;
    Micros warm_up_time{}, collapse_window{};
    double collapse_factor = 0;  // 0: never collapses
    std::size_t max_connections = 200;
    Micros handshake_work{};
    double cache_saving_fraction = 0;  // part of the work saved by a cached key
    Micros cache_ttl{};
    std::size_t max_cached_keys = 1000;
    bool reports_load = false;
    Micros load_report_interval{};
    double error_fraction = 0;
    std::size_t max_concurrent_probes = 3;
};

// Faults of a server, all of which can change while it runs. Fractions are of 1.
struct ServerFault {
    bool hangs = false;                 // accepts requests and never responds
    double error_fraction = 0;          // of invocations that fail at once
    double slowdown_factor = 1;         // execution takes this many times longer
    double stolen_cpu_fraction = 0;     // CPU time taken by a noisy neighbour
    double lost_response_fraction = 0;  // of responses cut off after the work was done
    double reported_load_fraction = 1;  // part of the true load shown in load reports
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
