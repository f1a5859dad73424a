#include "replay/merge.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "base/random.h"
#include "config/instance_config.h"
#include "replay/recorder.h"
#include "scenario/moves.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;
namespace pb = badgergrade::recording::v1;

namespace {

// A server crawls when its answers take so many times longer than the middle one's at the time; it
// fails when so many of its tries did, beside others that answer.
constexpr double kCrawls = 4, kFails = 0.9, kOthersFail = 0.3;
constexpr std::int64_t kFewTries = 4;
// A stream that is back within this was broken; one that stays away longer was out of reach.
constexpr Micros kBroken = 3s;
// Two governors hear the same list within this.
constexpr Micros kListsDisagreeMost = 500ms;
// Sums of one forwarder that lie further apart do not follow on one another.
constexpr Micros kSumsApartMost = 60s;
// No death is put further before the list's word of it.
constexpr Micros kListLateMost = 10s;

template <class T>
T middle(std::vector<T> values, T usual) {
    if (values.empty()) {
        return usual;
    }
    const auto mid = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), mid, values.end());
    return *mid;
}

struct ListedRow {
    std::string server;
    int zone = 0;
    ServerState state = ServerState::Ready;
    double weight = 1;
    Micros started{};  // 0: long ago
};

struct Sums {
    Micros at{}, span{};
    std::string server;
    std::int64_t tries = 0, errored = 0;
    Micros mean{};
};

struct Asked {
    Micros at{}, span{};
    std::string forwarder;
    int operation = 0;
    std::int64_t count = 0, errored = 0;
};

struct StreamChange {
    Micros at{};
    std::string forwarder;
    bool joined = false, fresh = false;
    int zone = 0;
    double rate = 0;
};

// One life of one governor, on its own clock until it is moved.
struct Life {
    pb::Header header;
    config::InstanceConfig config;
    Micros last{};
    std::vector<std::pair<Micros, std::vector<ListedRow>>> lists;
    std::vector<Sums> sums;
    std::vector<Asked> asked;
    std::vector<StreamChange> streams;
    std::vector<Micros> way;

    void move(Micros by) {
        last += by;
        for (auto& [at, rows] : lists) {
            at += by;
            for (auto& row : rows) {
                if (row.started != 0us) {
                    row.started += by;
                }
            }
        }
        for (auto& one : sums) {
            one.at += by;
        }
        for (auto& one : asked) {
            one.at += by;
        }
        for (auto& one : streams) {
            one.at += by;
        }
    }

    std::vector<ReceivedList> heard() const {
        std::vector<ReceivedList> out;
        for (const auto& [at, rows] : lists) {
            ReceivedList one{at, {}, {}};
            for (const auto& row : rows) {
                one.content += row.server + (row.state == ServerState::Ready ? " " : "- ");
                if (row.started != 0us) {
                    one.starts.emplace_back(row.server, row.started);
                }
            }
            // The same list told again is no exchange of its own.
            if (out.empty() || out.back().content != one.content) {
                out.push_back(std::move(one));
            }
        }
        return out;
    }
};

