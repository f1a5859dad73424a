#include "replay/merge.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "base/random.h"
#include "config/instance_config.h"
#include "replay/recorder.h"
#include "scenario/fault_action.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;
namespace pb = badgergrade::recording::v1;

namespace {

// A server is taken to be slow if its mean latency is this many times the fleet's median of the
// same two seconds.
constexpr double kSlowServerLatencyRatio = 4;
// A server is taken to fail if at least this fraction of its attempts failed ...
constexpr double kFailingServerFailureFraction = 0.9;
// ... while less than this fraction of the attempts at all other servers did.
constexpr double kHealthyFleetFailureFraction = 0.3;
// Load reports with fewer attempts say too little and are ignored.
constexpr std::int64_t kMinReportAttempts = 4;
// A proxy that reconnects within this time lost its stream; one that stays away longer could not
// reach any instance.
constexpr Micros kMaxBrokenStreamGap = 3s;
// Two instances receive the same endpoint list within this time.
constexpr Micros kMaxListTimeDifference = 500ms;
// A demand report that follows the proxy's previous one by less than this covers the time between
// the two; otherwise it covers only its own interval.
constexpr Micros kMaxDemandReportGap = 60s;
// A server is taken to have stopped at most this long before the list showed it.
constexpr Micros kMaxListDelay = 10s;

template <class T>
T median(std::vector<T> values, T fallback) {
    if (values.empty()) {
        return fallback;
    }
    const auto mid = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), mid, values.end());
    return *mid;
}

struct ListedEndpoint {
    std::string server;
    int zone = 0;
    ServerState state = ServerState::Ready;
    double weight = 1;
    Micros started{};  // 0: long ago or unknown
};

// What proxies of one zone reported about one server for the interval that ended at `at`.
struct LoadReport {
    Micros at{}, interval{};
    std::string server;
    std::int64_t attempts = 0, failures = 0;
    Micros mean_latency{};
};

// How often a proxy was asked for an operation in the interval that ended at `at`.
struct DemandReport {
    Micros at{}, interval{};
    std::string proxy;
    int operation = 0;
    std::int64_t attempts = 0, failures = 0;
};

// A proxy connected to an instance or lost its connection. The fields after `connected` are set
// only when it connected.
struct StreamChange {
    Micros at{};
    std::string proxy;
    bool connected = false, fresh_start = false;
    int zone = 0;
    double announced_rate = 0;  // invocations per second
};

// The recording of one incarnation of one instance. Times are by the instance's clock until `shift`
// moves them to the common one.
struct InstanceRecording {
    pb::Header header;
    config::InstanceConfig config;
    Micros last{};  // time of the last record
    std::vector<std::pair<Micros, std::vector<ListedEndpoint>>> lists;
    std::vector<LoadReport> load_reports;
    std::vector<DemandReport> demand_reports;
    std::vector<StreamChange> stream_changes;
    std::vector<Micros> ack_delays;

    void shift(Micros offset) {
        last += offset;
        for (auto& [at, endpoints] : lists) {
            at += offset;
            for (auto& endpoint : endpoints) {
                if (endpoint.started != 0us) {
                    endpoint.started += offset;
                }
            }
        }
        for (auto& report : load_reports) {
            report.at += offset;
        }
        for (auto& report : demand_reports) {
            report.at += offset;
        }
        for (auto& change : stream_changes) {
            change.at += offset;
        }
    }

    std::vector<ReceivedList> received_lists() const {
        std::vector<ReceivedList> out;
        for (const auto& [at, endpoints] : lists) {
            ReceivedList list{at, {}, {}};
            for (const auto& endpoint : endpoints) {
                list.content +=
                    endpoint.server + (endpoint.state == ServerState::Ready ? " " : "- ");
                if (endpoint.started != 0us) {
                    list.starts.emplace_back(endpoint.server, endpoint.started);
                }
            }
            // A list that merely repeats the previous one says nothing about the clock.
            if (out.empty() || out.back().content != list.content) {
                out.push_back(std::move(list));
            }
        }
        return out;
    }
};

