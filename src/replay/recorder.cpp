#include "replay/recorder.h"

#include <ctime>
#include <filesystem>
#include <iomanip>
#include <optional>
#include <sstream>

#include "xds_server/xds_server.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;

namespace {

// Zones count from 1, 0 is none.
std::uint32_t zone_number(ZoneId zone) {
    return static_cast<std::uint32_t>(zone.value + 1);
}

Micros age_of(Micros now, Micros started) {
    return started > 0us ? std::max(1us, now - started) : 0us;
}

std::string text_of(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
}

template <class... Kinds>
struct Cases : Kinds... {
    using Kinds::operator()...;
};

template <class... Kinds>
Cases(Kinds...) -> Cases<Kinds...>;

}  // namespace

pb::Header make_header(const scenario::DayScript& script, Micros begin) {
    pb::Header out;
    out.set_made_by("day " + script.name);
    out.set_settings(script.settings.to_text());
    out.set_script(script.text);
    out.set_seed(script.seed);
    out.set_begin_us(begin.count());
    out.set_length_us(script.length.count());
    for (const auto& op : script.governor.settings.operations) {
        out.add_operations(op.name);
    }
    return out;
}

pb::Header make_header(const config::InstanceConfig& config, const std::string& settings,
                       Micros begin, const std::string& wall) {
    pb::Header out;
    out.set_made_by("governor " + config.id);
    out.set_settings(settings);
    out.set_seed(config.seed);
    out.set_begin_us(begin.count());
    out.set_wall_begin(wall);
    for (const auto& op : config.settings.operations) {
        out.add_operations(op.name);
    }
    return out;
}

void Recorder::attach_to(scenario::World& world) {
    world.on_move = [this](Micros now, bool opening, bool joined, const scenario::Move& move) {
        write_action(writer_, now, {now, opening, joined, move});
    };
    world.on_trouble = [this](Micros now, const scenario::Trouble& trouble) {
        struck(now, trouble);
    };
    world.governor_watcher = this;
}

void write_action(recording::Writer& writer, Micros now, const scenario::TimedMove& timed) {
    const scenario::Move& move = timed.what;
    auto& out = *writer.add(now).mutable_action();
    out.set_kind(static_cast<std::uint32_t>(move.kind));
    out.set_target(writer.name(move.who));
    out.set_enabled(move.on);
    out.set_amount(move.by);
    out.set_delay_us(move.wait.count());
    out.set_text(move.text);
    out.set_initial(timed.opening);
    out.set_same_step(timed.joined);
    if (move.kind == scenario::MoveKind::TroubleWorker) {
        auto& t = *out.mutable_server_fault();
        t.set_hangs(move.trouble.hangs);
        t.set_error_fraction(move.trouble.errors);
        t.set_slowdown(move.trouble.slower);
        t.set_stolen_cpu_fraction(move.trouble.taken);
        t.set_lost_response_fraction(move.trouble.answers_lost);
        t.set_reported_load_fraction(move.trouble.counters);
        t.set_max_connections(move.trouble.connections_most);
    }
    if (move.kind == scenario::MoveKind::AddWorker) {
        auto& w = *out.mutable_server_settings();
        const auto& s = move.worker;
        w.set_zone(s.zone);
        w.set_cores(s.cores);
        w.set_speed(s.speed);
        w.set_queue_per_core(s.queue_per_core);
        w.set_cold_capacity_fraction(s.cold_from);
        w.set_warm_up_us(s.cold_time.count());
        w.set_overload_collapse_us(s.fall_time.count());
        w.set_overload_collapse_factor(s.fall_multiple);
        w.set_max_connections(s.connections_most);
        w.set_handshake_work_us(s.handshake_work.count());
        w.set_cached_key_saving(s.key_gain);
        w.set_key_ttl_us(s.key_time.count());
        w.set_reports_load(s.reports_load);
        w.set_report_interval_us(s.report_every.count());
        w.set_error_rate(s.error_rate);
    }
}

