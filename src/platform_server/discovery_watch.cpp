#include "platform_server/discovery_watch.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

// A change counts as announced 6 s after it happened, or 2 s after a waiting call was to end,
// whether its answer arrived or not. With a hold of 2 s a connection that fell silent is noticed
// and another call is answered before those 6 s are over.

/// How long discovery may hold a call that has no news.
constexpr Micros kHoldTime = 2s;
/// How much later than that the answer may begin.
constexpr Micros kAnswerSlack = 400ms;
/// Time to connect.
constexpr Micros kConnectTimeout = 400ms;
/// How long an unused connection is kept.
constexpr Micros kIdleTimeout = 60s;
/// Longest pause within an answer. A long list may arrive in many pieces: only a pause ends it.
constexpr Micros kMaxPauseInAnswer = 1s;
/// First pause before a retry; it doubles with each failure.
constexpr Micros kFirstRetryDelay = 30ms;
/// Longest pause before a retry: the list must not get old once discovery works again.
constexpr Micros kMaxRetryDelay = 500ms;
/// Retries are made after this fraction of the delay at least, so that instances spread.
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

void DiscoveryWatch::move(const net::Address& address) {
    // An answer that lies unread in the kernel would be lost with its connection, and its changes
    // be asked for a second time.
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
    // The time-out is needed since TCP alone never shows a peer that fell silent.
    current_call_ = pool_->send(
        std::move(request), kHoldTime + kAnswerSlack,
        [this](net::HttpOutcome outcome) {
            current_call_ = 0;
            on_outcome(std::move(outcome));
        },
        kMaxPauseInAnswer);
}

void DiscoveryWatch::retry_later(const std::string& why) {
    if (on_trouble) {
        on_trouble(why);
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
        return retry_later("HTTP status " + std::to_string(outcome.response.status));
    }
    platform::InstanceList list;
    try {
        list = platform::read_instances(outcome.response.body);
    } catch (const platform::ParseError& error) {
        return retry_later(std::string("the answer can't be read: ") + error.what());
    }
    // A discovery that lost its state answers with an empty snapshot: believed, it would take all
    // servers away from all proxies at once.
    if (list.is_snapshot && list.instances.empty() && list.unreadable_ids.empty() &&
        knows_servers && knows_servers()) {
        return retry_later("a whole list without instances; the one before stays");
    }
    // A discovery that was started anew counts generations from the beginning: its changes are
    // none to the list held here. Only a snapshot brings both together again.
    if (!list.is_snapshot && list.generation < generation_) {
        request_snapshot_ = true;
        return retry_later("changes to generation " + std::to_string(list.generation) + " after " +
                           std::to_string(generation_) + "; the whole list is asked for");
    }
    consecutive_failures_ = 0;
    request_snapshot_ = false;
    generation_ = list.generation;
    // The next call is due within 200 ms of this answer: it goes out before the list is used.
    poll();
    deliver(list);
}

void DiscoveryWatch::deliver(const platform::InstanceList& list) {
    for (const std::string& why : list.skipped_entries) {
        if (on_trouble) {
            on_trouble("an entry can't be read: " + why);
        }
    }
    const bool has_news = list.is_snapshot || !list.instances.empty();
    if (has_news && on_list) {
        on_list(list);
    }
}

}  // namespace badgergrade::platform_server