// Throws std::runtime_error if the file is not the recording of one instance.
InstanceRecording read_recording(const std::string& path, std::vector<recording::Damage>& damage) {
    recording::Reader reader(path);
    InstanceRecording out;
    out.header = reader.header();
    std::vector<config::ConfigError> errors;
    out.config = config::read_instance_config(
        config::IniFile::parse(path, out.header.settings(), errors), errors);
    if (!errors.empty()) {
        throw std::runtime_error(
            path + ": the recorded settings are invalid: " + config::to_text(errors.front()));
    }
    if (!out.header.script().empty()) {
        throw std::runtime_error(
            path + ": expected the recording of one instance, got a whole scenario recorded by " +
            out.header.made_by());
    }
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        const auto name = [&](std::uint32_t index) {
            return recording::name_at(block, index);
        };
        recording::for_each_record(block, [&](Micros at, const pb::Record& record) {
            out.last = std::max(out.last, at);
            if (!record.has_event()) {
                return;
            }
            const auto& event = record.event();
            if (event.has_endpoint_list()) {
                std::vector<ListedEndpoint> endpoints;
                for (const auto& endpoint : event.endpoint_list().endpoints()) {
                    endpoints.push_back(
                        {name(endpoint.server()), static_cast<int>(endpoint.zone()) - 1,
                         static_cast<ServerState>(std::min(endpoint.state(), 2u)),
                         endpoint.weight(),
                         endpoint.age_us() > 0 ? at - Micros(endpoint.age_us()) : 0us});
                }
                if (!endpoints.empty()) {
                    out.lists.emplace_back(at, std::move(endpoints));
                }
            } else if (event.has_load_report()) {
                out.load_reports.push_back({at, Micros(event.load_report().interval_us()),
                                            name(event.load_report().server()),
                                            event.load_report().attempts(),
                                            event.load_report().failures(),
                                            Micros(event.load_report().mean_latency_us())});
            } else if (event.has_demand_report()) {
                out.demand_reports.push_back({at, Micros(event.demand_report().interval_us()),
                                              name(event.demand_report().proxy()),
                                              static_cast<int>(event.demand_report().operation()),
                                              event.demand_report().attempts(),
                                              event.demand_report().failures()});
            } else if (event.has_proxy_connected()) {
                out.stream_changes.push_back({at, name(event.proxy_connected().proxy()), true,
                                              event.proxy_connected().fresh_start(),
                                              static_cast<int>(event.proxy_connected().zone()) - 1,
                                              event.proxy_connected().announced_rate()});
            } else if (event.has_proxy_disconnected()) {
                out.stream_changes.push_back(
                    {at, name(event.proxy_disconnected().proxy()), false, false, -1, 0});
            } else if (event.has_acknowledgement()) {
                out.ack_delays.emplace_back(event.acknowledgement().delay_us());
            }
        });
    });
    for (const auto& found : reader.damage()) {
        damage.push_back({found.offset, path + ": " + found.description});
    }
    return out;
}

// The wall clock time at which the recording began, if it is known.
std::optional<Micros> wall_clock_start(const pb::Header& header) {
    std::tm parts{};
    std::istringstream in(header.wall_begin());
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (in.fail()) {
        return std::nullopt;
    }
    Micros out = std::chrono::seconds(timegm(&parts));
    double part = 0;
    if (in.peek() == '.' && in >> part) {
        out += Micros(std::llround(part * 1e6));
    }
    return out;
}

// Estimates the fleet, the traffic and the faults from recordings whose clocks are aligned, and
// writes them as the recording of a scenario.
class Reconstruction {
public:
    Reconstruction(std::vector<InstanceRecording>& recordings, MergeResult& merged)
        : recordings_(recordings),
          merged_(merged),
          config_(recordings.front().config) {}

    void write(const std::string& path) {
        collect_servers();
        collect_proxies();
        estimate_server_speeds();
        write_recording(path);
    }

private:
    struct ServerEstimate {
        int zone = 0;
        double weight = 1, speed = 1;  // speed: relative to the fleet's median
        Micros median_latency{};       // while no attempt failed; 0: unknown
    };

    std::string zone_name(int zone) const {
        return zone >= 0 && zone < static_cast<int>(config_.zones.size())
                   ? config_.zones[static_cast<std::size_t>(zone)]
                   : config_.zones.front();
    }

    void add_action(Micros when, scenario::FaultAction action, bool opening = false) {
        actions_.push_back({std::max(0us, when), opening, false, std::move(action)});
    }

    void collect_servers() {
        for (const InstanceRecording& recording : recordings_) {
            for (const auto& [when, endpoints] : recording.lists) {
                for (const auto& endpoint : endpoints) {
                    servers_.try_emplace(endpoint.server,
                                         ServerEstimate{endpoint.zone, endpoint.weight, 1, 0us});
                }
            }
        }
        select_lists();
        for (const InstanceRecording& recording : recordings_) {
            for (const LoadReport& report : recording.load_reports) {
                load_reports_[report.server].push_back(&report);
            }
        }
        for (auto& [server, reports] : load_reports_) {
            std::stable_sort(reports.begin(), reports.end(),
                             [](const auto* a, const auto* b) { return a->at < b->at; });
        }
        if (servers_.empty()) {
            throw std::runtime_error(
                "expected at least one endpoint list in these recordings, got none");
        }
    }

