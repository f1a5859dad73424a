#include "testbed/fake_proxy.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace badgergrade::testbed {

using namespace std::chrono_literals;
using How = net::HttpOutcome::How;

namespace {
constexpr std::uint64_t kAdmissionSeed =
    0x5348415245;  // keeps the admission draw independent of the endpoint choice
}

FakeProxy::FakeProxy(net::Loop& loop, base::ActorId actor, FakeProxySettings settings,
                     std::uint64_t seed, Observer* observer,
                     std::map<net::Address, std::string> const* server_names)
    : loop_(loop),
      actor_(actor),
      settings_(std::move(settings)),
      observer_(observer),
      server_names_(server_names),
      random_(seed, settings_.id),
      attempt_seed_(base::seed_for(seed, settings_.id + "/luck")),
      ads_(node()),
      reconnect_timer_(loop.clock(), actor),
      report_timer_(loop.clock(), actor),
      failback_timer_(loop.clock(), actor) {
    startup_.load_balancing_policy = settings_.load_balancing_policy;
    startup_.ejection_failures = settings_.ejection_failures;
    startup_.ejection_time = settings_.ejection_time;
    startup_.endpoints = settings_.startup_table;
    server_ = std::make_unique<net::HttpServer>(loop, actor, settings_.id, settings_.listen,
                                                net::HttpLimits{}, 10000);
    server_->on_request = [this](net::HttpExchangePtr exchange) {
        on_request(exchange);
    };
    if (observer_) {
        observer_->on_proxy_started(loop.clock().now(), settings_.id);
    }
    report_endpoint_availability();
    reconnect_timer_.after(Micros(static_cast<std::int64_t>(random_.between(0, 50e3))),
                           [this] { connect(); });
}

FakeProxy::~FakeProxy() {
    if (observer_) {
        observer_->on_proxy_stopped(loop_.clock().now(), settings_.id);
    }
    if (call_ && observer_) {
        observer_->on_proxy_disconnected(loop_.clock().now(), settings_.id,
                                         settings_.instance_names[instance_index_]);
    }
    for (const auto& call : {call_, reports_}) {
        if (call) {
            call->on_closed = {};
            call->on_message = {};
        }
    }
    if (connection_) {
        connection_->on_closed = {};
        connection_->abort("the proxy is shutting down");
    }
    for (auto& [id, pending] : pending_) {
        pending.exchange->on_gone = {};
    }
}

envoy::config::core::v3::Node FakeProxy::node() const {
    envoy::config::core::v3::Node out;
    out.set_id(settings_.id);
    out.set_user_agent_name("badgergrade-forwarder");
    out.mutable_locality()->set_zone(settings_.zone);
    auto& fields = *out.mutable_metadata()->mutable_fields();
    fields["rate"].set_number_value(settings_.invocations_per_second);
    fields["fresh"].set_bool_value(awaiting_config_);
    return out;
}

// ---- connection to a control plane instance

void FakeProxy::connect() {
    if (isolated_ || settings_.instance_addresses.empty()) {
        return schedule_reconnect();
    }
    dial_ = std::make_unique<net::Dial>(
        loop_, actor_, settings_.id, settings_.instance_addresses[instance_index_],
        settings_.dial_timeout, [this](net::StreamPtr stream, const std::string&) {
            if (stream && !isolated_) {
                return on_connected(std::move(stream), instance_index_);
            }
            if (stream) {
                stream->close(true);
            }
            instance_index_ = (instance_index_ + 1) % settings_.instance_addresses.size();
            schedule_reconnect();
        });
}

void FakeProxy::schedule_reconnect() {
    const double wait = random_.between(static_cast<double>(settings_.min_reconnect_delay.count()),
                                        static_cast<double>(settings_.max_reconnect_delay.count()));
    reconnect_timer_.after(Micros(std::llround(wait)), [this] { connect(); });
}

