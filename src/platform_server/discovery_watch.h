/// Follows the platform's list of servers: GET /discovery/hosts?from=N&hold_ms=H, one call after
/// the other, each from the generation of the last answer. The last list stays valid while
/// discovery is broken, silent or gone.
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
    /// Follows discovery at `address`, starting after `generation` (the one of the list that the
    /// caller has already). `host` is this instance's name; `seed` spreads the retries.
    DiscoveryWatch(net::Loop& loop, base::ActorId actor, std::string host,
                   const net::Address& address, std::uint64_t generation, std::uint64_t seed);

    /// Called with a snapshot, or with changes to the list before; only where there is news.
    std::function<void(const platform::InstanceList&)> on_list;
    /// Called for each failed call and each unreadable entry, with the reason in plain words.
    std::function<void(const std::string& why)> on_trouble;
    /// Asked whether any server is known: then a snapshot without servers is not believed.
    std::function<bool()> knows_servers;

    /// Makes the first call.
    void start() { poll(); }

    /// Cancels the current call and the retries.
    void stop();

    /// Continues at another address from the same generation: an answer of the old address that
    /// has arrived is used, one that is still on its way is asked for at the new address.
    void move(const net::Address& address);

    const net::Address& address() const { return address_; }

    /// Generation of the last answer.
    std::uint64_t generation() const { return generation_; }

private:
    void poll();
    void on_outcome(net::HttpOutcome outcome);
    void retry_later(const std::string& why);
    void deliver(const platform::InstanceList& list);
    std::unique_ptr<net::HttpPool> make_pool(const net::Address& address);

    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    net::Address address_;
    std::uint64_t generation_;
    base::SequentialRandom retry_jitter_;
    std::unique_ptr<net::HttpPool> pool_;
    net::HttpPool::TryId current_call_ = 0;  // 0: none
    base::Timer retry_timer_;
    int consecutive_failures_ = 0;
    bool request_snapshot_ = false;
};

}  // namespace badgergrade::platform_server
