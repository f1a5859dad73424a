// A release and a takeover for tests of the planner on a virtual clock: servers drain in steps, and
// proxies of other instances connect, while one channel carries what each of them must be sent.
//
// play_takeover() plays the planner against a simulated channel. schedule_takeover() calculates
// what the same channel could carry at best, without the planner, so that a late removal is told
// apart from one that no planner could have sent in time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet_builder.h"
#include "paced_queue.h"
#include "policy/settings.h"

namespace badgergrade::policy {

struct TakeoverProxy {
    ZoneId zone;
    Micros connects_at;
};

struct TakeoverServer {
    ServerId id;
    ZoneId zone;
    /// When it is listed as draining; Micros::max(): never.
    Micros drains_at;
    /// Listed as gone instead.
    bool is_listed_gone = false;
    /// Listed from the start; otherwise from this moment on.
    Micros starts_at{};
};

struct Takeover {
    Settings settings;
    /// What the channel really carries; `settings` have what it is said to carry.
    ChannelPace pace;
    std::vector<TakeoverServer> servers;
    /// Those that connect at kStart have the tables of this instance when the first server drains;
    /// the others come with the tables of another instance, of all servers that were listed at the
    /// start.
    std::vector<TakeoverProxy> proxies;
    Micros ends_at{};
};

/// Draws a deployment and what happens to it.
Takeover draw_takeover(std::uint32_t seed);

/// The settings and figures of a takeover, in one line.
std::string describe(const Takeover& takeover);

struct TakeoverResult {
    /// Pairs of a proxy and a drained server that it still used past the drain grace.
    int late_removals = 0;
    /// The first of them.
    std::string first_late_removal;
    /// The time past the grace of the latest one.
    Micros max_lateness{};
    /// Pairs of a proxy and an operation without any server for too long.
    int without_server = 0;
    double max_queued_lines = 0;
    std::size_t max_messages = 0;
    double total_lines = 0;
    int total_messages = 0;
    /// The fewest servers that a proxy may use for an operation, at the end.
    std::size_t min_final_width = 0;
    /// The highest load of one server at any moment from the first drain on, in multiples of what
    /// it would be if all proxies used all servers.
    double max_load = 0;
};

/// Plays the planner against the channel.
TakeoverResult play_takeover(const Takeover& takeover);

struct TakeoverSchedule {
    int late_messages = 0;
    /// From the arrival of a message to its due time, for the message with the least of it;
    /// negative if it is late.
    Micros least_slack{};
};

/// The messages that the channel could carry at best: earliest deadline first, each as cheap as
/// possible.
TakeoverSchedule schedule_takeover(const Takeover& takeover);

}  // namespace badgergrade::policy