    // Takes the lists of one recording at a time, always of the one that lasts longest. Clocks are
    // never aligned well enough to put the lists of two recordings into one order, and a list out
    // of order would look like servers that stop and start.
    void select_lists() {
        for (Micros from = Micros::min();;) {
            const InstanceRecording* next = nullptr;
            for (const InstanceRecording& recording : recordings_) {
                if (recording.lists.empty() || recording.last <= from) {
                    continue;
                }
                const bool has_begun = recording.lists.front().first <= from;
                const bool next_has_begun = next && next->lists.front().first <= from;
                if (!next || (has_begun && (!next_has_begun || recording.last > next->last)) ||
                    (!has_begun && !next_has_begun &&
                     recording.lists.front().first < next->lists.front().first)) {
                    next = &recording;
                }
            }
            if (!next) {
                break;
            }
            for (const auto& [when, endpoints] : next->lists) {
                if (when >= from) {
                    lists_.emplace_back(when, &endpoints);
                }
            }
            from = next->last;
        }
        for (const auto& [when, endpoints] : lists_) {
            for (const auto& endpoint : *endpoints) {
                if (endpoint.started > 0us) {
                    start_times_[endpoint.server].insert(endpoint.started);
                }
            }
        }
    }

    void collect_proxies() {
        for (const InstanceRecording& recording : recordings_) {
            for (const StreamChange& change : recording.stream_changes) {
                stream_changes_[change.proxy].push_back(&change);
                if (change.connected) {
                    proxies_.try_emplace(change.proxy, change.zone, change.announced_rate);
                }
            }
        }
        for (auto& [proxy, changes] : stream_changes_) {
            std::stable_sort(changes.begin(), changes.end(),
                             [](const auto* a, const auto* b) { return a->at < b->at; });
        }
        if (proxies_.empty()) {
            throw std::runtime_error(
                "expected at least one proxy that connects in these recordings, got none");
        }
    }

    // The median latency of each server and of the fleet, from the load reports without failures. A
    // server's speed follows from the ratio of the two.
    void estimate_server_speeds() {
        std::vector<Micros> fleet_latencies;
        for (auto& [name, estimate] : servers_) {
            std::vector<Micros> latencies;
            for (const LoadReport* report : load_reports_[name]) {
                if (report->attempts >= kMinReportAttempts && report->failures == 0 &&
                    report->mean_latency > 0us) {
                    latencies.push_back(report->mean_latency);
                }
            }
            estimate.median_latency = median(latencies, 0us);
            if (estimate.median_latency > 0us) {
                fleet_latencies.push_back(estimate.median_latency);
            }
        }
        median_latency_ = median(fleet_latencies, 100000us);
        for (auto& [name, estimate] : servers_) {
            if (estimate.median_latency > 0us) {
                estimate.speed =
                    std::clamp(static_cast<double>(median_latency_.count()) /
                                   static_cast<double>(estimate.median_latency.count()),
                               0.3, 3.0);
            }
        }
    }

    testbed::FakeServerSettings server_settings(const std::string& id,
                                                const ServerEstimate& estimate) const {
        const Settings& settings = config_.settings;
        testbed::FakeServerSettings s;
        const bool has_static_weights = settings.listed_weights != ListedWeights::None &&
                                        settings.listed_weights != ListedWeights::Live;
        s.id = id;
        s.zone = zone_name(estimate.zone);
        s.cores = has_static_weights
                      ? std::clamp(static_cast<int>(std::lround(estimate.weight)), 1, 256)
                      : 2;
        // The listed weight stands for cores times speed. The work of an invocation is estimated
        // for a server of the fleet's median speed, which is 1.
        s.speed = std::max(0.05, estimate.speed);
        s.initial_capacity_fraction = settings.initial_capacity_fraction;
        s.warm_up_time = settings.slow_start_window;
        s.collapse_factor = settings.overload_collapse_factor;
        s.collapse_window = settings.overload_collapse_time;
        s.handshake_work = 10ms;
        s.reports_load = !settings.load_metric_names.empty();
        s.load_report_interval = 500ms;
        return s;
    }

