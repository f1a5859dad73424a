// Updates of the endpoint list; endpoint_list.h describes the rule.
#include "policy/endpoint_list.h"

namespace badgergrade::policy {
namespace {

/// The generator's numbers are whole numbers of 24 bits.
constexpr double kSubsetHashUnit = 0x1.0p-24;

}  // namespace

// Live weights change with the current load; used as capacity they would make the tables follow it.
EndpointList::EndpointList(const Settings& settings, std::uint64_t seed)
    : random_(static_cast<std::ranlux24_base::result_type>(seed ^ seed >> 32)),
      equal_weights_(settings.listed_weights == ListedWeights::None ||
                     settings.listed_weights == ListedWeights::Live),
      keep_unlisted_servers_(settings.keep_unlisted_servers && settings.shard_count == 0) {}

void EndpointList::apply(Micros now, const event::EndpointListUpdate& update, FleetState& fleet,
                         OutlierDetector& outliers) {
    if (update.kind != UpdateKind::Delta) {
        for (auto& [id, server] : fleet.servers) {
            mark_missing(now, server);
        }
    }
    for (const Endpoint& endpoint : update.endpoints) {
        const auto [it, is_new] = fleet.servers.try_emplace(endpoint.server);
        Server& server = it->second;
        if (is_new) {
            server.unavailable_since = now;
            server.subset_hash = static_cast<double>(random_()) * kSubsetHashUnit;
        }
        const bool same_start = server.started_at == endpoint.started_at;
        if (endpoint.state == ServerState::Ready && !same_start) {
            outliers.reset(endpoint.server);
        }
        if (endpoint.state == ServerState::Gone) {
            mark_missing(now, server);
            continue;
        }
        server.zone = endpoint.zone;
        set_state(now, endpoint.state, server);
        server.weight = equal_weights_ || !(endpoint.weight > 0) ? 1.0 : endpoint.weight;
        server.started_at = endpoint.started_at;
        server.start_reported_at = same_start ? server.start_reported_at : now;
        server.unlisted = false;
    }
}

void EndpointList::mark_missing(Micros now, Server& server) const {
    server.unlisted = keep_unlisted_servers_ && server.state == ServerState::Ready;
    if (!server.unlisted) {
        set_state(now, ServerState::Gone, server);
    }
}

void EndpointList::set_state(Micros now, ServerState state, Server& server) {
    if (server.state == ServerState::Ready && state != ServerState::Ready) {
        server.unavailable_since = now;
    }
    server.state = state;
}

void EndpointList::remove_unresponsive(Micros now, FleetState& fleet,
                                       const OutlierDetector& outliers) const {
    for (auto& [id, server] : fleet.servers) {
        if (!server.unlisted) {
            continue;
        }
        const AttemptStats kept = outliers.server_stats(now, id, kReportBuckets);
        const AttemptStats newest = outliers.server_stats(now, id, kDecisionBuckets);
        const bool answers = kept.attempts > kept.failures;
        if (answers && newest.failed_fraction() < kFailingFraction) {
            continue;
        }
        server.unlisted = false;
        set_state(now, ServerState::Gone, server);
    }
}

}  // namespace badgergrade::policy