Life read_life(const std::string& path, std::vector<recording::Damage>& damage) {
    recording::Reader reader(path);
    Life out;
    out.header = reader.header();
    std::vector<config::ConfigError> mistakes;
    out.config = config::read_instance_config(
        config::IniFile::parse(path, out.header.settings(), mistakes), mistakes);
    if (!mistakes.empty()) {
        throw std::runtime_error(
            path + ": its settings can't be read: " + config::to_text(mistakes.front()));
    }
    if (!out.header.script().empty()) {
        throw std::runtime_error(path + ": holds a whole day already, recorded by " +
                                 out.header.made_by());
    }
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        const auto name = [&](std::uint32_t n) {
            return recording::name_at(block, n);
        };
        recording::for_each_record(block, [&](Micros at, const pb::Record& record) {
            out.last = std::max(out.last, at);
            if (!record.has_event()) {
                return;
            }
            const auto& told = record.event();
            if (told.has_endpoint_list()) {
                std::vector<ListedRow> rows;
                for (const auto& row : told.endpoint_list().endpoints()) {
                    rows.push_back({name(row.server()), static_cast<int>(row.zone()) - 1,
                                    static_cast<ServerState>(std::min(row.state(), 2u)),
                                    row.weight(),
                                    row.age_us() > 0 ? at - Micros(row.age_us()) : 0us});
                }
                if (!rows.empty()) {
                    out.lists.emplace_back(at, std::move(rows));
                }
            } else if (told.has_load_report()) {
                out.sums.push_back({at, Micros(told.load_report().interval_us()),
                                    name(told.load_report().server()),
                                    told.load_report().attempts(), told.load_report().failures(),
                                    Micros(told.load_report().mean_latency_us())});
            } else if (told.has_demand_report()) {
                out.asked.push_back({at, Micros(told.demand_report().interval_us()),
                                     name(told.demand_report().proxy()),
                                     static_cast<int>(told.demand_report().operation()),
                                     told.demand_report().attempts(),
                                     told.demand_report().failures()});
            } else if (told.has_proxy_connected()) {
                out.streams.push_back({at, name(told.proxy_connected().proxy()), true,
                                       told.proxy_connected().fresh_start(),
                                       static_cast<int>(told.proxy_connected().zone()) - 1,
                                       told.proxy_connected().announced_rate()});
            } else if (told.has_proxy_disconnected()) {
                out.streams.push_back(
                    {at, name(told.proxy_disconnected().proxy()), false, false, -1, 0});
            } else if (told.has_acknowledgement()) {
                out.way.emplace_back(told.acknowledgement().delay_us());
            }
        });
    });
    for (const auto& one : reader.damage()) {
        damage.push_back({one.offset, path + ": " + one.description});
    }
    return out;
}

std::optional<Micros> wall(const pb::Header& header) {
    std::tm parts{};
    std::istringstream in(header.wall_begin());
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (in.fail()) {
        return std::nullopt;
    }
    Micros out = std::chrono::seconds(timegm(&parts));
    double part = 0;
    if (in.peek() == '.' && in >> part) {
        out += Micros(std::llround(part * 1e6));
    }
    return out;
}

// ---- the day put together again

class Assembler {
public:
    Assembler(std::vector<Life>& lives, MergeResult& merged)
        : lives_(lives),
          merged_(merged),
          config_(lives.front().config) {}

    void write(const std::string& path) {
        gather_servers();
        gather_forwarders();
        find_calm();
        write_all(path);
    }

private:
    struct ServerSight {
        int zone = 0;
        double weight = 1, factor = 1;
        Micros calm{};
    };

    std::string zone_name(int zone) const {
        return zone >= 0 && zone < static_cast<int>(config_.zones.size())
                   ? config_.zones[static_cast<std::size_t>(zone)]
                   : config_.zones.front();
    }

    void at(Micros when, scenario::Move move, bool opening = false) {
        moves_.push_back({std::max(0us, when), opening, false, std::move(move)});
    }

    void gather_servers() {
        for (const Life& life : lives_) {
            for (const auto& [when, rows] : life.lists) {
                for (const auto& row : rows) {
                    servers_.try_emplace(row.server, ServerSight{row.zone, row.weight, 1, 0us});
                }
            }
        }
        choose_lists();
        for (const Life& life : lives_) {
            for (const Sums& sums : life.sums) {
                by_server_[sums.server].push_back(&sums);
            }
        }
        for (auto& [server, all] : by_server_) {
            std::stable_sort(all.begin(), all.end(),
                             [](const auto* a, const auto* b) { return a->at < b->at; });
        }
        if (servers_.empty()) {
            throw std::runtime_error("no list of servers was heard in these recordings");
        }
    }