    void add_initial_state() {
        using enum scenario::FaultActionKind;
        const auto& first_list = *lists_.front().second;
        for (const auto& endpoint : first_list) {
            add_action(
                0us,
                {.kind = AddServer,
                 .target = endpoint.server,
                 .server_settings = server_settings(endpoint.server, servers_.at(endpoint.server))},
                true);
            add_action(0us, {.kind = StartServer, .target = endpoint.server}, true);
            add_action(0us,
                       {.kind = ListServer,
                        .target = endpoint.server,
                        .enabled = endpoint.state == ServerState::Draining},
                       true);
            running_.insert(endpoint.server);
            added_.insert(endpoint.server);
            listed_[endpoint.server] = endpoint;
        }
        std::set<int> ordinals;
        for (const InstanceRecording& recording : recordings_) {
            ordinals.insert(recording.config.settings.ordinal);
        }
        for (const int ordinal : ordinals) {
            add_action(0us,
                       {.kind = StartInstance, .target = "governor-" + std::to_string(ordinal)},
                       true);
        }
        for (const auto& [name, zone_and_rate] : proxies_) {
            add_action(0us,
                       {.kind = AddProxy,
                        .target = name,
                        .magnitude = std::max(0.01, zone_and_rate.second),
                        .text = zone_name(zone_and_rate.first)},
                       true);
        }
        for (const auto& [name, zone_and_rate] : proxies_) {
            // A proxy that first connected late was started late.
            const auto first_connect =
                std::find_if(stream_changes_.at(name).begin(), stream_changes_.at(name).end(),
                             [](const auto* s) { return s->connected; });
            const bool started_late = (*first_connect)->at > 5s;
            add_action(started_late ? (*first_connect)->at - 50ms : 0us,
                       {.kind = StartProxy, .target = name}, !started_late);
        }
    }

    // Time of the last load report before `before` that holds a successful attempt.
    std::optional<Micros> last_success(const std::string& server, Micros before) const {
        std::optional<Micros> out;
        const auto it = load_reports_.find(server);
        if (it != load_reports_.end()) {
            for (const LoadReport* report : it->second) {
                if (report->at < before && report->attempts > report->failures) {
                    out = report->at;
                }
            }
        }
        return out;
    }

    Micros estimated_stop(const std::string& server, Micros noticed) const {
        const auto last = last_success(server, noticed);
        return std::clamp(last.value_or(noticed - 1s), noticed - kMaxListDelay, noticed - 1ms);
    }

    // Servers that start, stop or drain according to the endpoint lists.
    void add_list_changes() {
        using enum scenario::FaultActionKind;
        for (const auto& [when, endpoints] : lists_) {
            std::set<std::string> listed_now;
            for (const auto& endpoint : *endpoints) {
                listed_now.insert(endpoint.server);
                const auto previous = listed_.find(endpoint.server);
                const bool restarted =
                    endpoint.started > 0us && (previous == listed_.end() ||
                                               previous->second.started + 100ms < endpoint.started);
                if (restarted) {
                    if (running_.contains(endpoint.server)) {
                        add_action(
                            estimated_stop(endpoint.server, std::min(when, endpoint.started)),
                            {.kind = StopServer, .target = endpoint.server});
                    }
                    start_server(endpoint.server, endpoint.started, true);
                } else if (!running_.contains(endpoint.server)) {
                    start_server(endpoint.server, when - 1ms, false);
                }
                if (previous == listed_.end() || restarted ||
                    previous->second.state != endpoint.state) {
                    add_action(when, {.kind = ListServer,
                                      .target = endpoint.server,
                                      .enabled = endpoint.state == ServerState::Draining});
                }
                listed_[endpoint.server] = endpoint;
            }
            for (auto it = listed_.begin(); it != listed_.end();) {
                if (listed_now.contains(it->first)) {
                    ++it;
                    continue;
                }
                if (running_.erase(it->first)) {
                    add_action(estimated_stop(it->first, when),
                               {.kind = StopServer, .target = it->first});
                }
                add_action(when, {.kind = UnlistServer, .target = it->first});
                it = listed_.erase(it);
            }
        }
    }

    void start_server(const std::string& server, Micros when, bool cold) {
        if (added_.insert(server).second) {
            add_action(when, {.kind = scenario::FaultActionKind::AddServer,
                              .target = server,
                              .server_settings = server_settings(server, servers_.at(server))});
        }
        add_action(
            when,
            {.kind = scenario::FaultActionKind::StartServer, .target = server, .enabled = cold});
        running_.insert(server);
    }

