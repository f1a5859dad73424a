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

// In recordings zones count from 1, and 0 is none.
std::uint32_t zone_number(ZoneId zone) {
    return static_cast<std::uint32_t>(zone.value + 1);
}

// How long a server has run. 0 stands for an unknown start, so a known age is at least 1 us.
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
                       Micros begin, const std::string& wall_begin) {
    pb::Header out;
    out.set_made_by("governor " + config.id);
    out.set_settings(settings);
    out.set_seed(config.seed);
    out.set_begin_us(begin.count());
    out.set_wall_begin(wall_begin);
    for (const auto& op : config.settings.operations) {
        out.add_operations(op.name);
    }
    return out;
}

void Recorder::attach_to(scenario::SimulatedFleet& fleet) {
    fleet.on_action = [this](Micros now, bool opening, bool joined,
                             const scenario::FaultAction& action) {
        write_action(writer_, now, {now, opening, joined, action});
    };
    fleet.on_fault = [this](Micros now, const scenario::Fault& fault) {
        write_fault(now, fault);
    };
    fleet.instance_observer = this;
}

void write_action(recording::Writer& writer, Micros now, const scenario::TimedFaultAction& timed) {
    const scenario::FaultAction& action = timed.action;
    auto& out = *writer.add(now).mutable_action();
    out.set_kind(static_cast<std::uint32_t>(action.kind));
    out.set_target(writer.name(action.target));
    out.set_enabled(action.enabled);
    out.set_magnitude(action.magnitude);
    out.set_duration_us(action.duration.count());
    out.set_text(action.text);
    out.set_initial(timed.initial);
    out.set_same_step(timed.same_step);
    if (action.kind == scenario::FaultActionKind::SetServerFault) {
        auto& fault = *out.mutable_server_fault();
        fault.set_hangs(action.server_fault.hangs);
        fault.set_error_fraction(action.server_fault.error_fraction);
        fault.set_slowdown_factor(action.server_fault.slowdown_factor);
        fault.set_stolen_cpu_fraction(action.server_fault.stolen_cpu_fraction);
        fault.set_lost_response_fraction(action.server_fault.lost_response_fraction);
        fault.set_reported_load_fraction(action.server_fault.reported_load_fraction);
        fault.set_max_connections(action.server_fault.max_connections);
    }
    if (action.kind == scenario::FaultActionKind::AddServer) {
        auto& settings = *out.mutable_server_settings();
        const auto& s = action.server_settings;
        settings.set_zone(s.zone);
        settings.set_cores(s.cores);
        settings.set_speed(s.speed);
        settings.set_max_queued_per_core(s.max_queued_per_core);
        settings.set_initial_capacity_fraction(s.initial_capacity_fraction);
        settings.set_warm_up_time_us(s.warm_up_time.count());
        settings.set_collapse_window_us(s.collapse_window.count());
        settings.set_collapse_factor(s.collapse_factor);
        settings.set_max_connections(s.max_connections);
        settings.set_handshake_work_us(s.handshake_work.count());
        settings.set_cache_saving_fraction(s.cache_saving_fraction);
        settings.set_cache_ttl_us(s.cache_ttl.count());
        settings.set_reports_load(s.reports_load);
        settings.set_load_report_interval_us(s.load_report_interval.count());
        settings.set_error_fraction(s.error_fraction);
    }
}

void Recorder::write_fault(Micros now, const scenario::Fault& fault) {
    auto& out = *writer_.add(now).mutable_fault();
    out.set_name(fault.name);
    out.set_duration_us(fault.duration.count());
    out.set_script_line(static_cast<std::uint32_t>(fault.line));
    out.set_target(!fault.target_name.empty()  ? fault.target_name
                   : fault.target_count > 0    ? std::to_string(fault.target_count)
                   : fault.target_fraction > 0 ? text_of(fault.target_fraction * 100) + "%"
                                               : "");
}

void Recorder::on_invocation_arrived(Micros now, const testbed::Invocation& invocation) {
    auto& out = *writer_.add(now).mutable_invocation_start();
    auto& last_id = writer_.last_invocation_id();
    const auto id = static_cast<std::int64_t>(invocation.id);
    out.set_id_delta(id - last_id);
    last_id = id;
    out.set_proxy(writer_.name(invocation.proxy));
    out.set_key(writer_.name(invocation.key));
    out.set_operation(static_cast<std::uint32_t>(invocation.operation));
    out.set_work_us(static_cast<std::uint64_t>(invocation.work.count()));
}

