// What one control plane instance knows of its fleet: the state that several rules share.
//
// The rules read and write these structs; none of them decides anything itself. Everything is kept
// in ordered maps, so that iteration order, and with it every decision, follows the ids alone.
#pragma once

#include <deque>
#include <map>

#include "policy/event.h"
#include "policy/ids.h"
#include "policy/sliding_window.h"

namespace badgergrade::policy {

/// The design's interval between recomputations of the demand shares.
constexpr Micros kRecomputeInterval{5'000'000};
/// How long a table change waits for acknowledgements of the one before it (the design's figure).
constexpr Micros kAckTimeout{2'000'000};
/// A change of mode or of shares must hold for this many recomputations, against flapping (the
/// design's figure).
constexpr int kHoldDownRecomputations = 3;
/// Decisions are taken at least this often.
constexpr Micros kDecisionInterval{250'000};
/// A server on probation, and one that has just started, carries this part of its weight (the
/// design's figure).
constexpr double kReducedWeightFraction = 0.25;
/// Demand is averaged over eight buckets, about three reports. A longer average follows a burst too
/// late, a shorter one follows single reports.
constexpr Micros kDemandBucketWidth{800'000};
constexpr int kDemandBuckets = 8;
/// Messages of Settings::message_window are counted in 14 buckets, kept in 16: the count then
/// covers more than the window, and never too few messages.
constexpr int kMessageBucketsInWindow = 14;
constexpr int kMessageBuckets = 16;
/// Table numbers are reserved for this many subsets in each zone.
constexpr int kMaxSubsets = 64;

struct Server {
    ZoneId zone{};
    ServerState state = ServerState::Gone;
    double weight = 1;
    /// 0: long ago.
    Micros started_at{};
    /// When this instance heard of that start.
    Micros start_reported_at{};
    /// Missing from the endpoint list without a stated drain, and still in use.
    bool unlisted = false;
    /// A uniform draw in [0, 1) that chooses the server's subset.
    double subset_hash = 0;
};

/// Lines sent to one proxy under one version and not acknowledged yet.
struct UnacknowledgedLines {
    int version;
    double lines;
};

struct Proxy {
    bool connected = false;
    ZoneId zone;
    /// Invocations per second that it stated when it connected.
    double announced_rate = 0;
    Micros process_started_at{};
    Micros disconnected_at{};
    std::map<OperationId, SlidingWindow<DemandSample, kDemandBuckets>> demand;
    /// The table that it was told to use, by operations.
    std::map<OperationMask, TableId> assigned_tables;
    /// Its subset of the zone table; -1: none.
    int subset = -1;
    /// Configuration messages sent to it within Settings::message_window.
    SlidingWindow<double, kMessageBuckets> messages;
    /// In the order sent.
    std::deque<UnacknowledgedLines> unacknowledged;
};

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

/// The operations of a deployment by what may serve them.
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

    // The numbers of the tables, in this order: zone tables, the full table, the zones' tables for
    // local-only operations, the subsets of both, interim tables.
    static TableId zone_table(ZoneId zone) { return {zone.value}; }

    TableId full_table() const { return {zone_count}; }

    TableId local_only_table(ZoneId zone) const { return {zone_count + 1 + zone.value}; }

    /// The table of the highest number that is not a subset.
    TableId last_base_table() const { return {2 * zone_count}; }

    TableId subset_table(ZoneId zone, int subset, bool local_only) const {
        const int index = zone.value * kMaxSubsets + subset;
        return {2 * zone_count + 1 + index * 2 + static_cast<int>(local_only)};
    }

    /// Of one table; see InterimTables.
    static constexpr int kMaxInterimTables = 16;

    /// After all tables that a proxy keeps for long.
    TableId interim_table(TableId whole, int part) const {
        const int first = 2 * zone_count + 1 + zone_count * kMaxSubsets * 2;
        return {first + whole.value * kMaxInterimTables + part};
    }
};

}  // namespace badgergrade::policy