    // Periods in which a server failed or was slow while the rest of the fleet was healthy.
    void add_server_faults() {
        std::map<std::int64_t, std::pair<double, double>>
            attempts_and_failures;  // by slot of two seconds: attempts, failures
        std::map<std::int64_t, std::vector<Micros>> latencies;
        for (const auto& [server, reports] : load_reports_) {
            for (const LoadReport* report : reports) {
                auto& sums = attempts_and_failures[report->at.count() / 2000000];
                sums.first += static_cast<double>(report->attempts);
                sums.second += static_cast<double>(report->failures);
                if (report->attempts > report->failures) {
                    latencies[report->at.count() / 2000000].push_back(report->mean_latency);
                }
            }
        }
        for (const auto& [server, reports] : load_reports_) {
            std::vector<FaultPeriod> periods;
            for (const LoadReport* report : reports) {
                if (report->attempts < kMinReportAttempts || is_warming_up(server, report->at)) {
                    continue;
                }
                const auto slot = report->at.count() / 2000000;
                const auto& fleet = attempts_and_failures[slot];
                const double others_failure_fraction =
                    (fleet.second - static_cast<double>(report->failures)) /
                    std::max(1.0, fleet.first - static_cast<double>(report->attempts));
                const double failure_fraction =
                    static_cast<double>(report->failures) / static_cast<double>(report->attempts);
                const double latency_ratio =
                    static_cast<double>(report->mean_latency.count()) /
                    static_cast<double>(
                        std::max(1us, median(latencies[slot], median_latency_)).count());
                FaultPeriod period{report->at - report->interval, report->at, {}};
                if (failure_fraction >= kFailingServerFailureFraction &&
                    others_failure_fraction < kHealthyFleetFailureFraction) {
                    period.fault.error_fraction = 1;
                } else if (report->attempts > report->failures &&
                           latency_ratio > kSlowServerLatencyRatio) {
                    period.fault.slowdown_factor = latency_ratio;
                } else {
                    continue;
                }
                // Consecutive reports with the same kind of fault form one period.
                if (!periods.empty() && periods.back().to + report->interval >= period.from &&
                    (periods.back().fault.error_fraction > 0) ==
                        (period.fault.error_fraction > 0)) {
                    periods.back().to = period.to;
                } else {
                    periods.push_back(period);
                }
            }
            for (const auto& period : periods) {
                add_action(period.from, {.kind = scenario::FaultActionKind::SetServerFault,
                                         .target = server,
                                         .server_fault = period.fault});
                add_action(period.to,
                           {.kind = scenario::FaultActionKind::SetServerFault, .target = server});
            }
        }
    }

    struct FaultPeriod {
        Micros from{}, to{};
        testbed::ServerFault fault;
    };

    // Whether the server started so recently that it is slow for that reason.
    bool is_warming_up(const std::string& server, Micros now) const {
        const auto starts = start_times_.find(server);
        return starts != start_times_.end() &&
               std::any_of(starts->second.begin(), starts->second.end(), [&](Micros started) {
                   return started <= now && now < started + config_.settings.slow_start_window + 2s;
               });
    }

    // Proxies that restarted, lost their stream or were cut off from all instances.
    void add_proxy_faults() {
        using enum scenario::FaultActionKind;
        for (const auto& [proxy, changes] : stream_changes_) {
            for (std::size_t k = 0; k < changes.size(); ++k) {
                if (changes[k]->connected) {
                    continue;
                }
                // If the instance stopped, the replay of that closes the stream already.
                if (std::any_of(recordings_.begin(), recordings_.end(),
                                [&](const InstanceRecording& recording) {
                                    return recording.last - changes[k]->at < 50ms &&
                                           recording.last >= changes[k]->at;
                                })) {
                    continue;
                }
                const auto reconnect =
                    std::find_if(changes.begin() + static_cast<std::ptrdiff_t>(k), changes.end(),
                                 [](const auto* s) { return s->connected; });
                const Micros until = reconnect == changes.end() ? length_ : (*reconnect)->at;
                if (reconnect != changes.end() && (*reconnect)->fresh_start) {
                    add_action(changes[k]->at, {.kind = StopProxy, .target = proxy});
                    add_action(until - 50ms, {.kind = StartProxy, .target = proxy});
                } else if (until - changes[k]->at < kMaxBrokenStreamGap) {
                    add_action(changes[k]->at, {.kind = BreakStream, .target = proxy});
                } else {
                    add_action(changes[k]->at,
                               {.kind = IsolateProxy, .target = proxy, .enabled = true});
                    add_action(until - 50ms, {.kind = IsolateProxy, .target = proxy});
                }
            }
        }
    }

