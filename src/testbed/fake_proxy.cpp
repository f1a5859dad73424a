#include "testbed/fake_proxy.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace badgergrade::testbed {

using namespace std::chrono_literals;
using How = net::HttpOutcome::How;

namespace {
constexpr std::uint64_t kShareLuck = 0x5348415245;  // sets this draw apart from the picks
}

FakeProxy::FakeProxy(net::Loop& loop, base::ActorId actor, FakeProxySettings settings,
                     std::uint64_t seed, Observer* observer,
                     std::map<net::Address, std::string> const* server_names)
    : loop_(loop),
      actor_(actor),
      settings_(std::move(settings)),
      observer_(observer),
      server_names_(server_names),
      chance_(seed, settings_.id),
      luck_(base::seed_for(seed, settings_.id + "/luck")),
      ads_(node()),
      redial_(loop.clock(), actor),
      report_(loop.clock(), actor),
      go_back_(loop.clock(), actor) {
    startup_.load_balancing_policy = settings_.load_balancing_policy;
    startup_.ejection_failures = settings_.ejection_failures;
    startup_.ejection_time = settings_.ejection_time;
    startup_.endpoints = settings_.startup_table;
    server_ = std::make_unique<net::HttpServer>(loop, actor, settings_.id, settings_.listen,
                                                net::HttpLimits{}, 10000);
    server_->on_request = [this](net::HttpExchangePtr exchange) {
        take(exchange);
    };
    if (observer_) {
        observer_->on_proxy_started(loop.clock().now(), settings_.id);
    }
    tell_pickable();
    redial_.after(Micros(static_cast<std::int64_t>(chance_.between(0, 50e3))), [this] { dial(); });
}

FakeProxy::~FakeProxy() {
    if (observer_) {
        observer_->on_proxy_stopped(loop_.clock().now(), settings_.id);
    }
    if (call_ && observer_) {
        observer_->on_proxy_disconnected(loop_.clock().now(), settings_.id,
                                         settings_.instance_names[governor_]);
    }
    for (const auto& call : {call_, reports_}) {
        if (call) {
            call->on_closed = {};
            call->on_message = {};
        }
    }
    if (connection_) {
        connection_->on_closed = {};
        connection_->abort("the forwarder ends");
    }
    for (auto& [id, work] : works_) {
        work.exchange->on_gone = {};
    }
}

envoy::config::core::v3::Node FakeProxy::node() const {
    envoy::config::core::v3::Node out;
    out.set_id(settings_.id);
    out.set_user_agent_name("badgergrade-forwarder");
    out.mutable_locality()->set_zone(settings_.zone);
    auto& fields = *out.mutable_metadata()->mutable_fields();
    fields["rate"].set_number_value(settings_.invocations_per_second);
    fields["fresh"].set_bool_value(fresh_);
    return out;
}

// ---- its governor

void FakeProxy::dial() {
    if (isolated_ || settings_.instance_addresses.empty()) {
        return redial();
    }
    dial_ = std::make_unique<net::Dial>(
        loop_, actor_, settings_.id, settings_.instance_addresses[governor_],
        settings_.dial_timeout, [this](net::StreamPtr stream, const std::string&) {
            if (stream && !isolated_) {
                return on_connected(std::move(stream), governor_);
            }
            if (stream) {
                stream->close(true);
            }
            governor_ = (governor_ + 1) % settings_.instance_addresses.size();
            redial();
        });
}

void FakeProxy::redial() {
    const double wait = chance_.between(static_cast<double>(settings_.min_reconnect_delay.count()),
                                        static_cast<double>(settings_.max_reconnect_delay.count()));
    redial_.after(Micros(std::llround(wait)), [this] { dial(); });
}

