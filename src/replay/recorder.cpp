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

pb::Header make_header(const scenario::ScenarioScript& script, Micros begin) {
    pb::Header out;
    out.set_made_by("day " + script.name);
    out.set_settings(script.settings.to_text());
    out.set_script(script.text);
    out.set_seed(script.seed);
    out.set_begin_us(begin.count());
    out.set_length_us(script.length.count());
    for (const auto& op : script.instance_config.settings.operations) {
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

void Recorder::attach_to(scenario::SimulatedFleet& world) {
    world.on_action = [this](Micros now, bool opening, bool joined,
                             const scenario::FaultAction& move) {
        write_action(writer_, now, {now, opening, joined, move});
    };
    world.on_fault = [this](Micros now, const scenario::Fault& trouble) {
        struck(now, trouble);
    };
    world.instance_observer = this;
}

void write_action(recording::Writer& writer, Micros now, const scenario::TimedFaultAction& timed) {
    const scenario::FaultAction& move = timed.action;
    auto& out = *writer.add(now).mutable_move();
    out.set_kind(static_cast<std::uint32_t>(move.kind));
    out.set_who(writer.name(move.target));
    out.set_on(move.enabled);
    out.set_by(move.magnitude);
    out.set_wait_us(move.duration.count());
    out.set_text(move.text);
    out.set_opening(timed.initial);
    out.set_joined(timed.same_step);
    if (move.kind == scenario::FaultActionKind::SetServerFault) {
        auto& t = *out.mutable_trouble();
        t.set_hangs(move.server_fault.hangs);
        t.set_errors(move.server_fault.error_fraction);
        t.set_slower(move.server_fault.slowdown_factor);
        t.set_taken(move.server_fault.stolen_cpu_fraction);
        t.set_answers_lost(move.server_fault.lost_response_fraction);
        t.set_counters(move.server_fault.reported_load_fraction);
        t.set_connections_most(move.server_fault.max_connections);
    }
    if (move.kind == scenario::FaultActionKind::AddServer) {
        auto& w = *out.mutable_worker();
        const auto& s = move.server_settings;
        w.set_zone(s.zone);
        w.set_cores(s.cores);
        w.set_speed(s.speed);
        w.set_queue_per_core(s.max_queued_per_core);
        w.set_cold_from(s.initial_capacity_fraction);
        w.set_cold_time_us(s.warm_up_time.count());
        w.set_fall_time_us(s.collapse_window.count());
        w.set_fall_multiple(s.collapse_factor);
        w.set_connections_most(s.max_connections);
        w.set_handshake_work_us(s.handshake_work.count());
        w.set_key_gain(s.cache_saving_fraction);
        w.set_key_time_us(s.cache_ttl.count());
        w.set_reports_load(s.reports_load);
        w.set_report_every_us(s.load_report_interval.count());
        w.set_error_rate(s.error_fraction);
    }
}

void Recorder::struck(Micros now, const scenario::Fault& trouble) {
    auto& out = *writer_.add(now).mutable_trouble();
    out.set_name(trouble.name);
    out.set_lasts_us(trouble.duration.count());
    out.set_line(static_cast<std::uint32_t>(trouble.line));
    out.set_whom(!trouble.target_name.empty()  ? trouble.target_name
                 : trouble.target_count > 0    ? std::to_string(trouble.target_count)
                 : trouble.target_fraction > 0 ? text_of(trouble.target_fraction * 100) + "%"
                                               : "");
}

// ---- invocations

void Recorder::on_invocation_arrived(Micros now, const testbed::Invocation& what) {
    auto& out = *writer_.add(now).mutable_came();
    auto& last = writer_.last_invocation_id();
    const auto id = static_cast<std::int64_t>(what.id);
    out.set_id_more(id - last);
    last = id;
    out.set_forwarder(writer_.name(what.proxy));
    out.set_key(writer_.name(what.key));
    out.set_operation(static_cast<std::uint32_t>(what.operation));
    out.set_work_us(static_cast<std::uint64_t>(what.work.count()));
}

void Recorder::on_invocation_finished(Micros now, const testbed::Invocation& what,
                                      testbed::InvocationResult result) {
    const auto first = tries_.lower_bound({what.id, std::string()});
    auto it = first;
    for (; it != tries_.end() && it->first.first == what.id; ++it) {
        write_try(now, it->first.second, what.id, it->second, kAttemptAbandoned);
    }
    tries_.erase(first, it);
    auto& out = *writer_.add(now).mutable_ended();
    out.set_id_less(writer_.last_invocation_id() - static_cast<std::int64_t>(what.id));
    out.set_result(static_cast<std::uint32_t>(result));
    out.set_client_tries(static_cast<std::uint32_t>(what.client_attempts));
}

void Recorder::on_attempt_sent(Micros now, const std::string& forwarder, const std::string& server,
                               std::uint64_t invocation, int operation, int number,
                               testbed::AttemptOutcome) {
    OpenTry one{server, now, operation, number};
    const auto [it, fresh] = tries_.try_emplace({invocation, forwarder}, one);
    if (fresh) {
        return;
    }
    // The one before was given up with its client's try.
    write_try(now, forwarder, invocation, it->second, kAttemptAbandoned);
    it->second = std::move(one);
}

void Recorder::on_attempt_finished(Micros now, const std::string& forwarder, const std::string&,
                                   std::uint64_t invocation, testbed::AttemptOutcome end) {
    const auto it = tries_.find({invocation, forwarder});
    if (it == tries_.end()) {
        return;
    }
    write_try(now, forwarder, invocation, it->second, static_cast<std::uint32_t>(end));
    tries_.erase(it);
}

void Recorder::write_try(Micros now, const std::string& forwarder, std::uint64_t invocation,
                         const OpenTry& one, std::uint32_t end) {
    auto& out = *writer_.add(now).mutable_tried();
    out.set_id_less(writer_.last_invocation_id() - static_cast<std::int64_t>(invocation));
    out.set_server(writer_.name(one.server));
    out.set_number(static_cast<std::uint32_t>(one.number));
    out.set_end(end);
    out.set_took_us(static_cast<std::uint64_t>((now - one.sent).count()));
    out.set_forwarder(writer_.name(forwarder));
    out.set_operation(static_cast<std::uint32_t>(one.operation));
}

// ---- streams

void Recorder::on_proxy_connected(Micros now, const std::string& forwarder,
                                  const std::string& governor) {
    auto& out = *writer_.add(now).mutable_joined();
    out.set_forwarder(writer_.name(forwarder));
    out.set_governor(writer_.name(governor));
}

void Recorder::on_proxy_disconnected(Micros now, const std::string& forwarder,
                                     const std::string& governor) {
    auto& out = *writer_.add(now).mutable_left();
    out.set_forwarder(writer_.name(forwarder));
    out.set_governor(writer_.name(governor));
}

void Recorder::on_response(Micros now, const std::string& forwarder, const std::string& governor,
                           const std::string&, std::size_t bytes, const std::string& why) {
    auto& out = *writer_.add(now).mutable_read();
    out.set_forwarder(writer_.name(forwarder));
    out.set_governor(writer_.name(governor));
    out.set_bytes(static_cast<std::uint32_t>(bytes));
    out.set_rejected(!why.empty());
}

// ---- governors

void Recorder::on_started(Micros now, const xds_server::XdsServer& service) {
    auto& out = *writer_.add(now).mutable_started();
    out.set_governor(writer_.name(service.id()));
    out.set_life(service.incarnation());
}

void Recorder::on_stopped(Micros now, const xds_server::XdsServer& service) {
    auto& out = *writer_.add(now).mutable_stopped();
    out.set_governor(writer_.name(service.id()));
    out.set_life(service.incarnation());
}

void Recorder::on_event(Micros now, const xds_server::XdsServer& service, const Event& event) {
    // The module's own beat says nothing of the day.
    if (std::holds_alternative<event::TimerFired>(event)) {
        return;
    }
    auto& out = *writer_.add(now).mutable_told();
    out.set_governor(writer_.name(service.id()));
    const auto forwarder = [&](ProxyId proxy) {
        return writer_.name(service.proxy_name(proxy));
    };
    const auto server = [&](ServerId id) {
        return writer_.name(service.server_name(id));
    };
    std::visit(Cases{
                   [&](const event::EndpointListUpdate& e) {
                       auto& list = *out.mutable_list();
                       list.set_form(static_cast<std::uint32_t>(e.kind));
                       for (const auto& row : e.endpoints) {
                           auto& to = *list.add_rows();
                           to.set_server(server(row.server));
                           to.set_zone(zone_number(row.zone));
                           to.set_state(static_cast<std::uint32_t>(row.state));
                           to.set_weight(row.weight);
                           to.set_age_us(age_of(now, row.started_at).count());
                       }
                   },
                   [&](const event::ProxyConnected& e) {
                       auto& to = *out.mutable_joined();
                       to.set_forwarder(forwarder(e.proxy));
                       to.set_zone(zone_number(e.zone));
                       to.set_fresh(e.fresh_start);
                       to.set_rate(e.announced_rate);
                   },
                   [&](const event::ProxyDisconnected& e) {
                       out.mutable_left()->set_forwarder(forwarder(e.proxy));
                   },
                   [&](const event::ServerLoadReport& e) {
                       auto& to = *out.mutable_heard();
                       to.set_zone(zone_number(e.zone));
                       to.set_server(server(e.server));
                       to.set_tries(e.attempts);
                       to.set_errored(e.failures);
                       to.set_mean_us(e.mean_latency.count());
                       to.set_span_us(e.interval.count());
                       for (const double load : e.load_metrics) {
                           to.add_load(load);
                       }
                   },
                   [&](const event::ProxyDemandReport& e) {
                       auto& to = *out.mutable_demand();
                       to.set_forwarder(forwarder(e.proxy));
                       to.set_operation(static_cast<std::uint32_t>(e.operation.value));
                       to.set_count(e.attempts);
                       to.set_errored(e.failures);
                       to.set_span_us(e.interval.count());
                   },
                   [&](const event::HealthCheckResult& e) {
                       auto& to = *out.mutable_probed();
                       to.set_server(server(e.server));
                       to.set_outcome(static_cast<std::uint32_t>(e.outcome));
                       to.set_took_us(e.duration.count());
                   },
                   [&](const event::ConfigAcknowledged& e) {
                       auto& to = *out.mutable_applied();
                       to.set_forwarder(forwarder(e.proxy));
                       to.set_mark(e.version.value);
                       to.set_took_us(e.delay.count());
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
    auto& out = *writer_.add(now).mutable_decided();
    out.set_governor(writer_.name(service.id()));
    const auto table = [](TableId t) {
        return static_cast<std::uint32_t>(t.value);
    };
    for (const Command& action : actions) {
        if (beat(action)) {
            continue;
        }
        auto& to = *out.add_actions();
        std::visit(
            Cases{
                [&](const command::SetWeight& a) {
                    to.mutable_line()->set_table(table(a.table));
                    to.mutable_line()->set_weight(a.weight);
                    to.mutable_line()->set_server(writer_.name(service.server_name(a.server)));
                },
                [&](const command::AssignTable& a) {
                    to.mutable_bind()->set_table(table(a.table));
                    to.mutable_bind()->set_operations(a.operations);
                    to.mutable_bind()->set_forwarder(writer_.name(service.proxy_name(a.proxy)));
                },
                [&](const command::SetAdmission& a) {
                    to.mutable_level()->set_table(table(a.table));
                    to.mutable_level()->set_operations(a.operations);
                    to.mutable_level()->set_let_in(a.limit);
                    to.mutable_level()->set_again(static_cast<std::uint32_t>(a.retry_mode));
                },
                [&](const command::RequestAck& a) { to.set_mark(a.version.value); },
                [&](const command::LogMessage& a) { to.set_says(a.text); },
                [&](const command::ClearTable& a) { to.set_clear(table(a.table)); },
                [&](const command::SetEjected& a) {
                    to.mutable_withdraw()->set_server(writer_.name(service.server_name(a.server)));
                    to.mutable_withdraw()->set_out(a.ejected);
                },
                [&](const command::CheckHealth& a) {
                    to.set_probe(writer_.name(service.server_name(a.server)));
                },
                [&](const command::WatchEndpoints& a) { to.set_watch(a.enabled); },
                [&](const auto&) { to.set_other(to_text(service, action)); },
            },
            action);
    }
}

// ---- a whole day

scenario::ScenarioRun record_scenario(const scenario::ScenarioScript& script,
                                      scenario::ScenarioOptions options, const std::string& path,
                                      recording::WriterOptions how,
                                      recording::WriterStats& figures) {
    std::optional<recording::Writer> writer;
    std::optional<Recorder> recorder;
    options.make_observers = [&](base::Micros begin) {
        writer.emplace(recording::open_file_sink(path), make_header(script, begin), how);
        recorder.emplace(*writer);
        return std::vector<testbed::Observer*>{&*recorder};
    };
    options.before_start = [&](scenario::SimulatedFleet& world) {
        recorder->attach_to(world);
    };
    auto out = scenario::run_scenario(script, options);
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

InstanceRecorder::InstanceRecorder(std::string folder, const scenario::ScenarioScript& script,
                                   std::map<std::string, Micros> ahead)
    : folder_(std::move(folder)),
      script_(script),
      ahead_(std::move(ahead)) {}

void InstanceRecorder::on_started(Micros now, const xds_server::XdsServer& service) {
    auto settings = script_.settings;
    settings.set("governor", "id", service.id());
    settings.set("governor", "ordinal", std::to_string(service.ordinal()));
    auto config = script_.instance_config;
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
