// What a channel can carry during a takeover at best: one message at a time, earliest deadline
// first, never idle while something is due, and each message as cheap as possible: the removals, or
// a narrow table in place of a wide one where that is fewer lines.
#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "takeover.h"

namespace badgergrade::policy {
namespace {

/// The servers of a narrow table.
constexpr std::size_t kNarrowWidth = 6;
/// A narrow table with fewer servers is replaced.
constexpr std::size_t kMinWidth = 3;

class TakeoverScheduler {
public:
    explicit TakeoverScheduler(const Takeover& takeover)
        : takeover_(takeover),
          operation_sets_(
              std::ranges::any_of(takeover.settings.operations, &Operation::local_only) + 1) {
        for (const TakeoverProxy& proxy : takeover.proxies) {
            proxies_.push_back(
                {proxy.zone, proxy.connects_at, {}, false, proxy.connects_at > kStart, {}});
        }
        for (const TakeoverServer& server : takeover.servers) {
            if (server.drains_at < Micros::max()) {
                drains_at_.insert(server.drains_at);
            }
        }
        for (Proxy& proxy : proxies_) {
            use_all_servers(proxy);
        }
    }

    TakeoverSchedule run() {
        Micros now = kStart;
        while (now <= takeover_.ends_at) {
            const std::optional<std::size_t> next = next_proxy(now);
            if (!next) {
                const Micros resume = next_event_after(now);
                if (resume == Micros::max()) {
                    break;
                }
                now = resume;
                continue;
            }
            Proxy& proxy = proxies_[*next];
            const Micros due = *due_time(proxy, now);
            now += sending_time(update(proxy, now));
            find_first_drain(proxy);
            const Micros slack = due - (now + takeover_.pace.network_delay);
            schedule_.least_slack = std::min(schedule_.least_slack, slack);
            schedule_.late_messages += slack < Micros{0};
        }
        return schedule_;
    }

private:
    struct Proxy {
        ZoneId zone;
        Micros connects_at;
        std::vector<ServerId> servers;
        bool has_narrow_table = false;
        bool has_foreign_table = false;
        /// When the first of its servers drains.
        Micros first_drain{};
    };

    bool is_draining(ServerId id, Micros now) const {
        return takeover_.servers[id.value].drains_at <= now;
    }

    bool may_use(const Proxy& proxy, const TakeoverServer& server) const {
        return server.zone == proxy.zone;
    }

    void use_all_servers(Proxy& proxy) const {
        for (const TakeoverServer& server : takeover_.servers) {
            if (server.starts_at <= kStart && (proxy.has_foreign_table || may_use(proxy, server))) {
                proxy.servers.push_back(server.id);
            }
        }
        find_first_drain(proxy);
    }

    void find_first_drain(Proxy& proxy) const {
        proxy.first_drain = Micros::max();
        for (const ServerId server : proxy.servers) {
            proxy.first_drain =
                std::min(proxy.first_drain, takeover_.servers[server.value].drains_at);
        }
    }

    Micros sending_time(double lines) const {
        return takeover_.pace.time_per_message +
               Micros{static_cast<std::int64_t>(lines / takeover_.pace.lines_per_second * 1e6)};
    }

    /// When the proxy must have stopped using the servers that drain now; no value if it uses none.
    std::optional<Micros> due_time(const Proxy& proxy, Micros now) const {
        if (proxy.connects_at > now || proxy.first_drain > now) {
            return std::nullopt;
        }
        return std::max(proxy.first_drain, proxy.connects_at) + takeover_.settings.drain_grace;
    }

    std::optional<std::size_t> next_proxy(Micros now) const {
        std::optional<std::size_t> next;
        Micros earliest = Micros::max();
        for (std::size_t index = 0; index < proxies_.size(); ++index) {
            const std::optional<Micros> due = due_time(proxies_[index], now);
            if (due && *due < earliest) {
                earliest = *due;
                next = index;
            }
        }
        return next;
    }

    Micros next_event_after(Micros now) const {
        const auto drain = drains_at_.upper_bound(now);
        Micros next = drain == drains_at_.end() ? Micros::max() : *drain;
        for (const Proxy& proxy : proxies_) {
            if (proxy.connects_at > now) {
                next = std::min(next, proxy.connects_at);
            }
        }
        return next;
    }

    /// Sends the proxy the cheapest message by which it stops using the draining servers, and
    /// returns its lines.
    double update(Proxy& proxy, Micros now) {
        const std::size_t before = proxy.servers.size();
        std::erase_if(proxy.servers, [&](ServerId id) { return is_draining(id, now); });
        const double overhead = takeover_.settings.message_header_lines + 1;
        const std::size_t removals = before - proxy.servers.size();
        const bool needs_table = proxy.has_foreign_table || proxy.servers.size() < kMinWidth;
        if (!needs_table && removals <= kNarrowWidth + 1) {
            return overhead + static_cast<double>(removals * operation_sets_);
        }
        if (!needs_table && proxy.has_narrow_table) {
            return overhead + static_cast<double>(removals * operation_sets_);
        }
        fill_narrow_table(proxy, now);
        return overhead + static_cast<double>((1 + proxy.servers.size()) * operation_sets_);
    }

    void fill_narrow_table(Proxy& proxy, Micros now) {
        std::vector<ServerId> ready;
        for (const TakeoverServer& server : takeover_.servers) {
            if (may_use(proxy, server) && server.drains_at > now && server.starts_at <= kStart) {
                ready.push_back(server.id);
            }
        }
        proxy.servers.clear();
        std::ranges::sample(ready, std::back_inserter(proxy.servers), kNarrowWidth, random_);
        proxy.has_narrow_table = true;
        proxy.has_foreign_table = false;
    }

    const Takeover& takeover_;
    std::size_t operation_sets_;
    std::vector<Proxy> proxies_;
    std::set<Micros> drains_at_;
    std::mt19937 random_;
    TakeoverSchedule schedule_{0, Micros::max()};
};

}  // namespace

TakeoverSchedule schedule_takeover(const Takeover& takeover) {
    return TakeoverScheduler(takeover).run();
}

}  // namespace badgergrade::policy
