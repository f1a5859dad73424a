#include "net/ledger.h"

#include <utility>

namespace badgergrade::net {

InFlightBytes::PairId InFlightBytes::dial(std::uint16_t local_port, std::uint16_t to_port,
                                          std::string from_host) {
    const PairId id = ++ids_;
    Pair& pair = pairs_[id];
    pair.ports = {local_port, to_port};
    pair.ends[0].host = std::move(from_host);
    by_ports_[pair.ports] = id;
    review(id, pair);
    return id;
}

void InFlightBytes::connected(PairId id) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    it->second.connected = true;
    review(id, it->second);
}

void InFlightBytes::failed(PairId id) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    it->second.failed = true;
    review(id, it->second);
}

InFlightBytes::PairId InFlightBytes::accept(std::uint16_t remote_port, std::uint16_t at_port,
                                            std::string at_host) {
    const auto it = by_ports_.find({remote_port, at_port});
    if (it == by_ports_.end()) {
        return 0;
    }
    Pair& pair = pairs_[it->second];
    pair.accepted = true;
    pair.ends[1].host = std::move(at_host);
    const PairId id = it->second;
    review(id, pair);
    return id;
}

void InFlightBytes::wrote(PairId id, Side from, std::size_t bytes) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, from).wrote += bytes;
    review(id, it->second);
}

void InFlightBytes::read(PairId id, Side at, std::size_t bytes) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).read += bytes;
    review(id, it->second);
}

void InFlightBytes::closed(PairId id, Side by) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, by).closed = true;
    review(id, it->second);
}

void InFlightBytes::saw_end(PairId id, Side at) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).saw_end = true;
    review(id, it->second);
}

void InFlightBytes::paused(PairId id, Side at, bool now) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).paused = now;
    review(id, it->second);
}

std::string InFlightBytes::host(PairId id, Side side) const {
    const auto it = pairs_.find(id);
    return it == pairs_.end() ? std::string{} : it->second.ends[static_cast<int>(side)].host;
}

bool InFlightBytes::open_business(const Pair& pair) {
    if (pair.failed) {
        return false;
    }
    if (!pair.accepted) {
        return !pair.ends[0].closed || pair.connected;
    }
    if (!pair.connected && !pair.ends[0].closed) {
        return true;
    }
    for (int from = 0; from < 2; ++from) {
        const End& writer = pair.ends[from];
        const End& reader = pair.ends[1 - from];
        if (reader.closed || reader.saw_end || reader.paused) {
            continue;
        }
        if (writer.closed || writer.wrote > reader.read) {
            return true;
        }
    }
    return false;
}

void InFlightBytes::review(PairId id, Pair& pair) {
    const bool open = open_business(pair);
    if (open != pair.counted) {
        pair.counted = open;
        if (open) {
            ++unsettled_;
        } else {
            --unsettled_;
        }
    }
    const bool over =
        pair.failed || (pair.ends[0].closed && (pair.ends[1].closed || !pair.accepted));
    if (over && !open) {
        if (const auto it = by_ports_.find(pair.ports); it != by_ports_.end() && it->second == id) {
            by_ports_.erase(it);
        }
        pairs_.erase(id);
    }
}

std::string InFlightBytes::unsettled() const {
    std::string out;
    for (const auto& [id, pair] : pairs_) {
        if (pair.counted) {
            out += " " + pair.ends[0].host + "->" + pair.ends[1].host + "(" +
                   std::to_string(pair.ends[0].wrote) + "/" + std::to_string(pair.ends[1].read) +
                   "," + std::to_string(pair.ends[1].wrote) + "/" +
                   std::to_string(pair.ends[0].read) + ")";
        }
    }
    return out;
}

void InFlightBytes::hold(PairId id, Side at, std::function<void()> event) {
    held_.emplace(std::tuple(id, at, ++events_), std::move(event));
}

void InFlightBytes::deliver() {
    auto round = std::exchange(held_, {});
    for (auto& [key, event] : round) {
        event();
    }
}

}  // namespace badgergrade::net
