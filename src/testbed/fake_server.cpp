#include "testbed/fake_server.h"

#include <algorithm>
#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::testbed {

using namespace std::chrono_literals;

FakeServer::FakeServer(net::Loop& loop, base::ActorId actor, FakeServerSettings settings,
                       std::uint64_t seed, Observer* observer, bool cold,
                       std::vector<std::string> operations)
    : loop_(loop),
      actor_(actor),
      settings_(std::move(settings)),
      observer_(observer),
      operations_(std::move(operations)),
      seed_(seed),
      started_(loop.clock().now()),
      cold_(cold) {
    server_ = std::make_unique<net::HttpServer>(loop, actor, settings_.id, settings_.listen,
                                                net::HttpLimits{}, SIZE_MAX);
    server_->on_request = [this](net::HttpExchangePtr exchange) {
        on_request(exchange);
    };
    server_->on_connection = [this](std::size_t) {
        pending_handshake_work_us_ += static_cast<double>(settings_.handshake_work.count());
        server_->limit_connections(std::min(settings_.max_connections, fault.max_connections));
    };
    if (observer_) {
        observer_->on_server_started(started_, settings_.id, cold_);
    }
}

FakeServer::~FakeServer() {
    if (observer_) {
        observer_->on_server_stopped(loop_.clock().now(), settings_.id);
    }
    running_timers_.clear();
    queue_.clear();
    server_->on_request = {};
}

// Capacity relative to a warm server: rises linearly over the warm-up time.
double FakeServer::capacity() const {
    if (!cold_ || settings_.warm_up_time <= Micros{0}) {
        return 1;
    }
    const double age = static_cast<double>((loop_.clock().now() - started_).count()) /
                       static_cast<double>(settings_.warm_up_time.count());
    return std::min(
        1.0, settings_.initial_capacity_fraction + (1 - settings_.initial_capacity_fraction) * age);
}

void FakeServer::on_request(const net::HttpExchangePtr& exchange) {
    server_->limit_connections(std::min(settings_.max_connections, fault.max_connections));
    const std::string& target = exchange->request.target;
    if (fault.hangs || collapsed_) {
        return;  // never responds
    }
    if (target.rfind("/invoke/", 0) == 0) {
        return invoke(exchange);
    }
    if (target == "/probe/shallow") {
        return respond(exchange, 200, nullptr);
    }
    if (target == "/probe/deep") {
        if (active_probes_ >= settings_.max_concurrent_probes) {
            return respond(exchange, 503, "1");
        }
        ++active_probes_;
        Job job{exchange, 0, -1, {}, 5000, Micros::max()};
        queue_.push_back(std::move(job));
        return run_next();
    }
    respond(exchange, 404, nullptr);
}

void FakeServer::invoke(const net::HttpExchangePtr& exchange) {
    const net::HttpMessage& request = exchange->request;
    const auto id = request.number("x-invocation");
    const auto work = request.number("x-work-us");
    const auto limit = request.number("x-timeout-us");
    if (!id || !work || *work < 0 || *work > 3600000000LL) {
        return respond(exchange, 400, "1");
    }
    const std::string proxy{request.header("x-forwarder").value_or("")};
    track_received_work(proxy, static_cast<double>(*work));
    if (collapsed_) {
        return;
    }
    // The draw depends on the invocation id, not on the order of events, so that runs with
    // different settings see the same failures.
    const double draw = base::SequentialRandom(seed_, "errors/" + std::to_string(*id)).part();
    if (draw < std::max(fault.error_fraction, settings_.error_fraction)) {
        return respond(exchange, 500, nullptr);
    }
    if (queue_.size() >=
            settings_.max_queued_per_core * static_cast<std::size_t>(settings_.cores) &&
        running_ >= settings_.cores) {
        return respond(exchange, 503, "1");
    }
    Job job;
    job.exchange = exchange;
    job.invocation = static_cast<std::uint64_t>(*id);
    const std::string operation = request.target.substr(std::string("/invoke/").size());
    const auto at = std::find(operations_.begin(), operations_.end(), operation);
    job.operation = at == operations_.end() ? -1 : static_cast<int>(at - operations_.begin());
    job.key = request.header("x-key").value_or("");
    job.work_us = static_cast<double>(*work);
    job.expires = limit ? loop_.clock().now() + Micros(*limit) : Micros::max();
    queue_.push_back(std::move(job));
    run_next();
}

void FakeServer::respond(const net::HttpExchangePtr& exchange, int status, const char* not_begun) {
    net::HttpMessage response;
    response.status = status;
    if (not_begun) {
        response.headers.emplace_back("x-not-begun", not_begun);
    }
    if (settings_.reports_load) {
        response.headers.emplace_back("x-load", load_report());
    }
    exchange->answer(std::move(response));
}

