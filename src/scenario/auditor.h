// Audits the five rules of a scenario. Input: what passes on the sockets of the testbed's fakes
// (testbed/observer.h) and the instances' settings, never the state of an instance itself.
//
//   bare    a connected proxy has an endpoint for each operation, or lacks one no longer than
//           max_time_without_server, while its instance's server list holds a ready, warm server
//   effect  a side-effecting invocation is never retried after an attempt that may have been
//           processed, and never executed twice
//   drain   no proxy sends to a server later than the drain grace after the proxy's instance
//           learnt that the server is draining or removed
//   cold    no server collapses while warming up under load from proxies that had applied an update
//           decided after its start was announced, or whose instance had known it for the drain
//           grace
//   queue   no more lines are queued in an instance's channel than the settings allow, and no more
//           messages are sent to one proxy within the message window
//
// For the same rule and parties only the first violation is kept; all are counted.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "scenario/script.h"
#include "testbed/observer.h"
#include "xds/release_text.h"

namespace badgergrade::scenario {

// The names of the rules, which are keys of the JSON figures.
inline constexpr const char* kAuditRules[] = {"bare", "effect", "drain", "cold", "queue"};

// For example "24.906 s".
std::string format_seconds(base::Micros t);

// `parties` names who took part, for example "proxy-001 to server-002/1".
struct RuleViolation {
    std::string rule;
    Micros at{};
    std::string parties, description;
};

class Auditor final : public testbed::Observer {
public:
    Auditor(base::Clock& clock, const config::InstanceConfig& config);

    const std::vector<RuleViolation>& violations() const { return violations_; }

    std::int64_t violation_count(const std::string& rule) const;
    // From now on time limits are multiplied by this factor, because channels are slower. 1
    // restores them.
    void scale_time_limits(double factor);
    // Checks once more and audits the queues. To be called at the end of the scenario.
    void finish();

    // The highest use of each limit, as a fraction; 1 is the limit itself.
    struct Margins {
        double bare = 0, drain = 0, lines = 0, messages = 0;
    };

    Margins margins() const { return margins_; }

    std::int64_t check_count(const std::string& rule) const;

    void on_proxy_stopped(Micros, const std::string& proxy) override;
    void on_proxy_connected(Micros, const std::string& proxy, const std::string& instance) override;
    void on_proxy_disconnected(Micros, const std::string& proxy,
                               const std::string& instance) override;
    void on_response(Micros, const std::string& proxy, const std::string& instance,
                     const std::string& release_text, std::size_t bytes,
                     const std::string& why) override;
    void on_endpoint_availability(Micros, const std::string& proxy, int operation,
                                  bool has_endpoint) override;
    void on_attempt_sent(Micros, const std::string& proxy, const std::string& server,
                         std::uint64_t invocation, int operation, int number,
                         testbed::AttemptOutcome previous_outcome) override;
    void on_server_started(Micros, const std::string& server, bool cold) override;
    void on_server_collapsed(Micros, const std::string& server,
                             const std::vector<ReceivedWork>& received) override;
    void on_execution_started(Micros, const std::string& server, std::uint64_t invocation,
                              int operation) override;
    void on_server_list_sent(Micros, const std::string& instance,
                             const xds_server::ServerList& list) override;

private:
    struct ProxyState {
        std::string instance;  // empty: not connected
        Micros joined{}, last_update_decided_at{};
        std::map<int, bool> has_endpoint;
        std::map<int, Micros> without_endpoint_since;
        std::deque<Micros> message_times;
    };

    struct ListedServerState {
        bool ready = false;
        Micros started{};       // 0: before the scenario
        Micros announced_at{};  // when this incarnation was first announced
    };

    struct InstanceState {
        std::map<std::string, ListedServerState> servers;  // by id/incarnation
        std::map<std::string, Micros> removed_at;  // announced as draining, or no longer listed
        std::string registry_incarnation;
        std::uint64_t list_index = 0;
        std::size_t listed_count = 0;
    };

    struct QueueChange {
        Micros at{};
        double lines = 0;
    };

    void report_violation(std::string rule, Micros when, std::string parties,
                          std::string description);
    bool has_warm_server(const InstanceState& state, Micros now) const;
    void check();
    void check_proxy(const std::string& proxy, ProxyState& state, Micros now);
    void record_update(Micros now, const std::string& proxy, ProxyState& state,
                       const std::string& origin, const xds::ReleasedUpdate& update);
    double time_limit_factor(Micros since) const;

    base::Clock& clock_;
    const config::InstanceConfig& config_;
    base::Timer check_timer_;
    std::map<std::string, ProxyState> proxies_;
    std::map<std::string, InstanceState> instances_;
    // By origin (one incarnation of an instance): +lines when an update was decided, -lines when it
    // was released.
    std::map<std::string, std::multimap<Micros, double>> queues_;
    std::map<std::uint64_t, std::pair<Micros, std::string>> first_effects_;
    std::map<std::string, Micros> started_;
    std::set<std::pair<std::string, std::string>> reported_;
    std::vector<std::pair<Micros, double>> time_limit_factors_;
    std::vector<RuleViolation> violations_;
    std::map<std::string, std::int64_t> violation_counts_, checks_;
    Margins margins_;
};

}  // namespace badgergrade::scenario