    // The lists of one life at a time, the one that goes on longest: two clocks are never so well
    // aligned that lists of both could be put in one order, and a list out of its turn reads as
    // deaths and starts.
    void choose_lists() {
        for (Micros from = Micros::min();;) {
            const Life* next = nullptr;
            for (const Life& life : lives_) {
                if (life.lists.empty() || life.last <= from) {
                    continue;
                }
                const bool runs = life.lists.front().first <= from;
                const bool best_runs = next && next->lists.front().first <= from;
                if (!next || (runs && (!best_runs || life.last > next->last)) ||
                    (!runs && !best_runs && life.lists.front().first < next->lists.front().first)) {
                    next = &life;
                }
            }
            if (!next) {
                break;
            }
            for (const auto& [when, rows] : next->lists) {
                if (when >= from) {
                    lists_.emplace_back(when, &rows);
                }
            }
            from = next->last;
        }
        for (const auto& [when, rows] : lists_) {
            for (const auto& row : *rows) {
                if (row.started > 0us) {
                    starts_[row.server].insert(row.started);
                }
            }
        }
    }

    void gather_forwarders() {
        for (const Life& life : lives_) {
            for (const StreamChange& one : life.streams) {
                streams_[one.forwarder].push_back(&one);
                if (one.joined) {
                    forwarders_.try_emplace(one.forwarder, one.zone, one.rate);
                }
            }
        }
        for (auto& [forwarder, all] : streams_) {
            std::stable_sort(all.begin(), all.end(),
                             [](const auto* a, const auto* b) { return a->at < b->at; });
        }
        if (forwarders_.empty()) {
            throw std::runtime_error("no forwarder joined in these recordings");
        }
    }

    // Answer times where nothing failed and the server was no slower than usual: its own middle,
    // and the fleet's.
    void find_calm() {
        std::vector<Micros> fleet;
        for (auto& [name, sight] : servers_) {
            std::vector<Micros> means;
            for (const Sums* one : by_server_[name]) {
                if (one->tries >= kFewTries && one->errored == 0 && one->mean > 0us) {
                    means.push_back(one->mean);
                }
            }
            sight.calm = middle(means, 0us);
            if (sight.calm > 0us) {
                fleet.push_back(sight.calm);
            }
        }
        calm_ = middle(fleet, 100000us);
        for (auto& [name, sight] : servers_) {
            if (sight.calm > 0us) {
                sight.factor = std::clamp(
                    static_cast<double>(calm_.count()) / static_cast<double>(sight.calm.count()),
                    0.3, 3.0);
            }
        }
    }

    testbed::WorkerSettings worker(const std::string& id, const ServerSight& sight) const {
        const Settings& told = config_.settings;
        testbed::WorkerSettings s;
        const bool weighed = told.listed_weights != ListedWeights::None &&
                             told.listed_weights != ListedWeights::Live;
        s.id = id;
        s.zone = zone_name(sight.zone);
        s.cores = weighed ? std::clamp(static_cast<int>(std::lround(sight.weight)), 1, 256) : 2;
        // Whole weight is cores times speed; work is reckoned for a server of the middle speed.
        s.speed = std::max(0.05, sight.factor);
        s.cold_from = told.initial_capacity_fraction;
        s.cold_time = told.slow_start_window;
        s.fall_multiple = told.overload_collapse_factor;
        s.fall_time = told.overload_collapse_time;
        s.handshake_work = 10ms;
        s.reports_load = !told.load_metric_names.empty();
        s.report_every = 500ms;
        return s;
    }