void Recorder::struck(Micros now, const scenario::Trouble& trouble) {
    auto& out = *writer_.add(now).mutable_fault();
    out.set_name(trouble.name);
    out.set_duration_us(trouble.lasts.count());
    out.set_script_line(static_cast<std::uint32_t>(trouble.line));
    out.set_target(!trouble.one.empty() ? trouble.one
                   : trouble.count > 0  ? std::to_string(trouble.count)
                   : trouble.part > 0   ? text_of(trouble.part * 100) + "%"
                                        : "");
}

// ---- invocations

void Recorder::invocation_came(Micros now, const testbed::Invocation& what) {
    auto& out = *writer_.add(now).mutable_invocation_start();
    auto& last = writer_.last_invocation_id();
    const auto id = static_cast<std::int64_t>(what.id);
    out.set_id_delta(id - last);
    last = id;
    out.set_proxy(writer_.name(what.forwarder));
    out.set_key(writer_.name(what.key));
    out.set_operation(static_cast<std::uint32_t>(what.operation));
    out.set_work_us(static_cast<std::uint64_t>(what.work.count()));
}

void Recorder::invocation_ended(Micros now, const testbed::Invocation& what,
                                testbed::Result result) {
    const auto first = tries_.lower_bound({what.id, std::string()});
    auto it = first;
    for (; it != tries_.end() && it->first.first == what.id; ++it) {
        write_try(now, it->first.second, what.id, it->second, kAttemptAbandoned);
    }
    tries_.erase(first, it);
    auto& out = *writer_.add(now).mutable_invocation_end();
    out.set_id_behind(writer_.last_invocation_id() - static_cast<std::int64_t>(what.id));
    out.set_result(static_cast<std::uint32_t>(result));
    out.set_client_attempts(static_cast<std::uint32_t>(what.client_tries));
}

void Recorder::try_sent(Micros now, const std::string& forwarder, const std::string& server,
                        std::uint64_t invocation, int operation, int number, testbed::TryEnd) {
    OpenTry one{server, now, operation, number};
    const auto [it, fresh] = tries_.try_emplace({invocation, forwarder}, one);
    if (fresh) {
        return;
    }
    // The one before was given up with its client's try.
    write_try(now, forwarder, invocation, it->second, kAttemptAbandoned);
    it->second = std::move(one);
}

void Recorder::try_ended(Micros now, const std::string& forwarder, const std::string&,
                         std::uint64_t invocation, testbed::TryEnd end) {
    const auto it = tries_.find({invocation, forwarder});
    if (it == tries_.end()) {
        return;
    }
    write_try(now, forwarder, invocation, it->second, static_cast<std::uint32_t>(end));
    tries_.erase(it);
}

void Recorder::write_try(Micros now, const std::string& forwarder, std::uint64_t invocation,
                         const OpenTry& one, std::uint32_t end) {
    auto& out = *writer_.add(now).mutable_attempt();
    out.set_id_behind(writer_.last_invocation_id() - static_cast<std::int64_t>(invocation));
    out.set_server(writer_.name(one.server));
    out.set_number(static_cast<std::uint32_t>(one.number));
    out.set_outcome(end);
    out.set_duration_us(static_cast<std::uint64_t>((now - one.sent).count()));
    out.set_proxy(writer_.name(forwarder));
    out.set_operation(static_cast<std::uint32_t>(one.operation));
}

// ---- streams

void Recorder::joined(Micros now, const std::string& forwarder, const std::string& governor) {
    auto& out = *writer_.add(now).mutable_stream_opened();
    out.set_proxy(writer_.name(forwarder));
    out.set_instance(writer_.name(governor));
}

void Recorder::left(Micros now, const std::string& forwarder, const std::string& governor) {
    auto& out = *writer_.add(now).mutable_stream_closed();
    out.set_proxy(writer_.name(forwarder));
    out.set_instance(writer_.name(governor));
}

void Recorder::response_read(Micros now, const std::string& forwarder, const std::string& governor,
                             const std::string&, std::size_t bytes, const std::string& why) {
    auto& out = *writer_.add(now).mutable_response_read();
    out.set_proxy(writer_.name(forwarder));
    out.set_instance(writer_.name(governor));
    out.set_bytes(static_cast<std::uint32_t>(bytes));
    out.set_rejected(!why.empty());
}

