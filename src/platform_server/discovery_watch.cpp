#include "platform_server/discovery_watch.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

// A change counts as announced to this instance 6 s after it happened, or 2 s after a held call
// should have ended, whether or not its answer arrived. With a hold time of 2 s, a silent
// connection is detected and another call is answered within those 6 s.

/// How long discovery may hold a call if it has no changes.
constexpr Micros kHoldTime = 2s;
/// How much later than the hold time the answer may begin.
constexpr Micros kAnswerSlack = 400ms;
/// Timeout for establishing a connection.
constexpr Micros kConnectTimeout = 400ms;
/// How long an unused connection is kept open.
constexpr Micros kIdleTimeout = 60s;
/// Longest pause within an answer. A long list may arrive in many pieces over any time: only a
/// pause between two pieces is a timeout.
constexpr Micros kMaxPauseInAnswer = 1s;
/// Delay before the first retry. It doubles with each consecutive failure.
constexpr Micros kFirstRetryDelay = 30ms;
/// Longest delay before a retry, so that the list is soon current once discovery works again.
constexpr Micros kMaxRetryDelay = 500ms;
/// Lower end of the jitter as a fraction of the delay; it spreads the retries of several instances.
constexpr double kMinRetryFraction = 0.5;

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, base::ActorId actor, std::string host,
                               const net::Address& address, std::uint64_t generation,
                               std::uint64_t seed)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      address_(address),
      generation_(generation),
      retry_jitter_(seed, "discovery"),
      pool_(make_pool(address)),
      retry_timer_(loop.clock(), actor) {}

std::unique_ptr<net::HttpPool> DiscoveryWatch::make_pool(const net::Address& address) {
    return std::make_unique<net::HttpPool>(loop_, actor_, host_, address, kConnectTimeout,
                                           kIdleTimeout);
}

void DiscoveryWatch::stop() {
    retry_timer_.stop();
    if (current_call_) {
        pool_->cancel(std::exchange(current_call_, 0));
    }
}

void DiscoveryWatch::change_address(const net::Address& address) {
    // Uses an answer that is still unread in the kernel: it would be lost with its connection, and
    // its changes would be requested a second time.
    pool_->take_unread();
    stop();
    address_ = address;
    pool_ = make_pool(address);
    consecutive_failures_ = 0;
    poll();
}

void DiscoveryWatch::poll() {
    retry_timer_.stop();
    net::HttpMessage request;
    request.method = "GET";
    request.target = "/discovery/hosts";
    if (!request_snapshot_) {
        request.target +=
            "?from=" + std::to_string(generation_) + "&hold_ms=" + std::to_string(kHoldTime / 1ms);
    }
    // The timeout is needed because TCP alone does not detect a silent peer.
    current_call_ = pool_->send(
        std::move(request), kHoldTime + kAnswerSlack,
        [this](net::HttpOutcome outcome) {
            current_call_ = 0;
            on_outcome(std::move(outcome));
        },
        kMaxPauseInAnswer);
}

void DiscoveryWatch::retry_later(const std::string& reason) {
    if (on_failure) {
        on_failure(reason);
    }
    const Micros delay =
        base::exponential_backoff(kFirstRetryDelay, kMaxRetryDelay, consecutive_failures_++);
    const double jittered_us =
        static_cast<double>(delay.count()) * retry_jitter_.between(kMinRetryFraction, 1);
    retry_timer_.after(Micros(static_cast<std::int64_t>(jittered_us)), [this] { poll(); });
}

void DiscoveryWatch::on_outcome(net::HttpOutcome outcome) {
    if (outcome.how != net::HttpOutcome::How::Answered) {
        return retry_later("no answer: " + outcome.why);
    }
    if (outcome.response.status != 200) {
        return retry_later("expected HTTP status 200, got " +
                           std::to_string(outcome.response.status));
    }
    platform::ServerList list;
    try {
        list = platform::read_server_list(outcome.response.body);
    } catch (const platform::ParseError& error) {
        return retry_later(std::string("invalid answer: ") + error.what());
    }
    // Discovery sends an empty snapshot when it has lost its state. Accepting it would remove all
    // servers from all proxies at once.
    if (list.is_snapshot && list.servers.empty() && list.skipped_ids.empty() && has_known_servers &&
        has_known_servers()) {
        return retry_later("ignored a snapshot without servers; the previous list stays in use");
    }
    // A restarted discovery counts generations from the beginning. Its changes do not apply to the
    // list held here: only a snapshot synchronizes the two again.
    if (!list.is_snapshot && list.generation < generation_) {
        request_snapshot_ = true;
        return retry_later("expected a generation of at least " + std::to_string(generation_) +
                           ", got " + std::to_string(list.generation) + "; requesting a snapshot");
    }
    consecutive_failures_ = 0;
    request_snapshot_ = false;
    generation_ = list.generation;
    // The next call is due within 200 ms of this answer: it is made before the list is processed.
    poll();
    deliver(list);
}

void DiscoveryWatch::deliver(const platform::ServerList& list) {
    for (const std::string& reason : list.skip_reasons) {
        if (on_failure) {
            on_failure("skipped an entry: " + reason);
        }
    }
    const bool has_changes = list.is_snapshot || !list.servers.empty();
    if (has_changes && on_list) {
        on_list(list);
    }
}

}  // namespace badgergrade::platform_server