    void open() {
        using enum scenario::MoveKind;
        const auto& first = *lists_.front().second;
        for (const auto& row : first) {
            at(0us,
               {.kind = AddWorker,
                .who = row.server,
                .worker = worker(row.server, servers_.at(row.server))},
               true);
            at(0us, {.kind = StartWorker, .who = row.server}, true);
            at(0us,
               {.kind = ListWorker, .who = row.server, .on = row.state == ServerState::Draining},
               true);
            runs_.insert(row.server);
            begun_.insert(row.server);
            listed_[row.server] = row;
        }
        std::set<int> ordinals;
        for (const Life& life : lives_) {
            ordinals.insert(life.config.settings.ordinal);
        }
        for (const int ordinal : ordinals) {
            at(0us, {.kind = StartGovernor, .who = "governor-" + std::to_string(ordinal)}, true);
        }
        for (const auto& [name, sight] : forwarders_) {
            at(0us,
               {.kind = AddForwarder,
                .who = name,
                .by = std::max(0.01, sight.second),
                .text = zone_name(sight.first)},
               true);
        }
        for (const auto& [name, sight] : forwarders_) {
            // Those that joined late began late.
            const auto first_join = std::find_if(streams_.at(name).begin(), streams_.at(name).end(),
                                                 [](const auto* s) { return s->joined; });
            const bool late = (*first_join)->at > 5s;
            at(late ? (*first_join)->at - 50ms : 0us, {.kind = StartForwarder, .who = name}, !late);
        }
    }

    // When it gave its last answer before this moment.
    std::optional<Micros> last_answer(const std::string& server, Micros before) const {
        std::optional<Micros> out;
        const auto it = by_server_.find(server);
        if (it != by_server_.end()) {
            for (const Sums* one : it->second) {
                if (one->at < before && one->tries > one->errored) {
                    out = one->at;
                }
            }
        }
        return out;
    }

    Micros death(const std::string& server, Micros noticed) const {
        const auto answered = last_answer(server, noticed);
        return std::clamp(answered.value_or(noticed - 1s), noticed - kListLateMost, noticed - 1ms);
    }

    void follow_lists() {
        using enum scenario::MoveKind;
        for (const auto& [when, rows] : lists_) {
            std::set<std::string> here;
            for (const auto& row : *rows) {
                here.insert(row.server);
                const auto was = listed_.find(row.server);
                const bool anew = row.started > 0us && (was == listed_.end() ||
                                                        was->second.started + 100ms < row.started);
                if (anew) {
                    if (runs_.contains(row.server)) {
                        at(death(row.server, std::min(when, row.started)),
                           {.kind = StopWorker, .who = row.server});
                    }
                    start(row.server, row.started, true);
                } else if (!runs_.contains(row.server)) {
                    start(row.server, when - 1ms, false);
                }
                if (was == listed_.end() || anew || was->second.state != row.state) {
                    at(when, {.kind = ListWorker,
                              .who = row.server,
                              .on = row.state == ServerState::Draining});
                }
                listed_[row.server] = row;
            }
            for (auto it = listed_.begin(); it != listed_.end();) {
                if (here.contains(it->first)) {
                    ++it;
                    continue;
                }
                if (runs_.erase(it->first)) {
                    at(death(it->first, when), {.kind = StopWorker, .who = it->first});
                }
                at(when, {.kind = UnlistWorker, .who = it->first});
                it = listed_.erase(it);
            }
        }
    }

    void start(const std::string& server, Micros when, bool cold) {
        if (begun_.insert(server).second) {
            at(when, {.kind = scenario::MoveKind::AddWorker,
                      .who = server,
                      .worker = worker(server, servers_.at(server))});
        }
        at(when, {.kind = scenario::MoveKind::StartWorker, .who = server, .on = cold});
        runs_.insert(server);
    }