    void add_instance_restarts() {
        using enum scenario::FaultActionKind;
        std::map<int, std::vector<const InstanceRecording*>> by_ordinal;
        for (const InstanceRecording& recording : recordings_) {
            by_ordinal[recording.config.settings.ordinal].push_back(&recording);
        }
        for (auto& [ordinal, incarnations] : by_ordinal) {
            std::stable_sort(incarnations.begin(), incarnations.end(),
                             [](const InstanceRecording* a, const InstanceRecording* b) {
                                 return a->last < b->last;
                             });
            const std::string instance = "governor-" + std::to_string(ordinal);
            for (std::size_t k = 0; k + 1 < incarnations.size(); ++k) {
                add_action(incarnations[k]->last, {.kind = StopInstance, .target = instance});
                add_action(start_of(*incarnations[k + 1]),
                           {.kind = StartInstance, .target = instance});
            }
            if (length_ - incarnations.back()->last > 10s) {
                add_action(incarnations.back()->last, {.kind = StopInstance, .target = instance});
            }
        }
    }

    static Micros start_of(const InstanceRecording& recording) {
        return recording.lists.empty() ? recording.last : recording.lists.front().first;
    }

    // One reconstructed invocation.
    struct Arrival {
        Micros at{};
        std::string proxy;
        int operation = 0;
        double random = 0;  // in [0, 1), for the work
    };

