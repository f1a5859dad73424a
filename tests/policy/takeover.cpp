// Drawing takeovers, and playing the planner against the simulated channel; takeover.h describes
// both.
#include "takeover.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <sstream>

#include "simulated_channel.h"

namespace badgergrade::policy {
namespace {

constexpr Micros kStep{20'000};
/// The tolerance of the rules with a time limit, as on the platform's protocol page.
constexpr Micros kTolerance{300'000};
/// When the first server may drain: the proxies of the start have their tables then.
constexpr Micros kCalm = 30 * kSecond;

Micros seconds(double value) {
    return Micros{std::llround(value * 1e6)};
}

class Draw {
public:
    explicit Draw(std::uint32_t seed) : random_(seed) {}

    double between(double low, double high) {
        return low + (high - low) * static_cast<double>(random_()) / 0x1.0p32;
    }

    int between(int low, int high) {
        return low + static_cast<int>(between(0.0, static_cast<double>(high - low + 1)));
    }

    /// Small values are as likely as large ones, by their order of magnitude.
    double scaled(double low, double high) { return low * std::pow(high / low, between(0.0, 1.0)); }

    bool chance(double probability) { return between(0.0, 1.0) < probability; }

private:
    std::mt19937 random_;
};

Settings draw_settings(Draw& draw) {
    Settings settings = basic_settings(draw.chance(0.4) ? 1 : draw.between(2, 4));
    if (draw.chance(0.3)) {
        settings.operations.push_back(settings.operations.front());
        settings.operations.back().local_only = true;
    }
    settings.channel_lines_per_second = draw.scaled(1500, 15000);
    settings.message_header_lines = draw.between(1, 8);
    settings.drain_grace = seconds(draw.scaled(1.5, 8));
    settings.mean_network_delay = seconds(draw.scaled(0.02, 0.4));
    settings.max_network_delay = settings.mean_network_delay * 3;
    settings.max_queued_lines = settings.channel_lines_per_second * draw.scaled(1, 4);
    settings.max_time_without_server = seconds(draw.between(4.0, 6.0));
    if (draw.chance(0.6)) {
        settings.max_messages = draw.between(12, 30);
        settings.message_window = 10 * kSecond;
    }
    return settings;
}

void draw_servers(Draw& draw, Takeover& takeover, Micros takeover_at) {
    const int zones = takeover.settings.zone_count;
    const int servers = draw.between(20 * zones, std::min(300, 120 * zones));
    const int drained = static_cast<int>(servers * draw.between(0.1, 0.6));
    const int steps = draw.chance(0.2) ? 1 : draw.between(1, std::max(1, std::min(drained, 30)));
    const double first_drain = draw.between(-6.0, 4.0);
    const double length = draw.between(0.0, 8.0);
    const bool gone = draw.chance(0.2);
    const bool by_zone = draw.chance(0.2);
    for (int index = 0; index < servers; ++index) {
        const int zone = by_zone ? index * zones / servers : index % zones;
        Micros drains_at = Micros::max();
        if (index < drained) {
            const int step = index * steps / drained;
            drains_at = std::max(kStart + kCalm,
                                 takeover_at + seconds(first_drain + length * step / steps));
        }
        takeover.servers.push_back(
            {{static_cast<unsigned>(index)}, {zone}, drains_at, gone, kStart});
    }
}

void draw_proxies(Draw& draw, Takeover& takeover, Micros takeover_at) {
    const int proxies = static_cast<int>(draw.scaled(60, 1500));
    const int own = static_cast<int>(proxies * draw.between(0.1, 1.0));
    const double spread = draw.chance(0.3) ? 0 : draw.between(0.5, 10.0);
    for (int index = 0; index < proxies; ++index) {
        const ZoneId zone{index % takeover.settings.zone_count};
        const bool is_own = index < own;
        const double joins_after = proxies > own ? spread * (index - own) / (proxies - own) : 0;
        takeover.proxies.push_back({zone, is_own ? kStart : takeover_at + seconds(joins_after)});
    }
}

class TakeoverPlay {
public:
    explicit TakeoverPlay(const Takeover& takeover)
        : takeover_(takeover),
          planner_(takeover.settings, 1, kStart),
          channel_(takeover.settings, takeover.pace) {}

    TakeoverResult run() {
        list_all_servers();
        for (now_ = kStart; now_ <= takeover_.ends_at; now_ += kStep) {
            for (const event::ConfigAcknowledged& acknowledged : channel_.advance(now_)) {
                planner_.on_event(now_, acknowledged);
            }
            list_changed_servers();
            connect_proxies();
            if ((now_ - kStart) % kDecisionInterval < kStep) {
                planner_.on_event(now_, event::TimerFired{""});
            }
            channel_.send(now_, planner_.decide(now_));
            check_removals();
            if ((now_ - kStart) % kSecond < kStep) {
                check_tables();
            }
        }
        result_.max_queued_lines = channel_.max_queued_lines();
        result_.max_messages = channel_.max_messages();
        result_.total_lines = channel_.total_lines();
        result_.total_messages = channel_.total_messages();
        return result_;
    }

private:
    void list_all_servers() {
        event::EndpointListUpdate update{UpdateKind::Snapshot, {}};
        for (const TakeoverServer& server : takeover_.servers) {
            if (server.starts_at <= kStart) {
                update.endpoints.push_back({server.id, server.zone});
                listed_at_start_.insert(server.id);
            }
        }
        planner_.on_event(kStart, update);
    }

    bool is_now(Micros moment) const { return moment <= now_ && moment > now_ - kStep; }

    void list_changed_servers() {
        event::EndpointListUpdate update{UpdateKind::Delta, {}};
        for (const TakeoverServer& server : takeover_.servers) {
            if (is_now(server.drains_at)) {
                const auto state =
                    server.is_listed_gone ? ServerState::Gone : ServerState::Draining;
                update.endpoints.push_back({server.id, server.zone, state});
                check_at(now_ + takeover_.settings.drain_grace + kTolerance);
            }
            if (now_ > kStart && is_now(server.starts_at)) {
                update.endpoints.push_back({server.id, server.zone});
            }
        }
        if (!update.endpoints.empty()) {
            planner_.on_event(now_, update);
        }
    }

    void connect_proxies() {
        for (std::size_t index = 0; index < takeover_.proxies.size(); ++index) {
            const TakeoverProxy& proxy = takeover_.proxies[index];
            if (!is_now(proxy.connects_at)) {
                continue;
            }
            const ProxyId id{static_cast<int>(index)};
            channel_.connect(id, listed_at_start_);
            planner_.on_event(now_, event::ProxyConnected{id, false, proxy.zone, 1});
            connected_.push_back(id);
            check_at(now_ + takeover_.settings.drain_grace + kTolerance);
        }
    }

    void check_at(Micros due) { checks_.insert(due); }

    // A pair is counted when its time is over, and its lateness grows until the proxy stops.
    void check_removals() {
        while (!checks_.empty() && *checks_.begin() <= now_) {
            count_late_pairs(*checks_.begin());
            checks_.erase(checks_.begin());
        }
        for (auto pair = late_since_.begin(); pair != late_since_.end();) {
            const auto& [proxy, server] = pair->first;
            result_.max_lateness = std::max(result_.max_lateness, now_ - pair->second);
            pair = channel_.holds(proxy, server) ? std::next(pair) : late_since_.erase(pair);
        }
    }

    void count_late_pairs(Micros due) {
        const Micros limit = takeover_.settings.drain_grace + kTolerance;
        for (const TakeoverServer& server : takeover_.servers) {
            if (server.drains_at > now_) {
                continue;
            }
            for (const ProxyId proxy : connected_) {
                const Micros since =
                    std::max(server.drains_at, takeover_.proxies[index_of(proxy)].connects_at);
                const bool is_due = since + limit <= now_ && since + limit + kStep >= due;
                if (is_due && channel_.holds(proxy, server.id) &&
                    late_since_.try_emplace({proxy, server.id}, since + limit).second) {
                    note_late_pair(proxy, server);
                }
            }
        }
    }

    void note_late_pair(ProxyId proxy, const TakeoverServer& server) {
        if (result_.late_removals++ > 0) {
            return;
        }
        const TakeoverProxy& plan = takeover_.proxies[index_of(proxy)];
        std::ostringstream text;
        text << "proxy " << proxy.value << " of zone " << plan.zone.value << " that connected at "
             << to_seconds(plan.connects_at - kStart) << " s still uses server " << server.id.value
             << " of zone " << server.zone.value << ", drained at "
             << to_seconds(server.drains_at - kStart) << " s, with";
        for (std::size_t operation = 0; operation < takeover_.settings.operations.size();
             ++operation) {
            text << " " << channel_.held_servers(proxy, operation).size();
        }
        text << " servers, " << channel_.queued_lines() << " lines queued";
        result_.first_late_removal = text.str();
    }

    bool is_ready(const TakeoverServer& server) const {
        return server.starts_at <= now_ && server.drains_at > now_;
    }

    void check_tables() {
        const std::size_t operations = takeover_.settings.operations.size();
        std::map<ServerId, double> load;
        std::size_t min_width = SIZE_MAX;
        for (const ProxyId proxy : connected_) {
            const auto& held = channel_.held_servers(proxy, 0);
            for (const ServerId server : held) {
                load[server] += 1.0 / static_cast<double>(held.size());
            }
            for (std::size_t operation = 0; operation < operations; ++operation) {
                check_without_server(proxy, operation);
                min_width = std::min(min_width, channel_.held_servers(proxy, operation).size());
            }
        }
        result_.min_final_width = min_width;
        if (now_ < kStart + kCalm) {
            return;
        }
        const auto ready = static_cast<double>(
            std::ranges::count_if(takeover_.servers, [&](const auto& s) { return is_ready(s); }));
        const double mean = static_cast<double>(connected_.size()) / std::max(1.0, ready);
        for (const TakeoverServer& server : takeover_.servers) {
            if (is_ready(server)) {
                result_.max_load = std::max(result_.max_load, load[server.id] / mean);
            }
        }
    }

    /// Whether the list shows a server that may serve the operation for the proxy.
    bool has_ready_server(ProxyId proxy, std::size_t operation) const {
        const bool local_only = takeover_.settings.operations[operation].local_only;
        const ZoneId zone = takeover_.proxies[index_of(proxy)].zone;
        return std::ranges::any_of(takeover_.servers, [&](const TakeoverServer& server) {
            return is_ready(server) && (!local_only || server.zone == zone);
        });
    }

    void check_without_server(ProxyId proxy, std::size_t operation) {
        if (!channel_.held_servers(proxy, operation).empty() ||
            !has_ready_server(proxy, operation)) {
            empty_since_.erase({proxy, operation});
            return;
        }
        const Micros since = empty_since_.try_emplace({proxy, operation}, now_).first->second;
        const Micros limit = takeover_.settings.max_time_without_server + kTolerance;
        result_.without_server += now_ - since > limit && now_ - since <= limit + kSecond;
    }

    const Takeover& takeover_;
    Planner planner_;
    SimulatedChannel channel_;
    Micros now_{};
    std::set<ServerId> listed_at_start_;
    std::vector<ProxyId> connected_;
    /// When the time of some pairs is over.
    std::set<Micros> checks_;
    std::map<std::pair<ProxyId, ServerId>, Micros> late_since_;
    std::map<std::pair<ProxyId, std::size_t>, Micros> empty_since_;
    TakeoverResult result_;
};

}  // namespace

Takeover draw_takeover(std::uint32_t seed) {
    Draw draw(seed);
    Takeover takeover;
    takeover.settings = draw_settings(draw);
    takeover.pace.lines_per_second =
        takeover.settings.channel_lines_per_second / (draw.chance(0.5) ? 1 : draw.scaled(1, 3));
    takeover.pace.time_per_message = seconds(draw.chance(0.3) ? 0 : draw.scaled(0.0002, 0.004));
    takeover.pace.network_delay = takeover.settings.mean_network_delay;
    const Micros takeover_at = kStart + kCalm + 6 * kSecond;
    draw_servers(draw, takeover, takeover_at);
    draw_proxies(draw, takeover, takeover_at);
    takeover.ends_at = takeover_at + 30 * kSecond;
    return takeover;
}

std::string describe(const Takeover& takeover) {
    const Settings& settings = takeover.settings;
    const auto own = std::ranges::count(takeover.proxies, kStart, &TakeoverProxy::connects_at);
    std::set<Micros> steps;
    std::ptrdiff_t drained = 0;
    for (const TakeoverServer& server : takeover.servers) {
        if (server.drains_at < Micros::max()) {
            steps.insert(server.drains_at);
            ++drained;
        }
    }
    std::ostringstream text;
    text << settings.zone_count << " zones, " << settings.operations.size() << " operations, "
         << takeover.servers.size() << " servers, " << drained << " drained in " << steps.size()
         << " steps over " << to_seconds(*steps.rbegin() - *steps.begin()) << " s from "
         << to_seconds(*steps.begin() - kStart) << " s, " << takeover.proxies.size() << " proxies, "
         << own << " from the start, the others over "
         << to_seconds(takeover.proxies.back().connects_at - kStart) << " s, "
         << settings.channel_lines_per_second << " lines/s stated, "
         << takeover.pace.lines_per_second << " carried, "
         << to_seconds(takeover.pace.time_per_message) * 1e3 << " ms/message, header "
         << settings.message_header_lines << ", grace " << to_seconds(settings.drain_grace)
         << " s, way " << to_seconds(settings.mean_network_delay) << " s, queue limit "
         << settings.max_queued_lines << ", messages " << settings.max_messages;
    return text.str();
}

TakeoverResult play_takeover(const Takeover& takeover) {
    return TakeoverPlay(takeover).run();
}

}  // namespace badgergrade::policy