    // Spans of failing or crawling while the rest of the fleet does well.
    void follow_sums() {
        std::map<std::int64_t, std::pair<double, double>> errors;  // by second: tries, errored
        std::map<std::int64_t, std::vector<Micros>> means;
        for (const auto& [server, all] : by_server_) {
            for (const Sums* one : all) {
                auto& slot = errors[one->at.count() / 2000000];
                slot.first += static_cast<double>(one->tries);
                slot.second += static_cast<double>(one->errored);
                if (one->tries > one->errored) {
                    means[one->at.count() / 2000000].push_back(one->mean);
                }
            }
        }
        for (const auto& [server, all] : by_server_) {
            std::vector<TroubledSpan> spans;
            for (const Sums* one : all) {
                if (one->tries < kFewTries || is_cold(server, one->at)) {
                    continue;
                }
                const auto slot = one->at.count() / 2000000;
                const auto& fleet = errors[slot];
                const double others = (fleet.second - static_cast<double>(one->errored)) /
                                      std::max(1.0, fleet.first - static_cast<double>(one->tries));
                const double mine =
                    static_cast<double>(one->errored) / static_cast<double>(one->tries);
                const double slower =
                    static_cast<double>(one->mean.count()) /
                    static_cast<double>(std::max(1us, middle(means[slot], calm_)).count());
                TroubledSpan span{one->at - one->span, one->at, {}};
                if (mine >= kFails && others < kOthersFail) {
                    span.trouble.errors = 1;
                } else if (one->tries > one->errored && slower > kCrawls) {
                    span.trouble.slower = slower;
                } else {
                    continue;
                }
                // One report after the other with the same trouble is one span of it.
                if (!spans.empty() && spans.back().to + one->span >= span.from &&
                    (spans.back().trouble.errors > 0) == (span.trouble.errors > 0)) {
                    spans.back().to = span.to;
                } else {
                    spans.push_back(span);
                }
            }
            for (const auto& span : spans) {
                at(span.from, {.kind = scenario::MoveKind::TroubleWorker,
                               .who = server,
                               .trouble = span.trouble});
                at(span.to, {.kind = scenario::MoveKind::TroubleWorker, .who = server});
            }
        }
    }

    struct TroubledSpan {
        Micros from{}, to{};
        testbed::WorkerTrouble trouble;
    };

    // Cold servers are slow by nature.
    bool is_cold(const std::string& server, Micros now) const {
        const auto starts = starts_.find(server);
        return starts != starts_.end() &&
               std::any_of(starts->second.begin(), starts->second.end(), [&](Micros started) {
                   return started <= now && now < started + config_.settings.slow_start_window + 2s;
               });
    }

    void follow_streams() {
        using enum scenario::MoveKind;
        for (const auto& [forwarder, all] : streams_) {
            for (std::size_t k = 0; k < all.size(); ++k) {
                if (all[k]->joined) {
                    continue;
                }
                // Not when its governor ended: that breaks the stream by itself.
                if (std::any_of(lives_.begin(), lives_.end(), [&](const Life& l) {
                        return l.last - all[k]->at < 50ms && l.last >= all[k]->at;
                    })) {
                    continue;
                }
                const auto back = std::find_if(all.begin() + static_cast<std::ptrdiff_t>(k),
                                               all.end(), [](const auto* s) { return s->joined; });
                const Micros until = back == all.end() ? length_ : (*back)->at;
                if (back != all.end() && (*back)->fresh) {
                    at(all[k]->at, {.kind = StopForwarder, .who = forwarder});
                    at(until - 50ms, {.kind = StartForwarder, .who = forwarder});
                } else if (until - all[k]->at < kBroken) {
                    at(all[k]->at, {.kind = BreakStream, .who = forwarder});
                } else {
                    at(all[k]->at, {.kind = IsolateForwarder, .who = forwarder, .on = true});
                    at(until - 50ms, {.kind = IsolateForwarder, .who = forwarder});
                }
            }
        }
    }

    void follow_lives() {
        using enum scenario::MoveKind;
        std::map<int, std::vector<const Life*>> by_governor;
        for (const Life& life : lives_) {
            by_governor[life.config.settings.ordinal].push_back(&life);
        }
        for (auto& [ordinal, all] : by_governor) {
            std::stable_sort(all.begin(), all.end(),
                             [](const Life* a, const Life* b) { return a->last < b->last; });
            const std::string who = "governor-" + std::to_string(ordinal);
            for (std::size_t k = 0; k + 1 < all.size(); ++k) {
                at(all[k]->last, {.kind = StopGovernor, .who = who});
                at(begin_of(*all[k + 1]), {.kind = StartGovernor, .who = who});
            }
            if (length_ - all.back()->last > 10s) {
                at(all.back()->last, {.kind = StopGovernor, .who = who});
            }
        }
    }

