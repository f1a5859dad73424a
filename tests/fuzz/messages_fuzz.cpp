// Fuzz target for parsers and protocol state. The first byte of the input selects how the rest is
// read: as discovery requests to the server side of a stream with pending updates, as discovery
// responses to the client side, as a load report, as the registry's list of servers, or as the
// settings file.
#include <cstdint>

#include "config/instance_config.h"
#include "xds/ads_client.h"
#include "xds/ads_server.h"
#include "xds/load_report.h"
#include "xds/snapshot_cache.h"
#include "xds_server/endpoint_watch.h"

using namespace badgergrade;

namespace {

// Splits the input into messages. Each is preceded by one byte that holds a quarter of its length
// in bytes. The last message ends with the input, even if its length says more.
std::vector<std::string> split_messages(std::string_view bytes) {
    std::vector<std::string> out;
    while (bytes.size() > 1) {
        const std::size_t length =
            std::min<std::size_t>(static_cast<unsigned char>(bytes[0]) * 4, bytes.size() - 1);
        out.emplace_back(bytes.substr(1, length));
        bytes.remove_prefix(1 + length);
    }
    return out;
}

void fuzz_ads_server(std::string_view bytes) {
    Settings settings;
    settings.zone_count = 1;
    Operation operation;
    operation.name = "x";
    settings.operations = {operation};
    xds::SnapshotCache snapshots(settings, Micros{1000000});
    snapshots.set_server_location({1}, {{"127.0.0.1", 80}, "z"});
    snapshots.on_proxy_connected({0});
    xds::AdsServer stream("fuzz");
    int version = 0;
    for (const auto& message_bytes : split_messages(bytes)) {
        ++version;
        const auto update =
            snapshots.apply(Micros{version}, {command::SetWeight{{0}, {1}, 1.0 + version % 3},
                                              command::AssignTable{{0}, 0, {0}},
                                              command::RequestAck{{version}, false}});
        for (const auto& message : update.messages) {
            stream.release(Micros{version}, message);
        }
        xds::AdsServer::Request request;
        if (request.ParseFromString(message_bytes)) {
            stream.on_request(request);
        }
        stream.take_responses();
    }
}

void fuzz_ads_client(std::string_view bytes) {
    xds::AdsClient stream({});
    stream.start();
    for (const auto& message_bytes : split_messages(bytes)) {
        xds::AdsClient::Response response;
        if (response.ParseFromString(message_bytes)) {
            stream.on_response(response);
        }
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 1) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    std::vector<config::ConfigError> errors;
    switch (data[0] % 5) {
        case 0:
            fuzz_ads_server(bytes);
            break;
        case 1:
            fuzz_ads_client(bytes);
            break;
        case 2: {
            envoy::service::load_stats::v3::LoadStatsRequest report;
            if (report.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
                xds::parse_load_report(report);
            }
            break;
        }
        case 3:
            try {
                xds_server::parse_server_list(std::string(bytes));
            } catch (const std::runtime_error&) {}
            break;
        default:
            config::read_instance_config(
                config::IniFile::parse("fuzz.ini", std::string(bytes), errors), errors);
    }
    return 0;
}
