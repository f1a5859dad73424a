// The fleet as one control plane instance knows it: servers, proxies, tables and their numbers, and
// the constants that several rules share.
//
// The rules read and write these structs; the structs decide nothing. All containers are ordered
// maps, so that the iteration order, and with it every decision, depends on the ids alone.
//
// Entries of servers and proxies are never removed (see planner.h on memory).
#pragma once

#include <deque>
#include <map>

#include "policy/event.h"
#include "policy/ids.h"
#include "policy/sliding_window.h"

namespace badgergrade::policy {

/// Interval between recomputations of the demand shares (the design's figure).
constexpr Micros kRecomputeInterval{5'000'000};
/// How long a table change waits for the acknowledgements of the previous change (the design's
/// figure).
constexpr Micros kAckTimeout{2'000'000};
/// Hold-down: a change of mode or of shares must persist for this many recomputations, to prevent
/// flapping (the design's figure).
constexpr int kHoldDownRecomputations = 3;
/// The longest time between two decisions.
constexpr Micros kDecisionInterval{250'000};
/// The fraction of its weight that a server on probation, or one that has just started, is given
/// (the design's figure).
constexpr double kReducedWeightFraction = 0.25;
/// Demand is averaged over eight buckets (6.4 s, about three reports). A longer average reacts too
/// late to a burst; a shorter one follows single reports.
constexpr Micros kDemandBucketWidth{800'000};
constexpr int kDemandBuckets = 8;
/// Settings::message_window is divided into 14 buckets, and 16 are summed: the sum covers more than
/// the window, so that messages are never undercounted.
constexpr int kMessageBucketsInWindow = 14;
constexpr int kMessageBuckets = 16;
/// The most subsets of one zone; table numbers are reserved for them.
constexpr int kMaxSubsets = 64;

struct Server {
    ZoneId zone{};
    ServerState state = ServerState::Gone;
    double weight = 1;
    /// 0: unknown or long ago.
    Micros started_at{};
    /// When this instance was first notified of that start.
    Micros start_reported_at{};
    /// When this instance was told that it is draining or gone; meaningless while it is ready.
    Micros unavailable_since{};
    /// Missing from the endpoint list without having been listed as draining, and still in use.
    bool unlisted = false;
    /// A uniform random number in [0, 1) that determines the server's subset.
    double subset_hash = 0;
};

/// Lines that were sent to one proxy under one version and are not acknowledged yet.
struct UnacknowledgedLines {
    int version;
    double lines;
    /// 0 where the lines joined a message that has an entry already.
    int messages;
};

struct Proxy {
    bool connected = false;
    ZoneId zone;
    /// Invocations per second that it announced when it connected.
    double announced_rate = 0;
    Micros connected_at{};
    /// When it last connected with a newly started process.
    Micros process_started_at{};
    Micros disconnected_at{};
    /// The invocations that it reported, by operation.
    std::map<OperationId, SlidingWindow<DemandSample, kDemandBuckets>> demand;
    /// The table that it is assigned, by operations.
    std::map<OperationMask, TableId> assigned_tables;
    /// Its subset of the zone's tables; -1: none.
    int subset = -1;
    /// Configuration messages sent to it within Settings::message_window.
    SlidingWindow<double, kMessageBuckets> messages;
    /// Oldest first.
    std::deque<UnacknowledgedLines> unacknowledged;
};

/// The weights and admission limits of one table: as planned (desired), and as sent (published).
struct Table {
    std::map<ServerId, double> desired_weights;
    std::map<ServerId, double> published_weights;
    Micros published_at{};
    /// The version under which it was last published.
    int version = 0;
    /// Admission limits: fractions or rates per second, by Settings::admission_mode.
    std::map<OperationId, double> desired_limits;
    std::map<OperationId, double> published_limits;
};

/// The operations of a deployment, by which servers may serve them.
struct OperationSets {
    OperationMask all = 0;
    /// Only servers of the proxy's own zone.
    OperationMask local_only = 0;
    /// Servers of any zone.
    OperationMask any_zone = 0;
};

struct FleetState {
    int zone_count = 0;
    OperationSets operations;
    std::map<ServerId, Server> servers;
    std::map<ProxyId, Proxy> proxies;
    std::map<TableId, Table> tables;

    bool has_zone(ZoneId zone) const { return zone.value >= 0 && zone.value < zone_count; }

    bool is_ready(ServerId id) const {
        const auto found = servers.find(id);
        return found != servers.end() && found->second.state == ServerState::Ready;
    }

    /// The listed weight of all ready servers.
    double ready_weight() const {
        double total = 0;
        for (const auto& [id, server] : servers) {
            total += server.state == ServerState::Ready ? server.weight : 0;
        }
        return total;
    }

    // Table numbers, in this order: base tables (zone tables, the full table with the servers of
    // all zones, the zones' tables for local-only operations), the subsets of zone tables and
    // local-only tables, interim tables.
    static TableId zone_table(ZoneId zone) { return {zone.value}; }

    TableId full_table() const { return {zone_count}; }

    TableId local_only_table(ZoneId zone) const { return {zone_count + 1 + zone.value}; }

    /// The base table with the highest number.
    TableId last_base_table() const { return {2 * zone_count}; }

    TableId subset_table(ZoneId zone, int subset, bool local_only) const {
        const int index = zone.value * kMaxSubsets + subset;
        return {2 * zone_count + 1 + index * 2 + static_cast<int>(local_only)};
    }

    /// The most interim tables of one base table; see interim_tables.h.
    static constexpr int kMaxInterimTables = 128;

    /// Interim tables have the highest numbers: proxies use them only for a short time.
    TableId interim_table(TableId base_table, int part) const {
        return {first_interim_table() + base_table.value * kMaxInterimTables + part};
    }

    bool is_interim_table(TableId id) const { return id.value >= first_interim_table(); }

    /// The base table in whose place an interim table is used.
    TableId complete_table(TableId interim_table) const {
        return {(interim_table.value - first_interim_table()) / kMaxInterimTables};
    }

private:
    int first_interim_table() const { return 2 * zone_count + 1 + zone_count * kMaxSubsets * 2; }
};

}  // namespace badgergrade::policy
