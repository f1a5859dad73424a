/// Account of the bytes in flight between the sockets of one process, and the order in which
/// received bytes are delivered.
///
/// Under the virtual clock no event may be handled while bytes are in flight, and the order in
/// which the kernel reports sockets as ready must have no effect. So each stream first collects
/// what it receives. When every byte that was written has been read (the account is settled), the
/// events are delivered in the order (connection, side, order of arrival at that side). A scenario
/// then runs the same way each time.
///
/// Input: byte counts and state changes, which the streams, listeners and connection attempts of
/// the loop report.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace badgergrade::net {

/// The two ends of a connection: the one that opened it and the one that accepted it.
enum class Side : std::uint8_t { Dialler = 0, Accepter = 1 };

/// The opposite end.
constexpr Side other(Side side) {
    return side == Side::Dialler ? Side::Accepter : Side::Dialler;
}

/// The account, and the queue of events to deliver. A report for an unknown or completed connection
/// is ignored.
class InFlightBytes {
public:
    /// Identifies a connection or an attempt to open one, in order of their start; 0 for none.
    using PairId = std::uint64_t;

    /// An attempt to connect from `local_port` to `to_port` has started.
    PairId dial(std::uint16_t local_port, std::uint16_t to_port, std::string from_host);
    /// The attempt succeeded, as seen by the end that opened the connection.
    void connected(PairId id);
    /// The attempt failed.
    void failed(PairId id);
    /// A connection from `remote_port` was accepted. Returns its id, or 0 if the other end does not
    /// belong to this process.
    PairId accept(std::uint16_t remote_port, std::uint16_t at_port, std::string at_host);

    /// `from` has given so many bytes to its kernel queue.
    void wrote(PairId id, Side from, std::size_t bytes);
    /// `at` has read so many bytes.
    void read(PairId id, Side at, std::size_t bytes);
    /// `by` has closed its end: it reads nothing more, and the other end has yet to see the close.
    void closed(PairId id, Side by);
    /// `at` has seen the end of the other side's bytes, or an error.
    void saw_end(PairId id, Side at);
    /// `at` has paused or resumed reading. Bytes for an end that is paused do not count as in
    /// flight.
    void paused(PairId id, Side at, bool is_paused);

    /// Records which host listens at a port, so that the network conditions between two hosts are
    /// known before the connection is established.
    void listens(std::uint16_t port, std::string host) {
        listener_by_port_[port] = std::move(host);
    }

    /// Name of the host that listens at a port; empty if none has listened there.
    std::string listener(std::uint16_t port) const {
        const auto it = listener_by_port_.find(port);
        return it == listener_by_port_.end() ? std::string{} : it->second;
    }

    /// Name of the host at one end; empty if it is not known (yet).
    std::string host(PairId id, Side side) const;

    /// Whether no bytes and no state changes are in flight.
    bool settled() const { return unsettled_ == 0; }

    /// The connections that are not settled, with (bytes sent/received, one pair per direction),
    /// for an error message.
    std::string unsettled() const;

    /// Queues an event for delivery when the account is settled.
    void hold(PairId id, Side at, std::function<void()> event);

    /// Whether events are queued.
    bool holds() const { return !queued_events_.empty(); }

    /// Delivers the events that are queued now. Events that these queue wait for the next call.
    void deliver();

private:
    struct End {
        std::uint64_t written_bytes = 0;
        std::uint64_t read_bytes = 0;
        bool closed = false;
        bool saw_end = false;
        bool paused = false;
        std::string host;
    };

    /// Ports of the end that opened the connection and of the listener.
    using Ports = std::pair<std::uint16_t, std::uint16_t>;

    /// One connection or attempt to open one.
    struct Pair {
        Ports ports;
        bool connected = false;
        bool accepted = false;
        bool failed = false;
        /// Whether it is counted in `unsettled_`.
        bool counted = false;
        /// By `Side`.
        End ends[2];
    };

    /// Whether bytes or state changes of the connection are in flight.
    static bool in_flight(const Pair& pair);
    /// Updates the count of connections that are not settled, and forgets a completed one.
    void update(PairId id, Pair& pair);

    End& end(Pair& pair, Side side) { return pair.ends[static_cast<int>(side)]; }

    std::map<PairId, Pair> pairs_;
    std::map<Ports, PairId> pair_by_ports_;
    std::map<std::uint16_t, std::string> listener_by_port_;
    std::map<std::tuple<PairId, Side, std::uint64_t>, std::function<void()>> queued_events_;
    std::uint64_t last_id_ = 0;
    std::uint64_t last_event_ = 0;
    /// Connections that are not settled.
    std::uint64_t unsettled_ = 0;
};

}  // namespace badgergrade::net
