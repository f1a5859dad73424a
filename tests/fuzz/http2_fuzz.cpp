// HTTP/2, gRPC framing and the discovery stream behind them, as a governor reads them.
#include <cstdint>

#include "net/grpc.h"
#include "xds/ads_server.h"
#include "xds/load_report.h"

using namespace badgergrade;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    net::Http2Session session(net::Http2Session::Role::Server, {});
    xds::AdsServer stream("fuzz");
    std::map<std::int32_t, net::GrpcFramer> framers;
    session.on_headers = [&](std::int32_t id, const net::Http2Headers&, bool) {
        if (framers.try_emplace(id, 65536).second) {
            session.respond(id, {{":status", "200"}}, false);
        }
    };
    session.on_data = [&](std::int32_t id, std::string_view bytes) {
        framers.try_emplace(id, 65536).first->second.feed(bytes, [&](std::string_view message) {
            xds::AdsServer::Request request;
            if (request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
                stream.on_request(request);
            }
            for (const auto& response : stream.take_responses()) {
                session.send(id, net::grpc_frame(response.SerializeAsString()));
            }
        });
    };
    session.on_closed = [&](std::int32_t id, std::uint32_t) {
        framers.erase(id);
    };
    // The first byte says in how large pieces the rest arrives; the preface is given, or little
    // gets past it.
    if (size < 1) {
        return 0;
    }
    const std::size_t piece = data[0] % 64 + 1;
    session.feed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    const std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    for (std::size_t at = 0; at < rest.size(); at += piece) {
        if (!session.feed(rest.substr(at, piece))) {
            break;
        }
        session.output();
    }
    return 0;
}
