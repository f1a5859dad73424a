// The running governor: tells the module what happens on the sockets and carries out what it
// decides.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/governor_config.h"
#include "log/log.h"
#include "net/grpc.h"
#include "net/http_server.h"
#include "pacing/paced_send_queue.h"
#include "runtime/policy_runner.h"
#include "xds/ads_server.h"
#include "xds/snapshot_cache.h"
#include "xds_server/endpoint_watch.h"
#include "xds_server/load_report_queue.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::xds_server {

struct Figures {
    std::int64_t decisions = 0, orders = 0, applied = 0, joins = 0, rejections = 0, lists = 0;
    std::int64_t handler_cpu_us = 0;
    pacing::SendQueueMetrics channel;
};

class XdsServer {
public:
    // Listens at once; throws std::system_error where the port can't be had. `life` tells this
    // start from earlier ones of the same governor.
    XdsServer(net::Loop& loop, base::ActorId actor, const config::GovernorConfig& config,
              log::Log& log, std::string life);
    ~XdsServer();
    XdsServer(const XdsServer&) = delete;

    net::Address address() const { return server_.address(); }

    // Ends in order: streams are closed, what is queued is sent.
    void stop();

    // For trials: the channel's pace as a part of the usual one.
    void set_channel_pace(double part) {
        channel_.set_pace(clock_.now(), part);
        arm_channel();
    }

    // For tests alone: changes what the module decided before it is carried out, so that the
    // auditor of the rules can be shown a governor that breaks them.
    std::function<void(Micros, std::vector<Command>&)> tamper;
    // For tests alone: the server id of a listed server.
    std::optional<ServerId> server_id(const std::string& id) const;

    Figures figures() const;
    // Hears from now on; must outlive the service.
    void watch(XdsServerObserver& watcher);

    const std::string& id() const { return config_.id; }

    const std::string& life() const { return life_; }

    int ordinal() const { return config_.settings.ordinal; }

    // Names behind the module's numbers; empty where there is none.
    std::string forwarder_name(ProxyId proxy) const;
    std::string server_name(ServerId server) const;
    // For measurements alone: a listed server without a registry; the full table laid and everyone
    // bound to it with this weight on each line.
    void list_for_trial(const ListedServer& listed);
    void change_for_trial(double weight);

private:
    struct Forwarder {
        ProxyId proxy;
        std::string name;
        ZoneId zone;
        net::GrpcCallPtr call;
        std::unique_ptr<xds::AdsServer> stream;
    };

    struct Known {
        ServerId server;
        std::string incarnation;
        Micros started{};
        ZoneId zone;
        bool listed = false;
    };
    struct StreamState;

    void on_call(const net::GrpcCallPtr& call);
    void open_ads(const net::GrpcCallPtr& call);
    void open_lrs(const net::GrpcCallPtr& call);
    void on_ads_message(const net::GrpcCallPtr& call, const std::shared_ptr<StreamState>& state,
                        std::string_view bytes);
    void on_lrs_message(const net::GrpcCallPtr& call, const std::shared_ptr<StreamState>& state,
                        std::string_view bytes);
    Forwarder* join(const net::GrpcCallPtr& call, const envoy::config::core::v3::Node& node,
                    std::string& why);
    void leave(const std::string& name, const net::GrpcCall* call, const std::string& why);
    void answer(Forwarder& forwarder, const xds::AdsServer::Request& request);
    void write(Forwarder& forwarder);

    void on_list(const ServerList& list);
    ServerId server_for(const ListedServer& listed, bool& fresh);
    ZoneId zone_of(const std::string& name) const;

    void tell(const Event& event);
    void carry_out(std::vector<Command> actions);
    void probe(ServerId server);
    void arm_channel();
    void run_channel();
    void tick();
    void end_period();
    void unknown_once(const std::vector<std::string>& what, const std::string& from);

    net::Loop& loop_;
    base::Clock& clock_;
    base::ActorId actor_;
    config::GovernorConfig config_;
    log::Logger log_;
    std::string life_;
    runtime::PolicyRunner driver_;
    xds::SnapshotCache board_;
    pacing::PacedSendQueue channel_;
    LoadReportQueue reports_;
    xds::ResponseCache responses_;
    net::GrpcServer server_;
    EndpointWatch registry_;
    std::map<std::string, Forwarder> forwarders_;
    std::map<std::string, ProxyId> proxy_ids_;
    std::map<ProxyId, std::string> proxy_names_;
    std::map<std::pair<std::string, net::Address>, Known> servers_;
    std::map<net::Address, ServerId> by_address_;
    std::map<ServerId, std::string> server_names_;
    std::map<ServerId, std::unique_ptr<net::HttpPool>> probes_;
    std::set<std::string> told_unknown_;
    base::Timer channel_timer_, tick_, period_;
    Figures figures_;
    XdsServerObserver* watcher_ = nullptr;
    Micros exhausted_told_{};
    bool stopping_ = false;
};

}  // namespace badgergrade::xds_server