void FakeServer::run_next() {
    const auto now = loop_.clock().now();
    while (running_ < settings_.cores && !queue_.empty()) {
        Job job = std::move(queue_.front());
        queue_.pop_front();
        // The client no longer waits: discarded before execution.
        if (!job.exchange->open() || job.expires <= now) {
            if (job.operation < 0 && active_probes_ > 0) {
                --active_probes_;
            }
            continue;
        }
        run(std::move(job));
    }
}

void FakeServer::run(Job job) {
    const Micros now = loop_.clock().now();
    if (job.operation >= 0 && observer_) {
        observer_->on_execution_started(now, settings_.id, job.invocation, job.operation);
    }
    const double work =
        job.work_us * cache_factor(job.key) + std::exchange(pending_handshake_work_us_, 0.0);
    const double effective_speed = settings_.speed * capacity() *
                                   std::max(0.01, 1 - fault.stolen_cpu_fraction) /
                                   std::max(0.01, fault.slowdown_factor);
    const Micros run_time(std::max<std::int64_t>(1, std::llround(work / effective_speed)));
    ++running_;
    busy_us_ += static_cast<double>(run_time.count());
    const std::uint64_t id = ++last_timer_id_;
    auto timer = std::make_unique<base::Timer>(loop_.clock(), actor_);
    timer->after(run_time, [this, id, job = std::move(job)] {
        const auto done = running_timers_.extract(id);
        --running_;
        finish(job);
        run_next();
    });
    running_timers_[id] = std::move(timer);
}

void FakeServer::finish(Job job) {
    if (job.operation < 0 && job.invocation == 0 && active_probes_ > 0) {
        --active_probes_;
    }
    if (fault.hangs || collapsed_ || !job.exchange->open()) {
        return;
    }
    const double draw =
        base::SequentialRandom(seed_, "lost/" + std::to_string(job.invocation)).part();
    if (draw < fault.lost_response_fraction) {
        return job.exchange->break_off();
    }
    respond(job.exchange, 200, nullptr);
}

// The part of the work that remains if the key is cached, else 1. Caches the key.
double FakeServer::cache_factor(const std::string& key) {
    if (settings_.cache_saving_fraction <= 0 || key.empty()) {
        return 1;
    }
    const Micros now = loop_.clock().now();
    const auto it = cached_keys_.find(key);
    const bool known = it != cached_keys_.end() && it->second + settings_.cache_ttl >= now;
    cached_keys_[key] = now;
    key_order_.emplace_back(now, key);
    while (cached_keys_.size() > settings_.max_cached_keys ||
           (!key_order_.empty() && key_order_.front().first + settings_.cache_ttl < now)) {
        const auto [when, old] = key_order_.front();
        key_order_.pop_front();
        if (const auto o = cached_keys_.find(old); o != cached_keys_.end() && o->second == when) {
            cached_keys_.erase(o);
        }
    }
    return known ? 1 - settings_.cache_saving_fraction : 1;
}

// A server that is warming up collapses, for good, when the work received within the collapse
// window exceeds the collapse factor times its capacity.
void FakeServer::track_received_work(const std::string& proxy, double work_us) {
    if (!cold_ || settings_.collapse_factor <= 0 || settings_.collapse_window <= Micros{0}) {
        return;
    }
    const Micros now = loop_.clock().now();
    if (now >= started_ + settings_.warm_up_time) {
        return;
    }
    received_work_.push_back({proxy, now, work_us});
    received_work_us_ += work_us;
    while (!received_work_.empty() && received_work_.front().at + settings_.collapse_window < now) {
        received_work_us_ -= received_work_.front().work;
        received_work_.pop_front();
    }
    const double capacity_us = capacity() * settings_.cores * settings_.speed *
                               static_cast<double>(settings_.collapse_window.count());
    // Tolerates two more invocations of this size, which can arrive together by chance.
    if (received_work_us_ <= settings_.collapse_factor * capacity_us + 2 * work_us) {
        return;
    }
    collapsed_ = true;
    running_timers_.clear();
    running_ = 0;
    queue_.clear();
    if (observer_) {
        observer_->on_server_collapsed(now, settings_.id,
                                       {received_work_.begin(), received_work_.end()});
    }
}

std::string FakeServer::load_report() {
    const Micros now = loop_.clock().now();
    if (!load_report_.empty() && now < load_report_at_ + settings_.load_report_interval) {
        return load_report_;
    }
    const double span =
        std::max(1.0, static_cast<double>((now - busy_window_start_).count()) * settings_.cores);
    const double cpu = std::min(1.0, busy_us_ / span) * fault.reported_load_fraction;
    const auto two_decimals = [](double v) {
        return std::to_string(static_cast<double>(std::llround(v * 100)) / 100.0).substr(0, 4);
    };
    load_report_ =
        "cpu=" + two_decimals(cpu) + ",active=" + std::to_string(running_) + ",waiting=" +
        std::to_string(
            std::llround(static_cast<double>(queue_.size()) * fault.reported_load_fraction));
    load_report_at_ = now;
    busy_us_ = 0;
    busy_window_start_ = now;
    return load_report_;
}

}  // namespace badgergrade::testbed