// ---- governors

void Recorder::on_started(Micros now, const xds_server::XdsServer& service) {
    auto& out = *writer_.add(now).mutable_instance_started();
    out.set_instance(writer_.name(service.id()));
    out.set_incarnation(service.incarnation());
}

void Recorder::on_stopped(Micros now, const xds_server::XdsServer& service) {
    auto& out = *writer_.add(now).mutable_instance_stopped();
    out.set_instance(writer_.name(service.id()));
    out.set_incarnation(service.incarnation());
}

void Recorder::on_event(Micros now, const xds_server::XdsServer& service, const Event& event) {
    // The module's own beat says nothing of the day.
    if (std::holds_alternative<event::TimerFired>(event)) {
        return;
    }
    auto& out = *writer_.add(now).mutable_event();
    out.set_instance(writer_.name(service.id()));
    const auto forwarder = [&](ProxyId proxy) {
        return writer_.name(service.proxy_name(proxy));
    };
    const auto server = [&](ServerId id) {
        return writer_.name(service.server_name(id));
    };
    std::visit(Cases{
                   [&](const event::EndpointListUpdate& e) {
                       auto& list = *out.mutable_endpoint_list();
                       list.set_kind(static_cast<std::uint32_t>(e.kind));
                       for (const auto& row : e.endpoints) {
                           auto& to = *list.add_endpoints();
                           to.set_server(server(row.server));
                           to.set_zone(zone_number(row.zone));
                           to.set_state(static_cast<std::uint32_t>(row.state));
                           to.set_weight(row.weight);
                           to.set_age_us(age_of(now, row.started_at).count());
                       }
                   },
                   [&](const event::ProxyConnected& e) {
                       auto& to = *out.mutable_proxy_connected();
                       to.set_proxy(forwarder(e.proxy));
                       to.set_zone(zone_number(e.zone));
                       to.set_fresh_start(e.fresh_start);
                       to.set_announced_rate(e.announced_rate);
                   },
                   [&](const event::ProxyDisconnected& e) {
                       out.mutable_proxy_disconnected()->set_proxy(forwarder(e.proxy));
                   },
                   [&](const event::ServerLoadReport& e) {
                       auto& to = *out.mutable_load_report();
                       to.set_zone(zone_number(e.zone));
                       to.set_server(server(e.server));
                       to.set_attempts(e.attempts);
                       to.set_failures(e.failures);
                       to.set_mean_latency_us(e.mean_latency.count());
                       to.set_interval_us(e.interval.count());
                       for (const double load : e.load_metrics) {
                           to.add_load_metrics(load);
                       }
                   },
                   [&](const event::ProxyDemandReport& e) {
                       auto& to = *out.mutable_demand_report();
                       to.set_proxy(forwarder(e.proxy));
                       to.set_operation(static_cast<std::uint32_t>(e.operation.value));
                       to.set_attempts(e.attempts);
                       to.set_failures(e.failures);
                       to.set_interval_us(e.interval.count());
                   },
                   [&](const event::HealthCheckResult& e) {
                       auto& to = *out.mutable_health_check();
                       to.set_server(server(e.server));
                       to.set_outcome(static_cast<std::uint32_t>(e.outcome));
                       to.set_duration_us(e.duration.count());
                   },
                   [&](const event::ConfigAcknowledged& e) {
                       auto& to = *out.mutable_acknowledgement();
                       to.set_proxy(forwarder(e.proxy));
                       to.set_version(e.version.value);
                       to.set_delay_us(e.delay.count());
                   },
                   [](const auto&) {},
               },
               event);
}