void FakeProxy::on_connected(net::StreamPtr stream, std::size_t instance) {
    stream_ = stream;
    net::GrpcLimits limits;
    limits.keepalive = settings_.keepalive_interval;
    connection_ = std::make_shared<net::GrpcConnection>(
        loop_, actor_, net::Http2Session::Role::Client, stream, limits);
    connection_->on_closed = [this](std::string why) {
        on_disconnected(why);
    };
    connection_->start();
    call_ = connection_->call(std::string(xds::kAdsMethod));
    call_->on_message = [this](std::string_view bytes) {
        on_response(bytes);
    };
    call_->on_closed = [this](std::string why) {
        // The instance ended the ADS stream: without it the connection has no use.
        if (connection_) {
            connection_->abort(why.empty() ? "the instance ended the ADS stream" : why);
        }
    };
    ads_ = [&] {
        xds::AdsClient next(node());
        next.response_check = ads_.response_check;
        next.restore_tables(ads_.tables());
        return next;
    }();
    call_->cork();
    for (const auto& request : ads_.start()) {
        call_->send(request.SerializeAsString());
    }
    reports_ = connection_->call(std::string(xds::kLrsMethod));
    envoy::service::load_stats::v3::LoadStatsRequest first_request;
    *first_request.mutable_node() = node();
    reports_->send(first_request.SerializeAsString());
    call_->uncork();
    reports_->on_message = [this](std::string_view bytes) {
        envoy::service::load_stats::v3::LoadStatsResponse response;
        if (!response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            return;
        }
        report_interval_ = Micros(response.load_reporting_interval().seconds() * 1000000 +
                                  response.load_reporting_interval().nanos() / 1000);
        if (report_interval_ <= 0us || report_timer_.set()) {
            return;
        }
        last_report_at_ = loop_.clock().now();
        // The first report is delayed at random, so that proxies do not all report at once.
        report_timer_.after(
            Micros(std::llround(random_.part() * static_cast<double>(report_interval_.count()))) +
                1ms,
            [this] { report(); });
    };
    if (observer_) {
        observer_->on_proxy_connected(loop_.clock().now(), settings_.id,
                                      settings_.instance_names[instance]);
    }
    if (stalled_) {
        stream_->pause_reading();
    }
    if (instance != 0 && settings_.failback_delay > 0us) {
        failback_timer_.after(settings_.failback_delay, [this] {
            instance_index_ = 0;
            break_stream();
        });
    }
}

void FakeProxy::on_disconnected(const std::string&) {
    const auto instance = settings_.instance_names[instance_index_];
    const bool was_connected = call_ != nullptr;
    for (const auto& call : {call_, reports_}) {
        if (call) {
            call->on_closed = {};
            call->on_message = {};
        }
    }
    call_.reset();
    reports_.reset();
    connection_.reset();
    stream_.reset();
    report_timer_.stop();
    failback_timer_.stop();
    if (was_connected && observer_) {
        observer_->on_proxy_disconnected(loop_.clock().now(), settings_.id, instance);
    }
    schedule_reconnect();
}

void FakeProxy::break_stream() {
    if (!connection_) {
        return;
    }
    const auto connection = connection_;
    connection->abort("stream aborted by the scenario");
}

void FakeProxy::set_isolated(bool isolated) {
    isolated_ = isolated;
    if (isolated) {
        break_stream();
    }
}

void FakeProxy::set_stalled(bool stalled) {
    stalled_ = stalled;
    if (!stream_) {
        return;
    }
    if (stalled) {
        stream_->pause_reading();
    } else {
        stream_->resume_reading();
    }
}

void FakeProxy::on_response(std::string_view bytes) {
    xds::AdsClient::Response response;
    const Micros now = loop_.clock().now();
    if (!response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return break_stream();
    }
    const auto outcome = ads_.on_response(response);
    const auto& instance = settings_.instance_names[instance_index_];
    if (observer_) {
        observer_->on_response(now, settings_.id, instance, response.control_plane().identifier(),
                               bytes.size(),
                               outcome.rejected ? outcome.rejected->text : std::string{});
    }
    if (outcome.tables_changed) {
        awaiting_config_ = false;
        // Closes the connections to servers that are in no table any more.
        std::set<net::Address> named;
        for (const auto& [name, table] : ads_.tables().clusters) {
            for (const auto& line : table.endpoints) {
                if (!line.draining) {
                    named.insert(line.address);
                }
            }
        }
        if (!ads_.tables().routes.empty()) {
            for (auto& [address, pool] : pools_) {
                if (!named.contains(address)) {
                    pool->retire();
                }
            }
        }
        report_endpoint_availability();
    }
    const auto call = call_;
    if (!call) {
        return;
    }
    call->cork();
    for (const auto& request : outcome.requests) {
        call->send(request.SerializeAsString());
    }
    call->uncork();
}

