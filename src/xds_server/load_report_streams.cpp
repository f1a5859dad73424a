#include "xds_server/load_report_streams.h"

#include <google/protobuf/util/time_util.h>

#include "base/cpu_meter.h"
#include "envoy/service/load_stats/v3/lrs.pb.h"
#include "xds/load_report.h"

namespace badgergrade::xds_server {

namespace {
/// Each unknown name is logged once. The limit bounds the memory if a proxy keeps sending new
/// names; further ones are not logged.
constexpr std::size_t kMaxLoggedUnknownNames = 1000;
}  // namespace

LoadReportStreams::LoadReportStreams(log::Logger& log, log::RateLimitedLogger& warnings,
                                     Micros report_interval, const ProxySessions& sessions,
                                     const ServerDirectory& servers, LoadReportQueue& queue,
                                     XdsServerMetrics& metrics)
    : log_(log),
      warnings_(warnings),
      report_interval_(report_interval),
      sessions_(sessions),
      servers_(servers),
      queue_(queue),
      metrics_(metrics) {}

void LoadReportStreams::accept(const net::GrpcCallPtr& call) {
    receive_stream(call, [this](const auto& stream, StreamIdentity& identity, auto bytes) {
        on_message(stream, identity, bytes);
    });
}

void LoadReportStreams::on_message(const net::GrpcCallPtr& call, StreamIdentity& identity,
                                   std::string_view bytes) {
    const base::CpuMeter meter(metrics_.handler_cpu_us);
    envoy::service::load_stats::v3::LoadStatsRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        warnings_.warn("report.malformed", {{"peer", call->peer()}, {"proxy", identity.name}});
        call->finish(net::GrpcStatus::InvalidArgument,
                     "malformed LoadStatsRequest: expected a serialized message, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
        return;
    }
    if (!identity.is_known) {
        if (request.node().id().empty()) {
            call->finish(
                net::GrpcStatus::InvalidArgument,
                "field \"node.id\": expected a node id in the first report, got an empty string");
            return;
        }
        identity.is_known = true;
        identity.name = request.node().id();
        send_instructions(*call);
    }
    // A proxy without a discovery stream to this instance uses the tables of another control plane
    // instance: its load does not reflect the decisions of this one.
    const ProxySession* session = sessions_.find(identity.name);
    if (!session) {
        return;
    }
    const xds::ParsedLoadReport parsed = xds::parse_load_report(request);
    const auto unknown_names =
        queue_.add({session->proxy, session->zone}, parsed.report, servers_.by_address());
    for (const auto& rejected : parsed.rejected) {
        warnings_.warn("report.refused", {{"proxy", identity.name}, {"why", rejected.text}});
    }
    log_unknown_names(unknown_names, identity.name);
}

void LoadReportStreams::send_instructions(net::GrpcCall& call) const {
    using google::protobuf::util::TimeUtil;
    envoy::service::load_stats::v3::LoadStatsResponse response;
    response.set_send_all_clusters(true);
    response.set_report_endpoint_granularity(true);
    *response.mutable_load_reporting_interval() =
        TimeUtil::MicrosecondsToDuration(report_interval_.count());
    call.send(response.SerializeAsString());
}

void LoadReportStreams::log_unknown_names(const std::vector<std::string>& names,
                                          const std::string& proxy) {
    for (const auto& name : names) {
        const bool may_log = logged_unknown_names_.size() < kMaxLoggedUnknownNames;
        if (may_log && logged_unknown_names_.insert(name).second) {
            log_.info("report.unknown", {{"proxy", proxy}, {"what", name}});
        }
    }
}

}  // namespace badgergrade::xds_server
