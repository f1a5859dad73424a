// What an operator states about one deployment. The decisions read these settings and what they
// observe, never the name of a deployment, zone or server.
//
// Each outside format is mapped to this struct once: the simulator's and the platform's in
// adapter/codec.cpp, the INI file's in config/governor_config.cpp.
#pragma once

#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade {

/// Whether an operation may run more than once.
enum class Effect {
    Idempotent,     ///< safe to repeat
    Fingerprinted,  ///< carries an idempotency key; safe to repeat within
                    ///< Operation::fingerprint_ttl
    SideEffecting,  ///< must never run twice
};

/// Which proxies may be asked for an operation.
enum class Scope { All, Zone, Cell };

/// How a proxy limits what it admits.
enum class AdmissionMode {
    None,      ///< it can't
    Fraction,  ///< a fraction of what it is asked for, 0 to 1
    Rate,      ///< a rate in invocations per second
};

/// How a proxy picks a server from its table.
enum class LoadBalancingPolicy {
    WeightedRandom,
    RoundRobin,
    LeastRequest,  ///< two drawn by weight; the one with fewer open invocations is taken
};

/// What the weights in the endpoint list mean.
enum class ListedWeights {
    None,         ///< there are none
    Nominal,      ///< capacity as configured
    Approximate,  ///< capacity, not exact
    Live,         ///< follow the load at this moment; never used as capacity
};

/// What a proxy may retry. The numbers are those of the platform's protocol.
enum class RetryMode {
    Never = 0,
    OnlyUnprocessed = 1,  ///< once, and only if the first attempt provably never ran
    Once = 2,
    Twice = 3,
};

struct Operation {
    std::string name;
    /// An invocation answered within this time counts as served.
    Micros latency_objective{};
    /// After this time the client gives up.
    Micros integration_timeout{};
    Effect effect = Effect::SideEffecting;
    Scope scope = Scope::All;
    /// How long an idempotency key protects against a second run.
    Micros fingerprint_ttl{};
    /// What one served invocation is worth, relative to the other operations.
    double priority_weight = 1;
    /// Only servers of the proxy's own zone may serve it.
    bool local_only = false;
};

/// The settings of one deployment, as one control plane instance is told them. Durations of zero
/// and limits of zero mean "not limited" unless a field says otherwise.
struct Settings {
    /// This instance among all control plane instances, from 0.
    int ordinal = 0;
    int instance_count = 1;
    /// The zone that this instance runs in.
    ZoneId zone;
    int zone_count = 1;
    /// At most 64.
    std::vector<Operation> operations;
    ListedWeights listed_weights = ListedWeights::None;
    /// The endpoint list comes only after command::WatchEndpoints or command::FetchEndpoints.
    bool endpoints_on_request = false;
    bool health_checks_allowed = false;
    bool gossip_allowed = false;
    /// The columns of the load metrics in reports, in order. "cpu" is the utilization, 0 to 1.
    std::vector<std::string> load_metric_names;
    AdmissionMode admission_mode = AdmissionMode::None;
    LoadBalancingPolicy load_balancing_policy = LoadBalancingPolicy::WeightedRandom;
    /// What proxies retry where no admission setting says otherwise.
    RetryMode default_retry_mode = RetryMode::OnlyUnprocessed;
    /// Proxies in the whole deployment; a single instance may be connected to a part of them.
    int proxy_count = 0;
    /// Key ranges of a sharded deployment; 0 where servers are interchangeable.
    int shard_count = 0;
    /// A shard has one owner at a time.
    bool exclusive_shards = false;
    /// How long writes of a shard's former owner may still take effect.
    Micros shard_handover_delay{};
    /// Lines per second that the configuration channel carries, all proxies together.
    double channel_lines_per_second = 0;
    /// Lines that the head of one message costs on the channel.
    double message_header_lines = 0;
    /// Lines that may wait in the channel; beyond it the deployment's queue rule is broken.
    double max_queued_lines = 0;
    /// Messages to one proxy within message_window.
    int max_messages = 0;
    Micros message_window{};
    Micros mean_network_delay{};
    Micros max_network_delay{};
    Micros report_interval{};
    /// Reports per second that this instance takes in; later ones wait.
    double max_reports_per_second = 0;
    /// A proxy ejects a server by itself after so many consecutive failures; 0: never.
    int proxy_ejection_failures = 0;
    /// Time-out of one attempt, as a multiple of the latency objective.
    double attempt_timeout_factor = 1;
    /// A connected proxy must not be without a usable server for longer.
    Micros max_time_without_server{};
    /// The capacity of a server that has just started, as a fraction of its full capacity.
    double initial_capacity_fraction = 1;
    /// How long after its start a server is warming up.
    Micros slow_start_window{};
    /// A draining server must be out of all tables within this time.
    Micros drain_grace{};
    /// Only a stated drain obliges proxies to stop sending; a server that merely vanished from the
    /// endpoint list may stay in use.
    bool keep_unlisted_servers = false;
    /// Idle connections from proxies to servers are closed after this time.
    Micros connection_idle_timeout{};
    /// A warming server that gets more than this multiple of its capacity for
    /// overload_collapse_time collapses; 0: never.
    double overload_collapse_factor = 0;
    Micros overload_collapse_time{};
};

}  // namespace badgergrade
