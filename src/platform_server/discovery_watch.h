/// Watches the platform's list of servers by long polling discovery:
/// GET /discovery/hosts?from=GENERATION&hold_ms=HOLD, one call after the other, each from the
/// generation of the last answer. Discovery holds a call until it has changes or HOLD is over.
///
/// A failed call is retried with exponential backoff and jitter. The last list stays valid while
/// discovery is unreachable, silent or sends invalid answers. An empty snapshot is ignored while
/// servers are known, and changes older than the known generation cause a request for a snapshot.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/http_server.h"
#include "platform/config.h"

namespace badgergrade::platform_server {

/// One long poll at a time, with retries. All callbacks run on the loop's thread and must not
/// destroy this object.
class DiscoveryWatch {
public:
    /// \param host        name of this instance, for the network layer
    /// \param address     address of discovery
    /// \param generation  generation of the list that the caller already has
    /// \param seed        seed of the retries' jitter
    DiscoveryWatch(net::Loop& loop, base::ActorId actor, std::string host,
                   const net::Address& address, std::uint64_t generation, std::uint64_t seed);

    /// Called with each snapshot, and with changes to the previous list if there are any.
    std::function<void(const platform::ServerList&)> on_list;
    /// Called with the reason for each failed call and each skipped entry.
    std::function<void(const std::string& reason)> on_failure;
    /// Returns whether the caller knows any server. If so, an empty snapshot is ignored.
    std::function<bool()> has_known_servers;

    /// Makes the first call.
    void start() { poll(); }

    /// Cancels the current call and the retries.
    void stop();

    /// Continues at another address from the same generation. An answer of the old address that has
    /// arrived already is used; the call that is still open is made again at the new address.
    void change_address(const net::Address& address);

    const net::Address& address() const { return address_; }

    /// Generation of the last answer.
    std::uint64_t generation() const { return generation_; }

private:
    void poll();
    void on_outcome(net::HttpOutcome outcome);
    void retry_later(const std::string& reason);
    void deliver(const platform::ServerList& list);
    std::unique_ptr<net::HttpPool> make_pool(const net::Address& address);

    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    net::Address address_;
    std::uint64_t generation_;
    base::SequentialRandom retry_jitter_;
    std::unique_ptr<net::HttpPool> pool_;
    net::HttpPool::TryId current_call_ = 0;  // 0: no call
    base::Timer retry_timer_;
    int consecutive_failures_ = 0;
    bool request_snapshot_ = false;  // the next call asks for the complete list
};

}  // namespace badgergrade::platform_server