void Recorder::on_commands(Micros now, const xds_server::XdsServer& service,
                           const std::vector<Command>& actions) {
    const auto beat = [](const Command& a) {
        return std::holds_alternative<command::SetTimer>(a);
    };
    if (std::all_of(actions.begin(), actions.end(), beat)) {
        return;
    }
    auto& out = *writer_.add(now).mutable_commands();
    out.set_instance(writer_.name(service.id()));
    const auto table = [](TableId t) {
        return static_cast<std::uint32_t>(t.value);
    };
    for (const Command& action : actions) {
        if (beat(action)) {
            continue;
        }
        auto& to = *out.add_commands();
        std::visit(
            Cases{
                [&](const command::SetWeight& a) {
                    to.mutable_weight()->set_table(table(a.table));
                    to.mutable_weight()->set_weight(a.weight);
                    to.mutable_weight()->set_server(writer_.name(service.server_name(a.server)));
                },
                [&](const command::AssignTable& a) {
                    to.mutable_assignment()->set_table(table(a.table));
                    to.mutable_assignment()->set_operations(a.operations);
                    to.mutable_assignment()->set_proxy(writer_.name(service.proxy_name(a.proxy)));
                },
                [&](const command::SetAdmission& a) {
                    to.mutable_admission()->set_table(table(a.table));
                    to.mutable_admission()->set_operations(a.operations);
                    to.mutable_admission()->set_limit(a.limit);
                    to.mutable_admission()->set_retry_mode(
                        static_cast<std::uint32_t>(a.retry_mode));
                },
                [&](const command::RequestAck& a) { to.set_requested_ack(a.version.value); },
                [&](const command::LogMessage& a) { to.set_log_message(a.text); },
                [&](const command::ClearTable& a) { to.set_cleared_table(table(a.table)); },
                [&](const command::SetEjected& a) {
                    to.mutable_ejection()->set_server(writer_.name(service.server_name(a.server)));
                    to.mutable_ejection()->set_ejected(a.ejected);
                },
                [&](const command::CheckHealth& a) {
                    to.set_checked_server(writer_.name(service.server_name(a.server)));
                },
                [&](const command::WatchEndpoints& a) { to.set_watch_endpoints(a.enabled); },
                [&](const auto&) { to.set_other(to_text(service, action)); },
            },
            action);
    }
}

// ---- a whole day

scenario::DayRun record_scenario(const scenario::DayScript& script, scenario::DayOptions options,
                                 const std::string& path, recording::WriterOptions how,
                                 recording::WriterStats& figures) {
    std::optional<recording::Writer> writer;
    std::optional<Recorder> recorder;
    options.prepare = [&](base::Micros begin) {
        writer.emplace(recording::open_file_sink(path), make_header(script, begin), how);
        recorder.emplace(*writer);
        return std::vector<testbed::Observer*>{&*recorder};
    };
    options.before = [&](scenario::World& world) {
        recorder->attach_to(world);
    };
    auto out = scenario::run_day(script, options);
    writer->finish();
    figures = writer->stats();
    return out;
}

// ---- each governor for itself

namespace {
// The day's own clock as a wall clock would show it.
std::string wall_text(Micros t) {
    const std::time_t seconds = t.count() / 1000000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << "." << std::setw(6) << std::setfill('0')
        << t.count() % 1000000 << "Z";
    return out.str();
}
}  // namespace

InstanceRecorder::InstanceRecorder(std::string folder, const scenario::DayScript& script,
                                   std::map<std::string, Micros> ahead)
    : folder_(std::move(folder)),
      script_(script),
      ahead_(std::move(ahead)) {}

void InstanceRecorder::on_started(Micros now, const xds_server::XdsServer& service) {
    auto settings = script_.settings;
    settings.set("governor", "id", service.id());
    settings.set("governor", "ordinal", std::to_string(service.ordinal()));
    auto config = script_.governor;
    config.id = service.id();
    paths_.push_back((std::filesystem::path(folder_) /
                      (service.id() + "-" + std::to_string(paths_.size()) + ".rec"))
                         .string());
    const auto it = ahead_.find(service.id());
    const Micros begin = it == ahead_.end() ? now : now - it->second;
    Open& open = open_[service.id()];
    open.writer = std::make_unique<recording::Writer>(
        recording::open_file_sink(paths_.back()),
        make_header(config, settings.to_text(), begin, wall_text(begin)),
        recording::WriterOptions{.when_full = recording::WhenFull::Wait});
    open.recorder = std::make_unique<Recorder>(*open.writer);
    open.recorder->on_started(now, service);
}

