// Fuzzes the decoders of the platform's messages, configuration file and discovery answers; the
// first byte of the input selects the decoder. The rest must either be accepted or be rejected with
// the documented exception. Of accepted values, only some of SUBSCRIBE and LOAD are checked for
// their range.
#include <cmath>
#include <cstdint>
#include <cstdlib>

#include "platform/message_reader.h"

using namespace badgergrade;

namespace {
const platform::ProtocolNames kNames{
    {"north", "south"}, {"look", "order"}, {"inflight", "util"}, 4};

void read_messages(std::string_view bytes) {
    platform::ServerIds servers(kNames, std::chrono::seconds(1));
    servers.update({1, true, {{"s-a", "north", ServerState::Ready, 1, 0}}, {}},
                   UpdateKind::Snapshot, std::chrono::seconds(1));
    resp::Reader reader({4096, 64});
    while (const auto resp_message = reader.read_message(bytes)) {
        try {
            const auto message = platform::read_message(*resp_message, kNames, servers);
            if (const auto* connected = std::get_if<event::ProxyConnected>(&message);
                connected && (connected->proxy.value < 0 || connected->proxy.value > 3 ||
                              !std::isfinite(connected->announced_rate))) {
                std::abort();
            }
            if (const auto* load = std::get_if<event::ServerLoadReport>(&message);
                load && (load->attempts < 0 || load->mean_latency < Micros{0} ||
                         load->interval <= Micros{0})) {
                std::abort();
            }
        } catch (const platform::InvalidMessage&) {}
    }
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 1) {
        return 0;
    }
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    try {
        switch (data[0] % 3) {
            case 0:
                read_messages(text);
                break;
            case 1:
                platform::read_config(text);
                break;
            default:
                platform::read_server_list(text);
        }
    } catch (const platform::ParseError&) {}
    return 0;
}
