// Identifiers and the duration type that the whole program shares.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace badgergrade {

/// The one duration and time-point type: whole microseconds. Time points count from an arbitrary
/// beginning of the clock that is handed in (base::Clock); they are never wall-clock time.
using Micros = std::chrono::microseconds;

constexpr double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

/// A number that identifies one kind of thing. Each kind has a type of its own, so that ids of
/// different kinds can't be mixed up.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    friend auto operator<=>(const Id&, const Id&) = default;
};

/// The place of an id in a vector that holds one element for each id from 0 on.
template <class Tag, class Rep>
constexpr std::size_t index_of(Id<Tag, Rep> id) {
    return static_cast<std::size_t>(id.value);
}

/// A backend server. A server that restarts keeps its id.
using ServerId = Id<struct ServerTag, std::uint32_t>;
/// An availability zone: an index from 0 to Settings::zone_count - 1, or -1 where none is known.
using ZoneId = Id<struct ZoneTag, int>;
/// A proxy (data plane instance).
using ProxyId = Id<struct ProxyTag, int>;
/// A server table that proxies pick from. In sharded deployments the key range of that number.
using TableId = Id<struct TableTag, int>;
/// An operation (request class): its index in Settings::operations.
using OperationId = Id<struct OperationTag, int>;
/// Another control plane instance.
using PeerId = Id<struct PeerTag, int>;
/// The number that a proxy acknowledges once it has applied a configuration. Wraps at 65,536.
using ConfigVersion = Id<struct ConfigVersionTag, int>;

/// A set of operations: bit k stands for OperationId{k}. In commands, 0 stands for all of them.
using OperationMask = std::uint64_t;

/// The table number under which an admission setting holds for every connected proxy.
constexpr TableId kAllTables{65535};

}  // namespace badgergrade