    static Micros begin_of(const Life& life) {
        return life.lists.empty() ? life.last : life.lists.front().first;
    }

    // ---- arrivals

    struct Arrival {
        Micros at{};
        std::string forwarder;
        int operation = 0;
        double luck = 0;
    };

    std::vector<Arrival> arrivals() const {
        std::vector<Arrival> out;
        std::uint64_t number = 0;
        std::vector<const Asked*> asked;
        for (const Life& life : lives_) {
            for (const Asked& one : life.asked) {
                if (one.operation < static_cast<int>(config_.settings.operations.size())) {
                    asked.push_back(&one);
                }
            }
        }
        std::stable_sort(asked.begin(), asked.end(),
                         [](const auto* a, const auto* b) { return a->at < b->at; });
        std::map<std::pair<std::string, int>, Micros> covered;
        for (const Asked* one : asked) {
            // Sums follow on one another, also over a time without a governor: what was asked for
            // in it comes with the first sum after, whose span tells of the stream's time alone.
            auto& until =
                covered.try_emplace({one->forwarder, one->operation}, Micros::min()).first->second;
            const Micros from =
                until > one->at - kSumsApartMost ? std::min(until, one->at) : one->at - one->span;
            until = one->at;
            // What failed came once more where clients may try again.
            const bool again =
                config_.settings.operations[static_cast<std::size_t>(one->operation)].effect !=
                Effect::SideEffecting;
            const std::int64_t first =
                std::max<std::int64_t>(0, one->count - (again ? one->errored : 0));
            for (std::int64_t n = 0; n < first; ++n) {
                base::CounterRandom luck(lives_.front().header.seed(), ++number);
                const Micros when =
                    one->at - Micros(std::llround(luck.part() *
                                                  static_cast<double>((one->at - from).count())));
                out.push_back({std::clamp(when, 0us, length_ - 1us), one->forwarder, one->operation,
                               luck.part()});
            }
        }
        std::stable_sort(out.begin(), out.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        return out;
    }

    // Work by latency objective, so that the mean over what was asked for takes the calm answer
    // time.
    std::vector<Micros> work(const std::vector<Arrival>& arrivals) const {
        const auto& operations = config_.settings.operations;
        double sum = 0;
        for (const auto& one : arrivals) {
            sum += static_cast<double>(
                operations[static_cast<std::size_t>(one.operation)].latency_objective.count());
        }
        std::vector<Micros> out;
        for (const auto& op : operations) {
            const double part = sum > 0 ? static_cast<double>(op.latency_objective.count()) *
                                              static_cast<double>(arrivals.size()) / sum
                                        : 1;
            out.push_back(std::max(
                1us, Micros(std::llround(part * static_cast<double>(calm_.count()) * 0.95))));
        }
        return out;
    }

    // ---- the file

    std::string script(const std::vector<Micros>& works, std::size_t count) const {
        std::vector<Micros> way;
        for (const Life& life : lives_) {
            way.insert(way.end(), life.way.begin(), life.way.end());
        }
        std::sort(way.begin(), way.end());
        const auto quantile = [&](double part) {
            return way.empty()
                       ? 20000us
                       : way[static_cast<std::size_t>(part * static_cast<double>(way.size() - 1))];
        };
        std::ostringstream out;
        out << "length " << length_.count() << " us\nworkers " << servers_.size() << "\nforwarders "
            << forwarders_.size() << "\ngovernors " << config_.settings.instance_count << "\nrate "
            << std::max(0.001,
                        static_cast<double>(count) / (static_cast<double>(length_.count()) / 1e6))
            << "\n";
        for (std::size_t k = 0; k < works.size(); ++k) {
            out << "operation " << config_.settings.operations[k].name << " work "
                << works[k].count() << " us\n";
        }
        out << "way orders " << quantile(0.1).count() << ".." << quantile(0.9).count() << " us\n";
        return out.str();
    }

    void write_all(const std::string& path) {
        for (const Life& life : lives_) {
            length_ = std::max(length_, life.last);
        }
        const auto came = arrivals();
        if (came.empty()) {
            throw std::runtime_error("no demand was heard in these recordings");
        }
        open();
        follow_lists();
        follow_sums();
        follow_streams();
        follow_lives();
        std::stable_sort(moves_.begin(), moves_.end(), [](const auto& a, const auto& b) {
            return std::pair(!a.opening, a.at) < std::pair(!b.opening, b.at);
        });
        const auto works = work(came);
        pb::Header header = lives_.front().header;
        std::string makers;
        std::set<std::string> ids;
        for (const Life& life : lives_) {
            if (ids.insert(life.config.id).second) {
                makers += (makers.empty() ? "" : ", ") + life.config.id;
            }
        }
        header.set_made_by("merge of " + makers);
        header.set_begin_us(0);
        header.set_length_us(length_.count());
        header.set_script(script(works, came.size()));
        for (const auto& clock : merged_.clocks) {
            merged_.notes.push_back(clock_note(clock));
        }
        merged_.notes.push_back(
            "arrivals spread over the sums' spans; work by latency objective from answers of " +
            std::to_string(calm_.count() / 1000) + " ms in calm; keys unknown");
        for (const auto& note : merged_.notes) {
            header.add_notes(note);
        }
        recording::Writer writer(recording::open_file_sink(path), header,
                                 {.when_full = recording::WhenFull::Wait});
        auto move = moves_.begin();
        std::int64_t id = 0;
        const auto write_moves = [&](Micros until) {
            for (; move != moves_.end() && move->at <= until; ++move) {
                write_action(writer, move->at, *move);
            }
        };
        for (const auto& one : came) {
            write_moves(one.at);
            auto& to = *writer.add(one.at).mutable_invocation_start();
            ++id;
            to.set_id_delta(id - writer.last_invocation_id());
            writer.last_invocation_id() = id;
            to.set_proxy(writer.name(one.forwarder));
            to.set_operation(static_cast<std::uint32_t>(one.operation));
            to.set_work_us(static_cast<std::uint64_t>(std::max(
                1.0, static_cast<double>(works[static_cast<std::size_t>(one.operation)].count()) *
                         spread(one.luck))));
        }
        write_moves(Micros::max());
        writer.finish();
        if (const auto figures = writer.stats(); !figures.error.empty()) {
            throw std::runtime_error(figures.error);
        }
        merged_.invocations = came.size();
        merged_.actions = moves_.size();
    }

    // Of mean 1 out of an even draw, mostly small with a tail, as work is.
    static double spread(double luck) { return 0.4 + 1.8 * luck * luck; }

    static std::string clock_note(const ClockAlignment& clock) {
        std::ostringstream out;
        out << clock.governor << ": moved by " << clock.offset.count() << " us, ";
        if (clock.exchanges > 0) {
            out << "by " << clock.exchanges << " exchanges that both saw, which disagree by "
                << clock.spread.count() << " us at most";
        } else {
            out << "by the wall clock alone";
        }
        return out.str();
    }

    std::vector<Life>& lives_;
    MergeResult& merged_;
    const config::InstanceConfig& config_;
    Micros length_{}, calm_{};
    std::map<std::string, ServerSight> servers_;
    std::map<std::string, std::pair<int, double>> forwarders_;  // zone, rate
    std::vector<std::pair<Micros, const std::vector<ListedRow>*>> lists_;
    std::map<std::string, std::set<Micros>> starts_;  // by the chosen lists
    std::map<std::string, std::vector<const Sums*>> by_server_;
    std::map<std::string, std::vector<const StreamChange*>> streams_;
    std::vector<scenario::TimedMove> moves_;
    std::set<std::string> runs_, begun_;
    std::map<std::string, ListedRow> listed_;
};

}  // namespace

