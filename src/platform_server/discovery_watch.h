// Follows the platform's list of servers: GET /discovery/hosts?from=N&hold_ms=H, one call after the
// other, each from the generation of the last answer. What was answered stays valid while discovery
// is broken, silent or gone.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "net/http_server.h"
#include "platform/config.h"

namespace badgergrade::platform_server {

class DiscoveryWatch {
public:
    // Follows from `generation` on, the one of the list that the governor has already.
    DiscoveryWatch(net::Loop& loop, base::ActorId actor, std::string host, const net::Address& at,
                   std::uint64_t generation, std::uint64_t seed);

    // A list, or changes to the one before; called only where there is news.
    std::function<void(const platform::InstanceList&)> on_list;
    std::function<void(const std::string& why)> on_trouble;
    // Whether any server is known: then a whole list without one is nonsense.
    std::function<bool()> knows_servers;

    void start() { poll(); }

    void stop();
    // Goes on at another address, from the same generation: what had come from the old one is
    // taken, what was still on its way is asked for at the new one.
    void move(const net::Address& to);

    const net::Address& at() const { return at_; }

    std::uint64_t generation() const { return generation_; }

private:
    void poll();
    void came(net::HttpOutcome outcome);
    void later(const std::string& why);
    void take(const platform::InstanceList& list);
    std::unique_ptr<net::HttpPool> pool_to(const net::Address& to);

    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    net::Address at_;
    std::uint64_t generation_;
    base::SequentialRandom chance_;
    std::unique_ptr<net::HttpPool> pool_;
    net::HttpPool::TryId now_ = 0;
    base::Timer again_;
    int failures_ = 0;
    bool ask_whole_ = false;
};

}  // namespace badgergrade::platform_server