    // Spreads the invocations of each demand report at random over the time that it covers.
    std::vector<Arrival> arrivals() const {
        std::vector<Arrival> out;
        std::uint64_t count = 0;
        std::vector<const DemandReport*> reports;
        for (const InstanceRecording& recording : recordings_) {
            for (const DemandReport& report : recording.demand_reports) {
                if (report.operation < static_cast<int>(config_.settings.operations.size())) {
                    reports.push_back(&report);
                }
            }
        }
        std::stable_sort(reports.begin(), reports.end(),
                         [](const auto* a, const auto* b) { return a->at < b->at; });
        std::map<std::pair<std::string, int>, Micros> covered_until;
        for (const DemandReport* report : reports) {
            // Reports of one proxy and operation follow one another, also across a time without an
            // instance: the demand of that time is in the first report after it, although the
            // report's interval only covers the time since the stream was opened.
            auto& until =
                covered_until.try_emplace({report->proxy, report->operation}, Micros::min())
                    .first->second;
            const Micros from = until > report->at - kMaxDemandReportGap
                                    ? std::min(until, report->at)
                                    : report->at - report->interval;
            until = report->at;
            // Each failed attempt was retried if clients may retry the operation.
            const bool may_be_retried =
                config_.settings.operations[static_cast<std::size_t>(report->operation)].effect !=
                Effect::SideEffecting;
            const std::int64_t invocations = std::max<std::int64_t>(
                0, report->attempts - (may_be_retried ? report->failures : 0));
            for (std::int64_t n = 0; n < invocations; ++n) {
                base::CounterRandom random(recordings_.front().header.seed(), ++count);
                const Micros when =
                    report->at -
                    Micros(std::llround(random.part() *
                                        static_cast<double>((report->at - from).count())));
                out.push_back({std::clamp(when, 0us, length_ - 1us), report->proxy,
                               report->operation, random.part()});
            }
        }
        std::stable_sort(out.begin(), out.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        return out;
    }

    // The work of an invocation of each operation. It is proportional to the operation's latency
    // objective and scaled so that the mean over all arrivals takes the fleet's median latency.
    std::vector<Micros> work_by_operation(const std::vector<Arrival>& arrivals) const {
        const auto& operations = config_.settings.operations;
        double objective_sum = 0;
        for (const auto& arrival : arrivals) {
            objective_sum += static_cast<double>(
                operations[static_cast<std::size_t>(arrival.operation)].latency_objective.count());
        }
        std::vector<Micros> out;
        for (const auto& operation : operations) {
            const double ratio = objective_sum > 0
                                     ? static_cast<double>(operation.latency_objective.count()) *
                                           static_cast<double>(arrivals.size()) / objective_sum
                                     : 1;
            out.push_back(std::max(
                1us,
                Micros(std::llround(ratio * static_cast<double>(median_latency_.count()) * 0.95))));
        }
        return out;
    }

    // The script of the scenario for `count` invocations, which sets what no action holds.
    std::string script(const std::vector<Micros>& work, std::size_t count) const {
        std::vector<Micros> ack_delays;
        for (const InstanceRecording& recording : recordings_) {
            ack_delays.insert(ack_delays.end(), recording.ack_delays.begin(),
                              recording.ack_delays.end());
        }
        std::sort(ack_delays.begin(), ack_delays.end());
        const auto quantile = [&](double fraction) {
            return ack_delays.empty() ? 20000us
                                      : ack_delays[static_cast<std::size_t>(
                                            fraction * static_cast<double>(ack_delays.size() - 1))];
        };
        std::ostringstream out;
        out << "length " << length_.count() << " us\nworkers " << servers_.size() << "\nforwarders "
            << proxies_.size() << "\ngovernors " << config_.settings.instance_count << "\nrate "
            << std::max(0.001,
                        static_cast<double>(count) / (static_cast<double>(length_.count()) / 1e6))
            << "\n";
        for (std::size_t k = 0; k < work.size(); ++k) {
            out << "operation " << config_.settings.operations[k].name << " work "
                << work[k].count() << " us\n";
        }
        out << "way orders " << quantile(0.1).count() << ".." << quantile(0.9).count() << " us\n";
        return out.str();
    }

    void write_recording(const std::string& path) {
        for (const InstanceRecording& recording : recordings_) {
            length_ = std::max(length_, recording.last);
        }
        const auto invocations = arrivals();
        if (invocations.empty()) {
            throw std::runtime_error(
                "expected at least one demand report in these recordings, got none");
        }
        add_initial_state();
        add_list_changes();
        add_server_faults();
        add_proxy_faults();
        add_instance_restarts();
        std::stable_sort(actions_.begin(), actions_.end(), [](const auto& a, const auto& b) {
            return std::pair(!a.initial, a.at) < std::pair(!b.initial, b.at);
        });
        const auto work = work_by_operation(invocations);
        pb::Header header = recordings_.front().header;
        std::string instances;
        std::set<std::string> ids;
        for (const InstanceRecording& recording : recordings_) {
            if (ids.insert(recording.config.id).second) {
                instances += (instances.empty() ? "" : ", ") + recording.config.id;
            }
        }
        header.set_made_by("merge of " + instances);
        header.set_begin_us(0);
        header.set_length_us(length_.count());
        header.set_script(script(work, invocations.size()));
        for (const auto& clock : merged_.clocks) {
            merged_.notes.push_back(clock_note(clock));
        }
        merged_.notes.push_back(
            "arrivals are spread over the intervals of the demand reports; work follows from the "
            "latency objectives and a median latency of " +
            std::to_string(median_latency_.count() / 1000) +
            " ms without faults; keys are unknown");
        for (const auto& note : merged_.notes) {
            header.add_notes(note);
        }
        recording::Writer writer(recording::open_file_sink(path), header,
                                 {.when_full = recording::WhenFull::Wait});
        auto action = actions_.begin();
        std::int64_t id = 0;
        const auto write_actions_until = [&](Micros until) {
            for (; action != actions_.end() && action->at <= until; ++action) {
                write_action(writer, action->at, *action);
            }
        };
        for (const auto& arrival : invocations) {
            write_actions_until(arrival.at);
            auto& start = *writer.add(arrival.at).mutable_invocation_start();
            ++id;
            start.set_id_delta(id - writer.last_invocation_id());
            writer.last_invocation_id() = id;
            start.set_proxy(writer.name(arrival.proxy));
            start.set_operation(static_cast<std::uint32_t>(arrival.operation));
            start.set_work_us(static_cast<std::uint64_t>(std::max(
                1.0,
                static_cast<double>(work[static_cast<std::size_t>(arrival.operation)].count()) *
                    work_factor(arrival.random))));
        }
        write_actions_until(Micros::max());
        writer.finish();
        if (const auto stats = writer.stats(); !stats.error.empty()) {
            throw std::runtime_error(stats.error);
        }
        merged_.invocations = invocations.size();
        merged_.actions = actions_.size();
    }

    // A factor of mean 1 from a uniform random number: mostly small with a tail, like the work of
    // real invocations.
    static double work_factor(double random) { return 0.4 + 1.8 * random * random; }

    static std::string clock_note(const ClockAlignment& clock) {
        std::ostringstream out;
        out << clock.instance << ": clock moved by " << clock.offset.count() << " us, ";
        if (clock.matches > 0) {
            out << "from " << clock.matches
                << " lists and starts that both received, which differ by " << clock.spread.count()
                << " us at most";
        } else {
            out << "from the wall clock alone";
        }
        return out.str();
    }

    std::vector<InstanceRecording>& recordings_;
    MergeResult& merged_;
    const config::InstanceConfig& config_;
    Micros length_{}, median_latency_{};
    std::map<std::string, ServerEstimate> servers_;
    std::map<std::string, std::pair<int, double>> proxies_;  // zone, announced rate
    std::vector<std::pair<Micros, const std::vector<ListedEndpoint>*>> lists_;
    std::map<std::string, std::set<Micros>> start_times_;  // in the selected lists
    std::map<std::string, std::vector<const LoadReport*>> load_reports_;
    std::map<std::string, std::vector<const StreamChange*>> stream_changes_;
    std::vector<scenario::TimedFaultAction> actions_;
    // State of the fleet after the actions so far: servers that run, that were ever added, and that
    // are listed.
    std::set<std::string> running_, added_;
    std::map<std::string, ListedEndpoint> listed_;
};

}  // namespace