void FakeProxy::report() {
    if (!reports_) {
        return;
    }
    const Micros now = loop_.clock().now();
    xds::LoadReport load;
    load.interval = now - std::exchange(last_report_at_, now);
    load.endpoints = std::exchange(endpoint_loads_, {});
    load.operations = std::exchange(operation_demands_, {});
    for (const Operation& op : settings_.operations) {
        load.operations[op.name];
    }
    reports_->send(xds::to_message(load).SerializeAsString());
    report_timer_.after(report_interval_, [this] { report(); });
}

// ---- invocations

std::string FakeProxy::server_name(const net::Address& address) const {
    const auto it = server_names_->find(address);
    return it == server_names_->end() ? net::to_text(address) : it->second;
}

net::HttpPool& FakeProxy::pool(const net::Address& to) {
    auto& known = pools_[to];
    if (!known) {
        known = std::make_unique<net::HttpPool>(loop_, actor_, settings_.id, to,
                                                settings_.connect_timeout,
                                                settings_.connection_idle_timeout);
    }
    return *known;
}

const xds::ProxyTable* FakeProxy::table_for(const PendingInvocation& pending) const {
    if (pending.cluster.empty()) {
        return &startup_;
    }
    const auto it = ads_.tables().clusters.find(pending.cluster);
    return it == ads_.tables().clusters.end() ? nullptr : &it->second;
}

