// What is in flight between the sockets of one process, and in which order it is handed over.
//
// Under the virtual clock nothing may be handled while bytes are on the way, and the kernel's order
// of readiness must not show. So each socket only collects; when every byte that was written has
// been read (the ledger is settled), what came is handed over by (connection, side, order). A day
// then is the same day every time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace badgergrade::net {

// The two ends of one connection: the one that dialled and the one that accepted.
enum class Side : std::uint8_t { Dialler = 0, Accepter = 1 };

constexpr Side other(Side s) {
    return s == Side::Dialler ? Side::Accepter : Side::Dialler;
}

class InFlightBytes {
public:
    using PairId = std::uint64_t;

    // A connection attempt from this local port to that one.
    PairId dial(std::uint16_t local_port, std::uint16_t to_port, std::string from_host);
    void connected(PairId id);
    void failed(PairId id);
    // The connection that was accepted from this remote port; 0 where the dialler is not of this
    // process.
    PairId accept(std::uint16_t remote_port, std::uint16_t at_port, std::string at_host);

    void wrote(PairId id, Side from, std::size_t bytes);
    void read(PairId id, Side at, std::size_t bytes);
    // This side has closed: it reads nothing more, and the other side has yet to see the end.
    void closed(PairId id, Side by);
    void saw_end(PairId id, Side at);
    // A side that does not read on purpose: what waits for it is not in flight.
    void paused(PairId id, Side at, bool now);

    // Which host listens on a port, so that a dialler's way to it is known before the connection
    // stands.
    void listens(std::uint16_t port, std::string host) { listeners_[port] = std::move(host); }

    std::string listener(std::uint16_t port) const {
        const auto it = listeners_.find(port);
        return it == listeners_.end() ? std::string{} : it->second;
    }

    // Names of the hosts at the ends; empty where not known (yet).
    std::string host(PairId id, Side side) const;

    bool settled() const { return unsettled_ == 0; }

    std::string unsettled() const;

    // Something to hand over once all is settled.
    void hold(PairId id, Side at, std::function<void()> event);

    bool holds() const { return !held_.empty(); }

    // Hands over what is held by now; what comes meanwhile is for the next round.
    void deliver();

private:
    struct End {
        std::uint64_t wrote = 0, read = 0;
        bool closed = false, saw_end = false, paused = false;
        std::string host;
    };

    using Ports = std::pair<std::uint16_t, std::uint16_t>;  // dialler's, listener's

    struct Pair {
        Ports ports;
        bool connected = false, accepted = false, failed = false, counted = false;
        End ends[2];
    };

    static bool open_business(const Pair& pair);
    void review(PairId id, Pair& pair);

    End& end(Pair& pair, Side side) { return pair.ends[static_cast<int>(side)]; }

    std::map<PairId, Pair> pairs_;
    std::map<Ports, PairId> by_ports_;
    std::map<std::uint16_t, std::string> listeners_;
    std::map<std::tuple<PairId, Side, std::uint64_t>, std::function<void()>> held_;
    std::uint64_t ids_ = 0, events_ = 0, unsettled_ = 0;
};

}  // namespace badgergrade::net