ClockAlignment align_clocks(const std::vector<ReceivedList>& base,
                            const std::vector<ReceivedList>& other) {
    // The same list may appear at several times of a day, so a single match proves nothing. The
    // offset on which most matches agree is taken.
    std::vector<Micros> offsets;
    for (const ReceivedList& theirs : other) {
        for (const ReceivedList& ours : base) {
            if (ours.content == theirs.content) {
                offsets.push_back(ours.at - theirs.at);
            }
        }
    }
    // The start time of a server is the same moment for all instances, whenever they learn of it.
    std::set<std::pair<std::string, Micros>> base_starts;
    std::set<std::pair<std::string, Micros>> other_starts;
    for (const ReceivedList& list : base) {
        base_starts.insert(list.starts.begin(), list.starts.end());
    }
    for (const ReceivedList& list : other) {
        other_starts.insert(list.starts.begin(), list.starts.end());
    }
    for (const auto& [server, started] : other_starts) {
        for (auto it = base_starts.lower_bound({server, Micros::min()});
             it != base_starts.end() && it->first == server; ++it) {
            offsets.push_back(it->second - started);
        }
    }
    std::sort(offsets.begin(), offsets.end());
    std::size_t best_begin = 0;
    std::size_t best_count = 0;
    for (std::size_t k = 0, end = 0; k < offsets.size(); ++k) {
        while (end < offsets.size() && offsets[end] - offsets[k] <= kMaxListTimeDifference) {
            ++end;
        }
        if (end - k > best_count) {
            best_begin = k;
            best_count = end - k;
        }
    }
    ClockAlignment out;
    out.matches = static_cast<int>(best_count);
    if (best_count == 0) {
        return out;
    }
    const std::vector<Micros> agreed(
        offsets.begin() + static_cast<std::ptrdiff_t>(best_begin),
        offsets.begin() + static_cast<std::ptrdiff_t>(best_begin + best_count));
    out.offset = median(agreed, 0us);
    out.spread = agreed.back() - agreed.front();
    return out;
}

MergeResult merge_recordings(const std::vector<std::string>& paths, const std::string& out) {
    MergeResult merged;
    std::vector<InstanceRecording> files;
    files.reserve(paths.size());
    for (const auto& path : paths) {
        files.push_back(read_recording(path, merged.damage));
    }
    const auto& first = files.front();
    for (std::size_t k = 1; k < files.size(); ++k) {
        if (files[k].config.zones != first.config.zones ||
            files[k].config.settings.operations.size() != first.config.settings.operations.size()) {
            throw std::runtime_error(paths[k] + ": expected the same zones and operations as in " +
                                     paths.front());
        }
    }
    const auto base = first.received_lists();
    const auto base_start = wall_clock_start(first.header);
    for (std::size_t k = 1; k < files.size(); ++k) {
        ClockAlignment clock = align_clocks(base, files[k].received_lists());
        const bool same_instance = files[k].config.id == first.config.id && base_start &&
                                   wall_clock_start(files[k].header);
        if (same_instance) {
            clock = {};
        }
        if (clock.matches == 0) {
            const auto start = wall_clock_start(files[k].header);
            if (!start || !base_start) {
                throw std::runtime_error(paths[k] + ": no common endpoint list with " +
                                         paths.front() + " and no wall clock time to align by");
            }
            clock.offset = *start - *base_start;
        }
        clock.instance = files[k].config.id;
        files[k].shift(clock.offset);
        merged.clocks.push_back(clock);
    }
    // The scenario begins with the first endpoint list.
    Micros begin = Micros::max();
    for (const InstanceRecording& recording : files) {
        if (!recording.lists.empty()) {
            begin = std::min(begin, recording.lists.front().first);
        }
    }
    if (begin != Micros::max()) {
        for (InstanceRecording& recording : files) {
            recording.shift(-begin);
        }
    }
    Reconstruction(files, merged).write(out);
    return merged;
}

}  // namespace badgergrade::replay