bool FakeProxy::admit(const std::string& path, const xds::ProxyRoute& route,
                      std::uint64_t invocation) {
    if (route.admitted_fraction < 1 &&
        base::CounterRandom(attempt_seed_ ^ kAdmissionSeed, invocation).part() >=
            route.admitted_fraction) {
        return false;
    }
    if (route.admitted_per_second <= 0) {
        return true;
    }
    Bucket& bucket = buckets_[path];
    const Micros now = loop_.clock().now();
    if (bucket.filled == 0us) {
        bucket.tokens = route.max_burst;
    }
    bucket.tokens = std::min(
        route.max_burst, bucket.tokens + static_cast<double>((now - bucket.filled).count()) / 1e6 *
                                             route.admitted_per_second);
    bucket.filled = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void FakeProxy::on_request(const net::HttpExchangePtr& exchange) {
    const auto id = exchange->request.number("x-invocation");
    const auto timeout = exchange->request.number("x-timeout-us");
    net::HttpMessage no;
    no.status = 400;
    int operation = -1;
    for (std::size_t k = 0; k < settings_.operations.size(); ++k) {
        if (xds::operation_path(settings_.operations[k].name) == exchange->request.target) {
            operation = static_cast<int>(k);
        }
    }
    if (!id || !timeout || *timeout <= 0 || operation < 0) {
        return exchange->answer(std::move(no));
    }
    const std::string& path = exchange->request.target;
    const std::uint64_t key = ++last_id_;
    PendingInvocation& pending = pending_[key];
    pending.exchange = exchange;
    pending.invocation = static_cast<std::uint64_t>(*id);
    pending.operation = operation;
    pending.received_at = loop_.clock().now();
    pending.deadline = pending.received_at + Micros(*timeout);
    pending.retry_mode = settings_.retry_mode;
    ++operation_demands_[settings_.operations[static_cast<std::size_t>(operation)].name].requests;
    if (const auto route = ads_.tables().routes.find(path); route != ads_.tables().routes.end()) {
        pending.cluster = route->second.cluster;
        pending.retry_mode = route->second.retry_mode;
        pending.attempt_timeout = route->second.attempt_timeout;
        if (!admit(path, route->second, pending.invocation)) {
            no.status = 429;
            no.headers.emplace_back("x-not-begun", "1");
            return finish(key, std::move(no));
        }
    }
    exchange->on_gone = [this, key] {
        const auto it = pending_.find(key);
        if (it == pending_.end()) {
            return;
        }
        if (it->second.attempt_id) {
            pool(it->second.address).cancel(it->second.attempt_id);
            --endpoint_states_[it->second.address].active_requests;
            auto& load = endpoint_loads_[it->second.address];
            ++load.failures;  // the client gave up: counts as a failed attempt
        }
        pending_.erase(it);
    };
    attempt(key);
}

const xds::TableEndpoint* FakeProxy::pick(const xds::ProxyTable& table,
                                          const std::set<net::Address>& excluded,
                                          base::CounterRandom random) {
    const Micros now = loop_.clock().now();
    std::vector<const xds::TableEndpoint*> candidates;
    std::vector<const xds::TableEndpoint*> not_ejected;
    for (const auto& line : table.endpoints) {
        if (line.draining || ads_.tables().ejected.contains(line.address) ||
            excluded.contains(line.address)) {
            continue;
        }
        candidates.push_back(&line);
        if (endpoint_states_[line.address].ejected_until <= now) {
            not_ejected.push_back(&line);
        }
    }
    // If all endpoints are ejected, ejections are ignored.
    const auto& from = not_ejected.empty() ? candidates : not_ejected;
    if (from.empty()) {
        return nullptr;
    }
    double sum = 0;
    for (const auto* line : from) {
        sum += line->weight;
    }
    const auto draw = [&] {
        double at = random.part() * sum;
        for (const auto* line : from) {
            at -= line->weight;
            if (at < 0) {
                return line;
            }
        }
        return from.back();
    };
    if (table.load_balancing_policy == LoadBalancingPolicy::WeightedRandom) {
        return draw();
    }
    if (table.load_balancing_policy == LoadBalancingPolicy::LeastRequest) {
        const auto* a = draw();
        const auto* b = draw();
        return endpoint_states_[b->address].active_requests <
                       endpoint_states_[a->address].active_requests
                   ? b
                   : a;
    }
    const xds::TableEndpoint* best = nullptr;
    for (const auto* line : from) {
        auto& round_robin_credit = endpoint_states_[line->address].round_robin_credit;
        round_robin_credit += line->weight;
        if (!best || round_robin_credit > endpoint_states_[best->address].round_robin_credit) {
            best = line;
        }
    }
    endpoint_states_[best->address].round_robin_credit -= sum;
    return best;
}

void FakeProxy::attempt(std::uint64_t id) {
    PendingInvocation& pending = pending_.at(id);
    const Micros now = loop_.clock().now();
    const xds::ProxyTable* table = table_for(pending);
    const xds::TableEndpoint* line =
        table
            ? pick(*table, pending.tried_addresses,
                   base::CounterRandom(attempt_seed_ + static_cast<std::uint64_t>(pending.attempts),
                                       pending.invocation))
            : nullptr;
    if (!line) {
        net::HttpMessage none;
        none.status = 503;
        none.headers.emplace_back("x-not-begun", "1");
        return finish(id, std::move(none));
    }
    pending.address = line->address;
    ++pending.attempts;
    pending.tried_addresses.insert(pending.address);
    EndpointState& endpoint_state = endpoint_states_[pending.address];
    ++endpoint_state.active_requests;
    ++endpoint_loads_[pending.address].attempts;
    net::HttpMessage request = pending.exchange->request;
    std::erase_if(request.headers, [](const auto& h) {
        return h.first == "host" || h.first == "content-length" || h.first == "x-timeout-us" ||
               h.first == "connection";
    });
    Micros limit = pending.deadline - now;
    const int more = pending.retry_mode == RetryMode::Once    ? 1
                     : pending.retry_mode == RetryMode::Twice ? 2
                                                              : 0;
    if (more >= pending.attempts && pending.attempt_timeout > 0us) {
        limit = std::min(limit, pending.attempt_timeout);
    }
    request.headers.emplace_back("x-timeout-us", std::to_string(limit.count()));
    request.headers.emplace_back("x-forwarder", settings_.id);
    request.keep_alive = true;
    if (observer_) {
        observer_->on_attempt_sent(now, settings_.id, server_name(pending.address),
                                   pending.invocation, pending.operation, pending.attempts,
                                   pending.previous_outcome);
    }
    pending.attempt_id =
        pool(pending.address)
            .send(std::move(request), limit, [this, id, now](net::HttpOutcome outcome) {
                on_attempt_finished(id, std::move(outcome), now);
            });
}

void FakeProxy::on_attempt_finished(std::uint64_t id, net::HttpOutcome outcome, Micros sent) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
        return;
    }
    PendingInvocation& pending = it->second;
    pending.attempt_id = 0;
    const Micros now = loop_.clock().now();
    EndpointState& endpoint_state = endpoint_states_[pending.address];
    --endpoint_state.active_requests;
    auto& load = endpoint_loads_[pending.address];
    const auto refused = outcome.response.header("x-not-begun");
    const bool succeeded = outcome.how == How::Answered && outcome.response.status == 200;
    const AttemptOutcome attempt_outcome = succeeded ? AttemptOutcome::Answered
                                           : outcome.how == How::NeverSent
                                               ? AttemptOutcome::NeverSent
                                           : outcome.how == How::Broken   ? AttemptOutcome::Broken
                                           : outcome.how == How::TimedOut ? AttemptOutcome::TimedOut
                                           : refused                      ? AttemptOutcome::Refused
                                                                          : AttemptOutcome::Errored;
    if (observer_) {
        observer_->on_attempt_finished(now, settings_.id, server_name(pending.address),
                                       pending.invocation, attempt_outcome);
    }
    if (succeeded) {
        ++load.successes;
        load.total_latency_us += static_cast<double>((now - sent).count());
        endpoint_state.consecutive_failures = 0;
        if (const auto header = outcome.response.header("x-load")) {
            std::size_t at = 0;
            while (at < header->size()) {
                const auto stop = std::min(header->find(',', at), header->size());
                const auto part = header->substr(at, stop - at);
                const auto equals = part.find('=');
                double value = 0;
                if (equals != std::string_view::npos &&
                    std::from_chars(part.data() + equals + 1, part.data() + part.size(), value)
                            .ec == std::errc{}) {
                    load.load_metrics[std::string(part.substr(0, equals))] = value;
                }
                at = stop + 1;
            }
        }
        return finish(id, std::move(outcome.response));
    }
    ++load.failures;
    const xds::ProxyTable* table = table_for(pending);
    if (table && table->ejection_failures > 0 &&
        ++endpoint_state.consecutive_failures >= table->ejection_failures) {
        endpoint_state.consecutive_failures = 0;
        endpoint_state.ejected_until = now + table->ejection_time;
    }
    // An attempt that provably was not processed is retried at least once, for any kind of
    // operation, unless the route forbids retries. Any other failure is retried only as often as
    // the route says.
    const bool known_unprocessed =
        attempt_outcome == AttemptOutcome::NeverSent || attempt_outcome == AttemptOutcome::Refused;
    const int max_retries_any = pending.retry_mode == RetryMode::Once    ? 1
                                : pending.retry_mode == RetryMode::Twice ? 2
                                                                         : 0;
    const int max_retries =
        known_unprocessed
            ? (pending.retry_mode == RetryMode::Never ? 0 : std::max(1, max_retries_any))
            : max_retries_any;
    const bool may_retry =
        retries_everything_for_test ? pending.attempts < 3 : pending.attempts <= max_retries;
    if (may_retry && pending.deadline - now > 10ms) {
        pending.previous_outcome = attempt_outcome;
        return attempt(id);
    }
    ++operation_demands_[settings_.operations[static_cast<std::size_t>(pending.operation)].name]
          .failures;
    net::HttpMessage response;
    if (outcome.how == How::Answered) {
        response = std::move(outcome.response);
    } else {
        response.status = outcome.how == How::TimedOut    ? 504
                          : outcome.how == How::NeverSent ? 503
                                                          : 502;
    }
    if (outcome.how == How::NeverSent) {
        response.headers.emplace_back("x-not-begun", "1");
    }
    finish(id, std::move(response));
}