void Recorder::on_invocation_finished(Micros now, const testbed::Invocation& invocation,
                                      testbed::InvocationResult result) {
    const auto first = open_attempts_.lower_bound({invocation.id, std::string()});
    auto it = first;
    for (; it != open_attempts_.end() && it->first.first == invocation.id; ++it) {
        write_attempt(now, it->first.second, invocation.id, it->second, kAttemptAbandoned);
    }
    open_attempts_.erase(first, it);
    auto& out = *writer_.add(now).mutable_invocation_end();
    out.set_id_behind(writer_.last_invocation_id() - static_cast<std::int64_t>(invocation.id));
    out.set_result(static_cast<std::uint32_t>(result));
    out.set_client_attempts(static_cast<std::uint32_t>(invocation.client_attempts));
}

void Recorder::on_attempt_sent(Micros now, const std::string& proxy, const std::string& server,
                               std::uint64_t invocation, int operation, int number,
                               testbed::AttemptOutcome) {
    OpenAttempt attempt{server, now, operation, number};
    const auto [it, inserted] = open_attempts_.try_emplace({invocation, proxy}, attempt);
    if (inserted) {
        return;
    }
    // The proxy abandoned the previous attempt because its client gave up on it.
    write_attempt(now, proxy, invocation, it->second, kAttemptAbandoned);
    it->second = std::move(attempt);
}

void Recorder::on_attempt_finished(Micros now, const std::string& proxy, const std::string&,
                                   std::uint64_t invocation, testbed::AttemptOutcome outcome) {
    const auto it = open_attempts_.find({invocation, proxy});
    if (it == open_attempts_.end()) {
        return;
    }
    write_attempt(now, proxy, invocation, it->second, static_cast<std::uint32_t>(outcome));
    open_attempts_.erase(it);
}

void Recorder::write_attempt(Micros now, const std::string& proxy, std::uint64_t invocation,
                             const OpenAttempt& attempt, std::uint32_t outcome) {
    auto& out = *writer_.add(now).mutable_attempt();
    out.set_id_behind(writer_.last_invocation_id() - static_cast<std::int64_t>(invocation));
    out.set_server(writer_.name(attempt.server));
    out.set_number(static_cast<std::uint32_t>(attempt.number));
    out.set_outcome(outcome);
    out.set_duration_us(static_cast<std::uint64_t>((now - attempt.sent).count()));
    out.set_proxy(writer_.name(proxy));
    out.set_operation(static_cast<std::uint32_t>(attempt.operation));
}

void Recorder::on_proxy_connected(Micros now, const std::string& proxy,
                                  const std::string& instance) {
    auto& out = *writer_.add(now).mutable_stream_opened();
    out.set_proxy(writer_.name(proxy));
    out.set_instance(writer_.name(instance));
}

void Recorder::on_proxy_disconnected(Micros now, const std::string& proxy,
                                     const std::string& instance) {
    auto& out = *writer_.add(now).mutable_stream_closed();
    out.set_proxy(writer_.name(proxy));
    out.set_instance(writer_.name(instance));
}

void Recorder::on_response(Micros now, const std::string& proxy, const std::string& instance,
                           const std::string&, std::size_t bytes, const std::string& rejection) {
    auto& out = *writer_.add(now).mutable_response_read();
    out.set_proxy(writer_.name(proxy));
    out.set_instance(writer_.name(instance));
    out.set_bytes(static_cast<std::uint32_t>(bytes));
    out.set_rejected(!rejection.empty());
}

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
    // Timers of the policy follow from its commands and say nothing about the scenario.
    if (std::holds_alternative<event::TimerFired>(event)) {
        return;
    }
    auto& out = *writer_.add(now).mutable_event();
    out.set_instance(writer_.name(service.id()));
    const auto proxy_name = [&](ProxyId proxy) {
        return writer_.name(service.proxy_name(proxy));
    };
    const auto server_name = [&](ServerId id) {
        return writer_.name(service.server_name(id));
    };
    std::visit(Cases{
                   [&](const event::EndpointListUpdate& e) {
                       auto& list = *out.mutable_endpoint_list();
                       list.set_kind(static_cast<std::uint32_t>(e.kind));
                       for (const auto& endpoint : e.endpoints) {
                           auto& to = *list.add_endpoints();
                           to.set_server(server_name(endpoint.server));
                           to.set_zone(zone_number(endpoint.zone));
                           to.set_state(static_cast<std::uint32_t>(endpoint.state));
                           to.set_weight(endpoint.weight);
                           to.set_age_us(age_of(now, endpoint.started_at).count());
                       }
                   },
                   [&](const event::ProxyConnected& e) {
                       auto& to = *out.mutable_proxy_connected();
                       to.set_proxy(proxy_name(e.proxy));
                       to.set_zone(zone_number(e.zone));
                       to.set_fresh_start(e.fresh_start);
                       to.set_announced_rate(e.announced_rate);
                   },
                   [&](const event::ProxyDisconnected& e) {
                       out.mutable_proxy_disconnected()->set_proxy(proxy_name(e.proxy));
                   },
                   [&](const event::ServerLoadReport& e) {
                       auto& to = *out.mutable_load_report();
                       to.set_zone(zone_number(e.zone));
                       to.set_server(server_name(e.server));
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
                       to.set_proxy(proxy_name(e.proxy));
                       to.set_operation(static_cast<std::uint32_t>(e.operation.value));
                       to.set_attempts(e.attempts);
                       to.set_failures(e.failures);
                       to.set_interval_us(e.interval.count());
                   },
                   [&](const event::HealthCheckResult& e) {
                       auto& to = *out.mutable_health_check();
                       to.set_server(server_name(e.server));
                       to.set_outcome(static_cast<std::uint32_t>(e.outcome));
                       to.set_duration_us(e.duration.count());
                   },
                   [&](const event::ConfigAcknowledged& e) {
                       auto& to = *out.mutable_acknowledgement();
                       to.set_proxy(proxy_name(e.proxy));
                       to.set_version(e.version.value);
                       to.set_delay_us(e.delay.count());
                   },
                   [](const auto&) {},
               },
               event);
}