ClockAlignment align_clocks(const std::vector<ReceivedList>& base,
                            const std::vector<ReceivedList>& other) {
    // The same servers may stand on the list at several times of a day: the offset that most lists
    // agree on is the one.
    std::vector<Micros> offsets;
    for (const ReceivedList& mine : other) {
        for (const ReceivedList& b : base) {
            if (b.content == mine.content) {
                offsets.push_back(b.at - mine.at);
            }
        }
    }
    // One start of a server is one moment, whoever heard of it and when.
    std::set<std::pair<std::string, Micros>> here;
    std::set<std::pair<std::string, Micros>> there;
    for (const ReceivedList& list : base) {
        here.insert(list.starts.begin(), list.starts.end());
    }
    for (const ReceivedList& list : other) {
        there.insert(list.starts.begin(), list.starts.end());
    }
    for (const auto& [server, started] : there) {
        for (auto it = here.lower_bound({server, Micros::min()});
             it != here.end() && it->first == server; ++it) {
            offsets.push_back(it->second - started);
        }
    }
    std::sort(offsets.begin(), offsets.end());
    std::size_t best = 0;
    std::size_t most = 0;
    for (std::size_t k = 0, end = 0; k < offsets.size(); ++k) {
        while (end < offsets.size() && offsets[end] - offsets[k] <= kListsDisagreeMost) {
            ++end;
        }
        if (end - k > most) {
            best = k;
            most = end - k;
        }
    }
    ClockAlignment out;
    out.exchanges = static_cast<int>(most);
    if (most == 0) {
        return out;
    }
    const std::vector<Micros> agreed(offsets.begin() + static_cast<std::ptrdiff_t>(best),
                                     offsets.begin() + static_cast<std::ptrdiff_t>(best + most));
    out.offset = middle(agreed, 0us);
    out.spread = agreed.back() - agreed.front();
    return out;
}