void FakeProxy::finish(std::uint64_t id, net::HttpMessage response) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
        return;
    }
    const auto exchange = it->second.exchange;
    pending_.erase(it);
    exchange->on_gone = {};
    std::erase_if(response.headers, [](const auto& h) {
        return h.first == "content-length" || h.first == "connection" || h.first == "x-load";
    });
    response.keep_alive = true;
    exchange->answer(std::move(response));
}

void FakeProxy::report_endpoint_availability() {
    if (!observer_) {
        return;
    }
    for (std::size_t k = 0; k < settings_.operations.size(); ++k) {
        const auto route =
            ads_.tables().routes.find(xds::operation_path(settings_.operations[k].name));
        const xds::ProxyTable* table = &startup_;
        if (route != ads_.tables().routes.end()) {
            const auto cluster = ads_.tables().clusters.find(route->second.cluster);
            table = cluster == ads_.tables().clusters.end() ? nullptr : &cluster->second;
        }
        const bool has_endpoint =
            table && std::any_of(table->endpoints.begin(), table->endpoints.end(),
                                 [&](const xds::TableEndpoint& line) {
                                     return !line.draining &&
                                            !ads_.tables().ejected.contains(line.address);
                                 });
        const auto [it, first] = has_endpoint_.try_emplace(static_cast<int>(k), has_endpoint);
        if (first || it->second != has_endpoint) {
            observer_->on_endpoint_availability(loop_.clock().now(), settings_.id,
                                                static_cast<int>(k), has_endpoint);
        }
        it->second = has_endpoint;
    }
}

}  // namespace badgergrade::testbed