void Recorder::on_commands(Micros now, const xds_server::XdsServer& service,
                           const std::vector<Command>& commands) {
    const auto is_timer = [](const Command& a) {
        return std::holds_alternative<command::SetTimer>(a);
    };
    if (std::all_of(commands.begin(), commands.end(), is_timer)) {
        return;
    }
    auto& out = *writer_.add(now).mutable_commands();
    out.set_instance(writer_.name(service.id()));
    const auto table_number = [](TableId t) {
        return static_cast<std::uint32_t>(t.value);
    };
    for (const Command& command : commands) {
        if (is_timer(command)) {
            continue;
        }
        auto& to = *out.add_commands();
        std::visit(
            Cases{
                [&](const command::SetWeight& a) {
                    to.mutable_weight()->set_table(table_number(a.table));
                    to.mutable_weight()->set_weight(a.weight);
                    to.mutable_weight()->set_server(writer_.name(service.server_name(a.server)));
                },
                [&](const command::AssignTable& a) {
                    to.mutable_assignment()->set_table(table_number(a.table));
                    to.mutable_assignment()->set_operations(a.operations);
                    to.mutable_assignment()->set_proxy(writer_.name(service.proxy_name(a.proxy)));
                },
                [&](const command::SetAdmission& a) {
                    to.mutable_admission()->set_table(table_number(a.table));
                    to.mutable_admission()->set_operations(a.operations);
                    to.mutable_admission()->set_limit(a.limit);
                    to.mutable_admission()->set_retries(static_cast<std::uint32_t>(a.retry_mode));
                },
                [&](const command::RequestAck& a) { to.set_requested_ack(a.version.value); },
                [&](const command::LogMessage& a) { to.set_log_message(a.text); },
                [&](const command::ClearTable& a) { to.set_cleared_table(table_number(a.table)); },
                [&](const command::SetEjected& a) {
                    to.mutable_ejection()->set_server(writer_.name(service.server_name(a.server)));
                    to.mutable_ejection()->set_ejected(a.ejected);
                },
                [&](const command::CheckHealth& a) {
                    to.set_checked_server(writer_.name(service.server_name(a.server)));
                },
                [&](const command::WatchEndpoints& a) { to.set_watch_endpoints(a.enabled); },
                [&](const auto&) { to.set_other(to_text(service, command)); },
            },
            command);
    }
}

scenario::ScenarioRun record_scenario(const scenario::ScenarioScript& script,
                                      scenario::ScenarioOptions options, const std::string& path,
                                      recording::WriterOptions writer_options,
                                      recording::WriterStats& stats) {
    std::optional<recording::Writer> writer;
    std::optional<Recorder> recorder;
    options.make_observers = [&](base::Micros begin) {
        writer.emplace(recording::open_file_sink(path), make_header(script, begin), writer_options);
        recorder.emplace(*writer);
        return std::vector<testbed::Observer*>{&*recorder};
    };
    options.before_start = [&](scenario::SimulatedFleet& fleet) {
        recorder->attach_to(fleet);
    };
    auto out = scenario::run_scenario(script, options);
    writer->finish();
    stats = writer->stats();
    return out;
}