void FakeProxy::on_connected(net::StreamPtr stream, std::size_t governor) {
    stream_ = stream;
    net::GrpcLimits limits;
    limits.keepalive = settings_.keepalive_interval;
    connection_ = std::make_shared<net::GrpcConnection>(
        loop_, actor_, net::Http2Session::Role::Client, stream, limits);
    connection_->on_closed = [this](std::string why) {
        stream_over(why);
    };
    connection_->start();
    call_ = connection_->call(std::string(xds::kAdsMethod));
    call_->on_message = [this](std::string_view bytes) {
        on_response(bytes);
    };
    call_->on_closed = [this](std::string why) {
        // The governor ended the stream: the connection is of no use without it.
        if (connection_) {
            connection_->abort(why.empty() ? "the stream ended" : why);
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
    envoy::service::load_stats::v3::LoadStatsRequest hello;
    *hello.mutable_node() = node();
    reports_->send(hello.SerializeAsString());
    call_->uncork();
    reports_->on_message = [this](std::string_view bytes) {
        envoy::service::load_stats::v3::LoadStatsResponse told;
        if (!told.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            return;
        }
        report_every_ = Micros(told.load_reporting_interval().seconds() * 1000000 +
                               told.load_reporting_interval().nanos() / 1000);
        if (report_every_ <= 0us || report_.set()) {
            return;
        }
        reported_ = loop_.clock().now();
        // Forwarders report spread over the period, not all at once.
        report_.after(
            Micros(std::llround(chance_.part() * static_cast<double>(report_every_.count()))) + 1ms,
            [this] { report(); });
    };
    if (observer_) {
        observer_->on_proxy_connected(loop_.clock().now(), settings_.id,
                                      settings_.instance_names[governor]);
    }
    if (stalled_) {
        stream_->pause_reading();
    }
    if (governor != 0 && settings_.failback_delay > 0us) {
        go_back_.after(settings_.failback_delay, [this] {
            governor_ = 0;
            break_stream();
        });
    }
}

void FakeProxy::stream_over(const std::string&) {
    const auto governor = settings_.instance_names[governor_];
    const bool was = call_ != nullptr;
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
    report_.stop();
    go_back_.stop();
    if (was && observer_) {
        observer_->on_proxy_disconnected(loop_.clock().now(), settings_.id, governor);
    }
    redial();
}

void FakeProxy::break_stream() {
    if (!connection_) {
        return;
    }
    const auto connection = connection_;
    connection->abort("broken off");
}

void FakeProxy::set_isolated(bool on) {
    isolated_ = on;
    if (on) {
        break_stream();
    }
}

void FakeProxy::set_stalled(bool on) {
    stalled_ = on;
    if (!stream_) {
        return;
    }
    if (on) {
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
    const auto& governor = settings_.instance_names[governor_];
    if (observer_) {
        observer_->on_response(now, settings_.id, governor, response.control_plane().identifier(),
                               bytes.size(),
                               outcome.rejected ? outcome.rejected->text : std::string{});
    }
    if (outcome.tables_changed) {
        fresh_ = false;
        // Connections to servers that no table names any more are closed.
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
        tell_pickable();
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
    xds::LoadReport sums;
    sums.interval = now - std::exchange(reported_, now);
    sums.endpoints = std::exchange(met_, {});
    sums.operations = std::exchange(asked_, {});
    for (const Operation& op : settings_.operations) {
        sums.operations[op.name];
    }
    reports_->send(xds::to_message(sums).SerializeAsString());
    report_.after(report_every_, [this] { report(); });
}

// ---- its invocations

std::string FakeProxy::name_of(const net::Address& address) const {
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

const xds::ProxyTable* FakeProxy::table_for(const Work& work) const {
    if (work.cluster.empty()) {
        return &startup_;
    }
    const auto it = ads_.tables().clusters.find(work.cluster);
    return it == ads_.tables().clusters.end() ? nullptr : &it->second;
}

bool FakeProxy::let_in(const std::string& path, const xds::ProxyRoute& route,
                       std::uint64_t invocation) {
    if (route.admitted_fraction < 1 &&
        base::CounterRandom(luck_ ^ kShareLuck, invocation).part() >= route.admitted_fraction) {
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

void FakeProxy::take(const net::HttpExchangePtr& exchange) {
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
    const std::uint64_t key = ++ids_;
    Work& work = works_[key];
    work.exchange = exchange;
    work.invocation = static_cast<std::uint64_t>(*id);
    work.operation = operation;
    work.began = loop_.clock().now();
    work.expires = work.began + Micros(*timeout);
    work.again = settings_.retry_mode;
    ++asked_[settings_.operations[static_cast<std::size_t>(operation)].name].requests;
    if (const auto route = ads_.tables().routes.find(path); route != ads_.tables().routes.end()) {
        work.cluster = route->second.cluster;
        work.again = route->second.retry_mode;
        work.per_try = route->second.attempt_timeout;
        if (!let_in(path, route->second, work.invocation)) {
            no.status = 429;
            no.headers.emplace_back("x-not-begun", "1");
            return finish(key, std::move(no));
        }
    }
    exchange->on_gone = [this, key] {
        const auto it = works_.find(key);
        if (it == works_.end()) {
            return;
        }
        if (it->second.attempt) {
            pool(it->second.now).cancel(it->second.attempt);
            --standings_[it->second.now].open;
            auto& sums = met_[it->second.now];
            ++sums.failures;  // given up by its client: no good answer came
        }
        works_.erase(it);
    };
    attempt(key);
}

const xds::TableEndpoint* FakeProxy::pick(const xds::ProxyTable& table,
                                          const std::set<net::Address>& not_these,
                                          base::CounterRandom luck) {
    const Micros now = loop_.clock().now();
    std::vector<const xds::TableEndpoint*> open;
    std::vector<const xds::TableEndpoint*> good;
    for (const auto& line : table.endpoints) {
        if (line.draining || ads_.tables().ejected.contains(line.address) ||
            not_these.contains(line.address)) {
            continue;
        }
        open.push_back(&line);
        if (standings_[line.address].ejected_until <= now) {
            good.push_back(&line);
        }
    }
    // With all of them ejected the tables stand as they are.
    const auto& from = good.empty() ? open : good;
    if (from.empty()) {
        return nullptr;
    }
    double sum = 0;
    for (const auto* line : from) {
        sum += line->weight;
    }
    const auto draw = [&] {
        double at = luck.part() * sum;
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
        return standings_[b->address].open < standings_[a->address].open ? b : a;
    }
    const xds::TableEndpoint* best = nullptr;
    for (const auto* line : from) {
        auto& turn = standings_[line->address].turn;
        turn += line->weight;
        if (!best || turn > standings_[best->address].turn) {
            best = line;
        }
    }
    standings_[best->address].turn -= sum;
    return best;
}

void FakeProxy::attempt(std::uint64_t id) {
    Work& work = works_.at(id);
    const Micros now = loop_.clock().now();
    const xds::ProxyTable* table = table_for(work);
    const xds::TableEndpoint* line =
        table ? pick(*table, work.tried,
                     base::CounterRandom(luck_ + static_cast<std::uint64_t>(work.tries),
                                         work.invocation))
              : nullptr;
    if (!line) {
        net::HttpMessage none;
        none.status = 503;
        none.headers.emplace_back("x-not-begun", "1");
        return finish(id, std::move(none));
    }
    work.now = line->address;
    ++work.tries;
    work.tried.insert(work.now);
    Standing& standing = standings_[work.now];
    ++standing.open;
    ++met_[work.now].attempts;
    net::HttpMessage request = work.exchange->request;
    std::erase_if(request.headers, [](const auto& h) {
        return h.first == "host" || h.first == "content-length" || h.first == "x-timeout-us" ||
               h.first == "connection";
    });
    Micros limit = work.expires - now;
    const int more = work.again == RetryMode::Once ? 1 : work.again == RetryMode::Twice ? 2 : 0;
    if (more >= work.tries && work.per_try > 0us) {
        limit = std::min(limit, work.per_try);
    }
    request.headers.emplace_back("x-timeout-us", std::to_string(limit.count()));
    request.headers.emplace_back("x-forwarder", settings_.id);
    request.keep_alive = true;
    if (observer_) {
        observer_->on_attempt_sent(now, settings_.id, name_of(work.now), work.invocation,
                                   work.operation, work.tries, work.before);
    }
    work.attempt = pool(work.now).send(
        std::move(request), limit,
        [this, id, now](net::HttpOutcome outcome) { attempted(id, std::move(outcome), now); });
}

void FakeProxy::attempted(std::uint64_t id, net::HttpOutcome outcome, Micros sent) {
    const auto it = works_.find(id);
    if (it == works_.end()) {
        return;
    }
    Work& work = it->second;
    work.attempt = 0;
    const Micros now = loop_.clock().now();
    Standing& standing = standings_[work.now];
    --standing.open;
    auto& sums = met_[work.now];
    const auto proof = outcome.response.header("x-not-begun");
    const bool good = outcome.how == How::Answered && outcome.response.status == 200;
    const AttemptOutcome end = good                            ? AttemptOutcome::Answered
                               : outcome.how == How::NeverSent ? AttemptOutcome::NeverSent
                               : outcome.how == How::Broken    ? AttemptOutcome::Broken
                               : outcome.how == How::TimedOut  ? AttemptOutcome::TimedOut
                               : proof                         ? AttemptOutcome::Refused
                                                               : AttemptOutcome::Errored;
    if (observer_) {
        observer_->on_attempt_finished(now, settings_.id, name_of(work.now), work.invocation, end);
    }
    if (good) {
        ++sums.successes;
        sums.total_latency_us += static_cast<double>((now - sent).count());
        standing.failures = 0;
        if (const auto load = outcome.response.header("x-load")) {
            std::size_t at = 0;
            while (at < load->size()) {
                const auto stop = std::min(load->find(',', at), load->size());
                const auto part = load->substr(at, stop - at);
                const auto equals = part.find('=');
                double value = 0;
                if (equals != std::string_view::npos &&
                    std::from_chars(part.data() + equals + 1, part.data() + part.size(), value)
                            .ec == std::errc{}) {
                    sums.load_metrics[std::string(part.substr(0, equals))] = value;
                }
                at = stop + 1;
            }
        }
        return finish(id, std::move(outcome.response));
    }
    ++sums.failures;
    const xds::ProxyTable* table = table_for(work);
    if (table && table->ejection_failures > 0 && ++standing.failures >= table->ejection_failures) {
        standing.failures = 0;
        standing.ejected_until = now + table->ejection_time;
    }
    // After proof that it never ran once more, whatever it is; after anything else only as ordered.
    const bool proven = end == AttemptOutcome::NeverSent || end == AttemptOutcome::Refused;
    const int after_any = work.again == RetryMode::Once    ? 1
                          : work.again == RetryMode::Twice ? 2
                                                           : 0;
    const int most =
        proven ? (work.again == RetryMode::Never ? 0 : std::max(1, after_any)) : after_any;
    const bool may = retries_everything_for_test ? work.tries < 3 : work.tries <= most;
    if (may && work.expires - now > 10ms) {
        work.before = end;
        return attempt(id);
    }
    ++asked_[settings_.operations[static_cast<std::size_t>(work.operation)].name].failures;
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
    const auto it = works_.find(id);
    if (it == works_.end()) {
        return;
    }
    const auto exchange = it->second.exchange;
    works_.erase(it);
    exchange->on_gone = {};
    std::erase_if(response.headers, [](const auto& h) {
        return h.first == "content-length" || h.first == "connection" || h.first == "x-load";
    });
    response.keep_alive = true;
    exchange->answer(std::move(response));
}

void FakeProxy::tell_pickable() {
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
        const bool any =
            table && std::any_of(table->endpoints.begin(), table->endpoints.end(),
                                 [&](const xds::TableEndpoint& line) {
                                     return !line.draining &&
                                            !ads_.tables().ejected.contains(line.address);
                                 });
        const auto [it, first] = pickable_.try_emplace(static_cast<int>(k), any);
        if (first || it->second != any) {
            observer_->on_endpoint_availability(loop_.clock().now(), settings_.id,
                                                static_cast<int>(k), any);
        }
        it->second = any;
    }
}

}  // namespace badgergrade::testbed
