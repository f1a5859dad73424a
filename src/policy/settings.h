// Settings of one deployment as the operator configures them. Decisions depend on these settings
// and on events, never on the name of a deployment, zone or server.
//
// Each external format is mapped to this struct in one place: the simulator's and the platform's in
// adapter/codec.cpp, the INI file's in config/governor_config.cpp.
#pragma once

#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade {

/// The kind of an operation: whether it may run more than once.
enum class Effect {
    Idempotent,     ///< safe to repeat
    Fingerprinted,  ///< carries an idempotency key; safe to repeat within
                    ///< Operation::fingerprint_ttl
    SideEffecting,  ///< must never run twice
};

/// Which proxies may receive an operation.
enum class Scope { All, Zone, Cell };

/// How a proxy limits the invocations that it admits.
enum class AdmissionMode {
    None,      ///< not supported
    Fraction,  ///< a fraction of the invocations that it receives, 0 to 1
    Rate,      ///< a rate in invocations per second
};

/// How a proxy picks a server from its table.
enum class LoadBalancingPolicy {
    WeightedRandom,
    RoundRobin,
    LeastRequest,  ///< two servers drawn by weight; the one with fewer open invocations is used
};

/// What the weights in the endpoint list mean.
enum class ListedWeights {
    None,         ///< the list has no weights
    Nominal,      ///< configured capacity
    Approximate,  ///< approximate capacity
    Live,         ///< change with the current load; never used as capacity
};

/// What a proxy may retry. The numbers are those of the platform's protocol.
///
/// The rule: where an admission limit was published for an operation of a table, its users may
/// retry by OnlyUnprocessed (command::SetAdmission, from publisher.cpp); everywhere else proxies
/// use Settings::default_retry_mode. The planner publishes no other mode. With an admission mode
/// other than None limits are published for all operations, even while nothing is shed; without
/// one, and in sharded deployments, none are.
enum class RetryMode {
    Never = 0,
    OnlyUnprocessed = 1,  ///< once, and only if the first attempt provably never ran
    Once = 2,
    Twice = 3,
};

struct Operation {
    std::string name;
    /// An invocation that is answered within this time counts as served.
    Micros latency_objective{};
    /// After this time the client gives up.
    Micros integration_timeout{};
    Effect effect = Effect::SideEffecting;
    Scope scope = Scope::All;
    /// How long an idempotency key prevents a second run.
    Micros fingerprint_ttl{};
    /// The value of one served invocation, relative to the other operations.
    double priority_weight = 1;
    /// Only servers of the proxy's own zone may serve it.
    bool local_only = false;
};

/// The settings of one deployment for one control plane instance. A duration or limit of zero means
/// "not limited" unless its field says otherwise.
struct Settings {
    /// The index of this instance among all control plane instances, starting at 0.
    int ordinal = 0;
    int instance_count = 1;
    /// The zone that this instance runs in.
    ZoneId zone;
    int zone_count = 1;
    /// At most 64.
    std::vector<Operation> operations;
    ListedWeights listed_weights = ListedWeights::None;
    /// The endpoint list is delivered only on command::WatchEndpoints or command::FetchEndpoints.
    bool endpoints_on_request = false;
    bool health_checks_allowed = false;
    bool gossip_allowed = false;
    /// The names of the load metrics in reports, by column. "cpu" is the CPU utilization, 0 to 1.
    std::vector<std::string> load_metric_names;
    AdmissionMode admission_mode = AdmissionMode::None;
    LoadBalancingPolicy load_balancing_policy = LoadBalancingPolicy::WeightedRandom;
    /// What proxies may retry if no admission setting applies.
    RetryMode default_retry_mode = RetryMode::OnlyUnprocessed;
    /// Proxies in the whole deployment; one instance may be connected to only some of them.
    int proxy_count = 0;
    /// Shards (key ranges) of a sharded deployment; 0 if servers are interchangeable.
    int shard_count = 0;
    /// A shard must never have two owners at a time.
    bool exclusive_shards = false;
    /// How long a write to a shard may take from its acceptance by a proxy to its conclusion.
    Micros shard_handover_delay{};
    /// How long a proxy goes on writing to a shard after its connection to the instance that is
    /// responsible was lost, or after another instance became responsible. After that it writes
    /// again once it has read the shard's present owner.
    Micros write_lease{};
    /// Lines per second that the configuration channel carries, all proxies together.
    double channel_lines_per_second = 0;
    /// The cost of one message's header on the channel, in lines.
    double message_header_lines = 0;
    /// Lines that may be queued in the channel; more violate the deployment's queue rule.
    double max_queued_lines = 0;
    /// Messages that one proxy may be sent within message_window.
    int max_messages = 0;
    Micros message_window{};
    Micros mean_network_delay{};
    Micros max_network_delay{};
    Micros report_interval{};
    /// Reports per second that this instance processes; further ones are queued.
    double max_reports_per_second = 0;
    /// Consecutive failures after which a proxy ejects a server on its own; 0: never.
    int proxy_ejection_failures = 0;
    /// Timeout of one attempt, as a multiple of the operation's latency objective.
    double attempt_timeout_factor = 1;
    /// The longest time that a connected proxy may be without a usable server.
    Micros max_time_without_server{};
    /// The capacity of a server that has just started, as a fraction (0 to 1) of its full capacity.
    double initial_capacity_fraction = 1;
    /// How long after its start a server is warming up (slow start).
    Micros slow_start_window{};
    /// A draining server must be removed from the tables of all proxies within this time.
    Micros drain_grace{};
    /// A server that disappears from the endpoint list without having been listed as draining stays
    /// in use while it answers. Only a listed drain obliges proxies to stop sending.
    bool keep_unlisted_servers = false;
    /// Idle connections from proxies to servers are closed after this time.
    Micros connection_idle_timeout{};
    /// A warming server that receives more than this multiple of its current capacity for
    /// overload_collapse_time collapses; 0: never.
    double overload_collapse_factor = 0;
    Micros overload_collapse_time{};
};

}  // namespace badgergrade