namespace {
// A time of the scenario's clock as RFC 3339, as if the clock were a wall clock.
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

InstanceRecorder::InstanceRecorder(std::string directory, const scenario::ScenarioScript& script,
                                   std::map<std::string, Micros> clock_offsets)
    : directory_(std::move(directory)),
      script_(script),
      clock_offsets_(std::move(clock_offsets)) {}

void InstanceRecorder::on_started(Micros now, const xds_server::XdsServer& service) {
    auto settings = script_.settings;
    settings.set("governor", "id", service.id());
    settings.set("governor", "ordinal", std::to_string(service.ordinal()));
    auto config = script_.instance_config;
    config.id = service.id();
    paths_.push_back((std::filesystem::path(directory_) /
                      (service.id() + "-" + std::to_string(paths_.size()) + ".rec"))
                         .string());
    const auto it = clock_offsets_.find(service.id());
    const Micros begin = it == clock_offsets_.end() ? now : now - it->second;
    OpenRecording& open = open_[service.id()];
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

std::string to_text(const xds_server::XdsServer& service, const Event& event) {
    const auto proxy_name = [&](ProxyId proxy) {
        return service.proxy_name(proxy);
    };
    return std::visit(
        Cases{
            [&](const event::EndpointListUpdate& e) {
                std::string out = "endpoint list:";
                for (const auto& endpoint : e.endpoints) {
                    out += " " + service.server_name(endpoint.server) +
                           (endpoint.state == ServerState::Ready ? "" : " (draining)");
                }
                return out;
            },
            [&](const event::TimerFired& e) { return "timer " + e.token; },
            [&](const event::ProxyConnected& e) { return proxy_name(e.proxy) + " connected"; },
            [&](const event::ProxyDisconnected& e) {
                return proxy_name(e.proxy) + " disconnected";
            },
            [&](const event::ServerLoadReport& e) {
                return service.server_name(e.server) + " reported by zone " +
                       std::to_string(e.zone.value) + ": " + std::to_string(e.attempts) +
                       " attempts, " + std::to_string(e.failures) + " failures, mean latency " +
                       std::to_string(e.mean_latency.count() / 1000) + " ms";
            },
            [&](const event::ProxyDemandReport& e) {
                return proxy_name(e.proxy) + " requested operation " +
                       std::to_string(e.operation.value) + ": " + std::to_string(e.attempts) +
                       " attempts in " + std::to_string(e.interval.count() / 1000) + " ms";
            },
            [&](const event::HealthCheckResult& e) {
                return "health check of " + service.server_name(e.server);
            },
            [&](const event::ConfigAcknowledged& e) {
                return proxy_name(e.proxy) + " acknowledged version " +
                       std::to_string(e.version.value);
            },
            [](const auto&) { return std::string("another event"); },
        },
        event);
}

std::string to_text(const xds_server::XdsServer& service, const Command& command) {
    const auto table_name = [](TableId t) {
        return "table " + std::to_string(t.value);
    };
    return std::visit(
        Cases{
            [](const command::SetTimer& a) { return "timer " + a.token; },
            [](const command::LogMessage& a) { return "log: " + a.text; },
            [](const command::WatchEndpoints& a) {
                return std::string(a.enabled ? "watch endpoints" : "stop watching endpoints");
            },
            [](const command::FetchEndpoints&) { return std::string("fetch endpoints"); },
            [&](const command::CheckHealth& a) {
                return "check health of " + service.server_name(a.server);
            },
            [](const command::SendGossip&) { return std::string("send gossip"); },
            [&](const command::SetWeight& a) {
                return table_name(a.table) + ": " + service.server_name(a.server) +
                       (a.weight > 0 ? " weight " + text_of(a.weight) : " removed");
            },
            [&](const command::ClearTable& a) { return table_name(a.table) + " cleared"; },
            [&](const command::AssignTable& a) {
                return service.proxy_name(a.proxy) + " assigned to " + table_name(a.table);
            },
            [&](const command::SetEjected& a) {
                return service.server_name(a.server) +
                       (a.ejected ? " ejected" : " no longer ejected");
            },
            [&](const command::SetAdmission& a) {
                return table_name(a.table) + ": admission limit " + text_of(a.limit) +
                       " for operations " + std::to_string(a.operations);
            },
            [](const command::RequestAck& a) {
                return "request acknowledgement of version " + std::to_string(a.version.value);
            },
        },
        command);
}

}  // namespace badgergrade::replay
