/// @file
/// The server side of the load reporting service (LRS): instructs each proxy what to report and how
/// often, and adds its reports to the load report queue.
///
/// A report counts only while its proxy, identified by node id, also has a discovery stream (ADS)
/// to this instance. A node id may have several load reporting streams; all their reports count.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/grpc.h"
#include "policy/ids.h"
#include "xds_server/load_report_queue.h"
#include "xds_server/metrics.h"
#include "xds_server/proxy_sessions.h"
#include "xds_server/server_directory.h"
#include "xds_server/stream_receiver.h"

namespace badgergrade::xds_server {

class LoadReportStreams {
public:
    /// The references must outlive this object.
    LoadReportStreams(log::Logger& log, log::RateLimitedLogger& warnings, Micros report_interval,
                      const ProxySessions& sessions, const ServerDirectory& servers,
                      LoadReportQueue& queue, XdsServerMetrics& metrics);

    /// Takes over a new load reporting stream of a proxy.
    void accept(const net::GrpcCallPtr& call);

private:
    void on_message(const net::GrpcCallPtr& call, StreamIdentity& identity, std::string_view bytes);
    void send_instructions(net::GrpcCall& call) const;
    void log_unknown_names(const std::vector<std::string>& names, const std::string& proxy);

    log::Logger& log_;
    /// For what proxies can cause with each message.
    log::RateLimitedLogger& warnings_;
    Micros report_interval_;
    const ProxySessions& sessions_;
    const ServerDirectory& servers_;
    LoadReportQueue& queue_;
    XdsServerMetrics& metrics_;
    /// Unknown server addresses and operations that were logged already, at most
    /// `kMaxLoggedUnknownNames` of them; further ones are not logged.
    std::set<std::string> logged_unknown_names_;
};

}  // namespace badgergrade::xds_server