MergeResult merge_recordings(const std::vector<std::string>& paths, const std::string& out) {
    MergeResult merged;
    std::vector<Life> lives;
    lives.reserve(paths.size());
    for (const auto& path : paths) {
        lives.push_back(read_life(path, merged.damage));
    }
    const auto& first = lives.front();
    for (std::size_t k = 1; k < lives.size(); ++k) {
        if (lives[k].config.zones != first.config.zones ||
            lives[k].config.settings.operations.size() != first.config.settings.operations.size()) {
            throw std::runtime_error(paths[k] + ": tells of other zones or operations than " +
                                     paths.front());
        }
    }
    const auto base = first.heard();
    const auto base_wall = wall(first.header);
    for (std::size_t k = 1; k < lives.size(); ++k) {
        ClockAlignment clock = align_clocks(base, lives[k].heard());
        const bool own =
            lives[k].config.id == first.config.id && base_wall && wall(lives[k].header);
        if (own) {
            clock = {};
        }
        if (clock.exchanges == 0) {
            const auto mine = wall(lives[k].header);
            if (!mine || !base_wall) {
                throw std::runtime_error(paths[k] + ": shares no list with " + paths.front() +
                                         " and has no wall clock to go by");
            }
            clock.offset = *mine - *base_wall;
        }
        clock.governor = lives[k].config.id;
        lives[k].move(clock.offset);
        merged.clocks.push_back(clock);
    }
    // The day begins with the first list heard.
    Micros begin = Micros::max();
    for (const Life& life : lives) {
        if (!life.lists.empty()) {
            begin = std::min(begin, life.lists.front().first);
        }
    }
    if (begin != Micros::max()) {
        for (Life& life : lives) {
            life.move(-begin);
        }
    }
    Assembler(lives, merged).write(out);
    return merged;
}

}  // namespace badgergrade::replay
