/// Fuzz target of the path that bytes from a proxy take through a control plane instance: HTTP/2,
/// gRPC framing and the xDS stream.
#include <cstdint>

#include "net/grpc.h"
#include "xds/ads_server.h"
#include "xds/load_report.h"

using namespace badgergrade;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    net::Http2Session session(net::Http2Session::Role::Server, {});
    xds::AdsServer ads_server("fuzz");
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
                ads_server.on_request(request);
            }
            for (const auto& response : ads_server.take_responses()) {
                session.send(id, net::grpc_frame(response.SerializeAsString()));
            }
        });
    };
    session.on_closed = [&](std::int32_t id, std::uint32_t) {
        framers.erase(id);
    };
    // The first byte sets the size of the chunks in which the rest arrives. The connection preface
    // is fixed, since without it hardly any input would reach the code behind it.
    if (size < 1) {
        return 0;
    }
    const std::size_t chunk_size = data[0] % 64 + 1;
    session.feed("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    const std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    for (std::size_t offset = 0; offset < rest.size(); offset += chunk_size) {
        if (!session.feed(rest.substr(offset, chunk_size))) {
            break;
        }
        session.output();
    }
    return 0;
}
