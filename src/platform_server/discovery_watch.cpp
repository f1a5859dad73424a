#include "platform_server/discovery_watch.h"

#include <algorithm>
#include <utility>

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {
// What is to be told counts as told 6 s later, or 2 s after a waiting call was to end, whether it
// came or not. A short wait keeps a silent connection from being noticed after that: 2 s and the
// time-out are over, and another call is answered, before the 6 s are.
constexpr Micros kHold = 2s, kSlack = 400ms, kConnect = 400ms, kIdle = 60s;
// An answer that has begun may come in pieces, however long it is: only a pause in it ends the
// call.
constexpr Micros kPause = 1s;
constexpr Micros kRetryFirst = 30ms, kRetryMost = 500ms;
}  // namespace

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, base::ActorId actor, std::string host,
                               const net::Address& at, std::uint64_t generation, std::uint64_t seed)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      at_(at),
      generation_(generation),
      chance_(seed, "discovery"),
      pool_(pool_to(at)),
      again_(loop.clock(), actor) {}

std::unique_ptr<net::HttpPool> DiscoveryWatch::pool_to(const net::Address& to) {
    return std::make_unique<net::HttpPool>(loop_, actor_, host_, to, kConnect, kIdle);
}

void DiscoveryWatch::stop() {
    again_.stop();
    if (now_) {
        pool_->cancel(std::exchange(now_, 0));
    }
}

void DiscoveryWatch::move(const net::Address& to) {
    pool_->take_unread();
    stop();
    at_ = to;
    pool_ = pool_to(to);
    failures_ = 0;
    poll();
}

void DiscoveryWatch::poll() {
    again_.stop();
    net::HttpMessage request;
    request.method = "GET";
    request.target = "/discovery/hosts";
    if (!ask_whole_) {
        request.target +=
            "?from=" + std::to_string(generation_) + "&hold_ms=" + std::to_string(kHold / 1ms);
    }
    // TCP alone never shows a peer that fell silent.
    now_ = pool_->send(
        std::move(request), kHold + kSlack,
        [this](net::HttpOutcome outcome) {
            now_ = 0;
            came(std::move(outcome));
        },
        kPause);
}

void DiscoveryWatch::later(const std::string& why) {
    if (on_trouble) {
        on_trouble(why);
    }
    const Micros pause =
        std::min(kRetryMost, kRetryFirst * (std::int64_t{1} << std::min(failures_++, 5)));
    again_.after(Micros(static_cast<std::int64_t>(static_cast<double>(pause.count()) *
                                                  chance_.between(0.5, 1))),
                 [this] { poll(); });
}

void DiscoveryWatch::came(net::HttpOutcome outcome) {
    if (outcome.how != net::HttpOutcome::How::Answered) {
        return later("no answer: " + outcome.why);
    }
    if (outcome.response.status != 200) {
        return later("HTTP status " + std::to_string(outcome.response.status));
    }
    platform::InstanceList list;
    try {
        list = platform::read_instances(outcome.response.body);
    } catch (const platform::ParseError& wrong) {
        return later(std::string("the answer can't be read: ") + wrong.what());
    }
    if (list.whole && list.instances.empty() && list.unreadable.empty() && knows_servers &&
        knows_servers()) {
        return later("a whole list without instances; the one before stays");
    }
    // Changes that lead to an older state than ours are not changes to ours (a discovery that was
    // renewed).
    if (!list.whole && list.generation < generation_) {
        ask_whole_ = true;
        return later("changes to generation " + std::to_string(list.generation) + " after " +
                     std::to_string(generation_) + "; the whole list is asked for");
    }
    failures_ = 0;
    ask_whole_ = false;
    generation_ = list.generation;
    // The next call is due within 200 ms of this answer, before anything is made of it.
    poll();
    take(list);
}

void DiscoveryWatch::take(const platform::InstanceList& list) {
    for (const std::string& why : list.left_out) {
        if (on_trouble) {
            on_trouble("an entry can't be read: " + why);
        }
    }
    if ((list.whole || !list.instances.empty()) && on_list) {
        on_list(list);
    }
}

}  // namespace badgergrade::platform_server
