// A fake of the clients of one proxy: sends each invocation at its scheduled time, retries failed
// attempts with exponential backoff, and gives up at the operation's integration timeout. All
// attempts of an invocation have one result.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "net/http_server.h"
#include "testbed/observer.h"

namespace badgergrade::testbed {

struct FakeClientSettings {
    int max_retries = 1;
    Micros retry_backoff{};  // before the first retry, doubled for each further one
    double attempt_timeout_fraction =
        1;  // timeout of an attempt, as part of the integration timeout
    std::vector<Operation> operations;

    // Replaces attempt_timeout_fraction from `from` until `to`.
    struct AttemptTimeoutOverride {
        Micros from{}, to{};
        double attempt_timeout_fraction = 1;
    };

    std::vector<AttemptTimeoutOverride> attempt_timeout_overrides;
};

class FakeClient {
public:
    FakeClient(net::Loop& loop, base::ActorId actor, std::string id, FakeClientSettings settings,
               net::Address proxy, std::vector<Invocation> schedule, Observer* observer);

    std::size_t pending_count() const { return pending_.size(); }

private:
    struct PendingInvocation {
        Invocation invocation;
        Micros expires{};
        std::unique_ptr<base::Timer> timer;
        net::HttpPool::TryId attempt_id = 0;
    };

    void schedule_next();
    void send(std::uint64_t id);
    void on_response(std::uint64_t id, net::HttpOutcome outcome);
    void finish(std::uint64_t id, InvocationResult result);

    net::Loop& loop_;
    base::ActorId actor_;
    std::string id_;
    FakeClientSettings settings_;
    std::vector<Invocation> schedule_;
    Observer* observer_;
    net::HttpPool pool_;
    std::size_t next_index_ = 0;
    base::Timer next_timer_;
    std::map<std::uint64_t, PendingInvocation> pending_;
};

}  // namespace badgergrade::testbed
