#include "net/ledger.h"

#include <utility>

namespace badgergrade::net {

InFlightBytes::PairId InFlightBytes::dial(std::uint16_t local_port, std::uint16_t to_port,
                                          std::string from_host) {
    const PairId id = ++last_id_;
    Pair& pair = pairs_[id];
    pair.ports = {local_port, to_port};
    pair.ends[0].host = std::move(from_host);
    pair_by_ports_[pair.ports] = id;
    update(id, pair);
    return id;
}

void InFlightBytes::connected(PairId id) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    it->second.connected = true;
    update(id, it->second);
}

void InFlightBytes::failed(PairId id) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    it->second.failed = true;
    update(id, it->second);
}

InFlightBytes::PairId InFlightBytes::accept(std::uint16_t remote_port, std::uint16_t at_port,
                                            std::string at_host) {
    const auto it = pair_by_ports_.find({remote_port, at_port});
    if (it == pair_by_ports_.end()) {
        return 0;
    }
    Pair& pair = pairs_[it->second];
    pair.accepted = true;
    pair.ends[1].host = std::move(at_host);
    const PairId id = it->second;
    update(id, pair);
    return id;
}

void InFlightBytes::wrote(PairId id, Side from, std::size_t bytes) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, from).written_bytes += bytes;
    update(id, it->second);
}

void InFlightBytes::read(PairId id, Side at, std::size_t bytes) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).read_bytes += bytes;
    update(id, it->second);
}

void InFlightBytes::closed(PairId id, Side by) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, by).closed = true;
    update(id, it->second);
}

void InFlightBytes::saw_end(PairId id, Side at) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).saw_end = true;
    update(id, it->second);
}

void InFlightBytes::paused(PairId id, Side at, bool is_paused) {
    const auto it = pairs_.find(id);
    if (it == pairs_.end()) {
        return;
    }
    end(it->second, at).paused = is_paused;
    update(id, it->second);
}

std::string InFlightBytes::host(PairId id, Side side) const {
    const auto it = pairs_.find(id);
    return it == pairs_.end() ? std::string{} : it->second.ends[static_cast<int>(side)].host;
}

bool InFlightBytes::in_flight(const Pair& pair) {
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
        if (writer.closed || writer.written_bytes > reader.read_bytes) {
            return true;
        }
    }
    return false;
}

void InFlightBytes::update(PairId id, Pair& pair) {
    const bool counted = in_flight(pair);
    if (counted != pair.counted) {
        pair.counted = counted;
        if (counted) {
            ++unsettled_;
        } else {
            --unsettled_;
        }
    }
    const bool completed =
        pair.failed || (pair.ends[0].closed && (pair.ends[1].closed || !pair.accepted));
    if (completed && !counted) {
        if (const auto it = pair_by_ports_.find(pair.ports);
            it != pair_by_ports_.end() && it->second == id) {
            pair_by_ports_.erase(it);
        }
        pairs_.erase(id);
    }
}

std::string InFlightBytes::unsettled() const {
    std::string out;
    for (const auto& [id, pair] : pairs_) {
        if (pair.counted) {
            out += " " + pair.ends[0].host + "->" + pair.ends[1].host + "(" +
                   std::to_string(pair.ends[0].written_bytes) + "/" +
                   std::to_string(pair.ends[1].read_bytes) + "," +
                   std::to_string(pair.ends[1].written_bytes) + "/" +
                   std::to_string(pair.ends[0].read_bytes) + ")";
        }
    }
    return out;
}

void InFlightBytes::hold(PairId id, Side at, std::function<void()> event) {
    queued_events_.emplace(std::tuple(id, at, ++last_event_), std::move(event));
}

void InFlightBytes::deliver() {
    auto events = std::exchange(queued_events_, {});
    for (auto& [key, event] : events) {
        event();
    }
}

}  // namespace badgergrade::net
