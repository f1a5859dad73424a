// Identifier types and the duration type of the whole program.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace badgergrade {

/// The only duration and time-point type: whole microseconds. Time points count from the arbitrary
/// origin of the clock that the caller uses (base::Clock); they are never wall-clock time.
using Micros = std::chrono::microseconds;

constexpr double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

/// A number that identifies one kind of object. Each kind has its own type, so that ids of
/// different kinds can't be confused.
template <class Tag, class Rep>
struct Id {
    Rep value{};
    friend auto operator<=>(const Id&, const Id&) = default;
};

/// The index of an id in a vector with one element for each id, starting at 0.
template <class Tag, class Rep>
constexpr std::size_t index_of(Id<Tag, Rep> id) {
    return static_cast<std::size_t>(id.value);
}

/// A server that serves invocations. A server that restarts keeps its id.
using ServerId = Id<struct ServerTag, std::uint32_t>;
/// An availability zone: an index from 0 to Settings::zone_count - 1, or -1 if unknown.
using ZoneId = Id<struct ZoneTag, int>;
/// A proxy (data plane instance).
using ProxyId = Id<struct ProxyTag, int>;
/// A table of weighted servers that proxies pick from. In sharded deployments: the shard (key
/// range) of that number.
using TableId = Id<struct TableTag, int>;
/// An operation (request class): its index in Settings::operations.
using OperationId = Id<struct OperationTag, int>;
/// Another control plane instance.
using PeerId = Id<struct PeerTag, int>;
/// The version of a configuration, which a proxy acknowledges once it has applied it. Wraps at
/// 65,536.
using ConfigVersion = Id<struct ConfigVersionTag, int>;

/// A set of operations: bit k is OperationId{k}. In commands, 0 means all operations.
using OperationMask = std::uint64_t;

/// The table number that makes an admission setting apply to every connected proxy.
constexpr TableId kAllTables{65535};

}  // namespace badgergrade