void InstanceRecorder::on_stopped(Micros now, const xds_server::XdsServer& service) {
    const auto it = open_.find(service.id());
    if (it == open_.end()) {
        return;
    }
    it->second.recorder->on_stopped(now, service);
    open_.erase(it);
}

void InstanceRecorder::on_event(Micros now, const xds_server::XdsServer& service,
                                const Event& event) {
    if (const auto it = open_.find(service.id()); it != open_.end()) {
        it->second.recorder->on_event(now, service, event);
    }
}

void InstanceRecorder::on_commands(Micros now, const xds_server::XdsServer& service,
                                   const std::vector<Command>& actions) {
    if (const auto it = open_.find(service.id()); it != open_.end()) {
        it->second.recorder->on_commands(now, service, actions);
    }
}

// ---- in words

std::string to_text(const xds_server::XdsServer& service, const Event& event) {
    const auto forwarder = [&](ProxyId proxy) {
        return service.proxy_name(proxy);
    };
    return std::visit(
        Cases{
            [&](const event::EndpointListUpdate& e) {
                std::string out = "list:";
                for (const auto& row : e.endpoints) {
                    out += " " + service.server_name(row.server) +
                           (row.state == ServerState::Ready ? "" : " (drains)");
                }
                return out;
            },
            [&](const event::TimerFired& e) { return "timer " + e.token; },
            [&](const event::ProxyConnected& e) { return forwarder(e.proxy) + " joined"; },
            [&](const event::ProxyDisconnected& e) { return forwarder(e.proxy) + " left"; },
            [&](const event::ServerLoadReport& e) {
                return service.server_name(e.server) + " met by zone " +
                       std::to_string(e.zone.value) + ": " + std::to_string(e.attempts) +
                       " tries, " + std::to_string(e.failures) + " errored, " +
                       std::to_string(e.mean_latency.count() / 1000) + " ms";
            },
            [&](const event::ProxyDemandReport& e) {
                return forwarder(e.proxy) + " asked for operation " +
                       std::to_string(e.operation.value) + ": " + std::to_string(e.attempts) +
                       " times in " + std::to_string(e.interval.count() / 1000) + " ms";
            },
            [&](const event::HealthCheckResult& e) {
                return "probe of " + service.server_name(e.server);
            },
            [&](const event::ConfigAcknowledged& e) {
                return forwarder(e.proxy) + " applied mark " + std::to_string(e.version.value);
            },
            [](const auto&) { return std::string("another event"); },
        },
        event);
}

std::string to_text(const xds_server::XdsServer& service, const Command& action) {
    const auto table = [](TableId t) {
        return "table " + std::to_string(t.value);
    };
    return std::visit(
        Cases{
            [](const command::SetTimer& a) { return "timer " + a.token; },
            [](const command::LogMessage& a) { return "says: " + a.text; },
            [](const command::WatchEndpoints& a) {
                return std::string(a.enabled ? "watches the list" : "stops watching the list");
            },
            [](const command::FetchEndpoints&) { return std::string("fetches the list"); },
            [&](const command::CheckHealth& a) {
                return "probes " + service.server_name(a.server);
            },
            [](const command::SendGossip&) { return std::string("tells another governor"); },
            [&](const command::SetWeight& a) {
                return table(a.table) + ": " + service.server_name(a.server) +
                       (a.weight > 0 ? " at " + text_of(a.weight) : " leaves");
            },
            [&](const command::ClearTable& a) { return table(a.table) + " emptied"; },
            [&](const command::AssignTable& a) {
                return service.proxy_name(a.proxy) + " to " + table(a.table);
            },
            [&](const command::SetEjected& a) {
                return service.server_name(a.server) + (a.ejected ? " withdrawn" : " back");
            },
            [&](const command::SetAdmission& a) {
                return table(a.table) + ": level " + text_of(a.limit) + " for operations " +
                       std::to_string(a.operations);
            },
            [](const command::RequestAck& a) { return "mark " + std::to_string(a.version.value); },
        },
        action);
}

}  // namespace badgergrade::replay
