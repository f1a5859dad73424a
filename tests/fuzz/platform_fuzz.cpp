// The platform's messages, its configuration and discovery's answers from any bytes: read, or
// refused by the failure that says so, and what is read is in range.
#include <cmath>
#include <cstdint>
#include <cstdlib>

#include "platform/message_reader.h"

using namespace badgergrade;

namespace {
const platform::Names kNames{{"north", "south"}, {"look", "order"}, {"inflight", "util"}, 4};

void read_messages(std::string_view bytes) {
    platform::ServerIds servers(kNames, std::chrono::seconds(1));
    servers.take({1, true, {{"s-a", "north", ServerState::Ready, 1, 0}}, {}}, UpdateKind::Snapshot,
                 std::chrono::seconds(1));
    resp::Reader reader({4096, 64});
    while (const auto raw = reader.next(bytes)) {
        try {
            const auto message = platform::read_message(*raw, kNames, servers);
            if (const auto* joined = std::get_if<event::ProxyConnected>(&message);
                joined &&
                (joined->proxy.v < 0 || joined->proxy.v > 3 || !std::isfinite(joined->rate))) {
                std::abort();
            }
            if (const auto* heard = std::get_if<event::ServerLoadReport>(&message);
                heard &&
                (heard->tries < 0 || heard->mean < Micros{0} || heard->span <= Micros{0})) {
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
                platform::read_instances(text);
        }
    } catch (const platform::ParseError&) {}
    return 0;
}
