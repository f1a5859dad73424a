// A stand-in for the clients of one forwarder: sends each invocation at its time, tries again as
// clients do, and gives up at the integration timeout. Retries count with the first try: one
// invocation, one result.
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
    Micros retry_backoff{};  // before a retry, doubled each time
    double attempt_timeout_fraction =
        1;  // a try is given up after this part of the integration timeout
    std::vector<Operation> operations;

    // While a window lasts, tries are given up after its part instead.
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
