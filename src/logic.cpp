// The decisions of badgergrade. The interface is logic.h: make one Governor an instance, take() each event,
// then decide() once a moment. The ordinary path is the zone allotment of the design page (docs/design.md).
// Mechanisms beside the design, six at most:
//   1. verdicts: servers that fail or crawl for one zone's proxies leave its table, and come back by trial;
//   2. easing in: cold servers carry a part of their weight, in tables and allotment, none in a deep jam;
//   3. mode hold: after a full table, zone tables come back only when feasible for the hold rounds and all
//      servers are warm (a zone's whole demand overran the cold ones: bkk-render, rule hunt h363ad6);
//   4. the ceiling: past the design's 20% shares follow at once; a hurt zone past it puts all on one table;
//   5. levels: while the middle server of a zone fails or is late, its proxies let in last what bills least
//      for its work; the same orders keep an own-zone table of cold servers from its zone's whole demand;
//   6. channel guard: orders that can wait do so while lines or messages are short.
#include "logic.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace badgergrade {
namespace {

using namespace std::chrono_literals;

// The design page's own figures.
constexpr double kOverload = 0.2;
constexpr Micros kRound = 5s;
constexpr int kHoldRounds = 3;
constexpr Micros kAckWait = 2s;
constexpr double kFreshPart = 0.25;
// A cold server may meet this many times its usual load per weight (retries, an overload, a burst at once).
constexpr double kRushed = 2;
// At this many tries an answer (or with levels lowered) cold servers wait outside until they are warm.
constexpr double kDeepJam = 8;
// A level goes down a step a second while the middle server of a zone errors above the first, and comes back
// half as fast under the second; no operation goes under the least, so that its recovery can be seen.
constexpr double kJamPart = 0.2;
constexpr double kCalmPart = 0.08;
constexpr double kShedStep = 0.1;
constexpr double kShedGain = 0.4;
constexpr double kLateIsBad = 0.3;
constexpr double kLateMean = 0.7;
constexpr double kQuickMean = 0.5;
constexpr double kManyCold = 0.3;
constexpr double kShedMost = 0.8;
constexpr double kLeastIn = 0.1;
constexpr Micros kShedEvery = 1s;
constexpr double kAnyRate = 1e6;
// Everything that waits for time to pass is looked at this often.
constexpr Micros kBeat = 250ms;
// Demand is averaged over this long: a retry wave or a burst of seconds must not rock the shares.
constexpr Micros kDemandBucket = 1250ms;
// Verdict window, in buckets of this width; reports come every one or two seconds, so it spans a few of them.
constexpr Micros kMetBucket = 1s;
constexpr int kMetWindow = 4;
constexpr double kFewTries = 4;
constexpr double kBadPart = 0.4;
constexpr double kWorseBy = 3;
constexpr double kSlowBy = 4;
constexpr double kHurtPart = 0.05;
constexpr char kUnheard = 0, kCalm = 1, kHurt = 2;
// Where proxies disregard levels, spreading is the only relief and comes earlier.
constexpr double kSpreadAt = 1.2;
constexpr double kSpreadNoLevels = 1.1;
constexpr double kSpreadBlindAt = 1.3;
constexpr double kLoadedMean = 0.75;
constexpr double kAllBut = 0.9;
constexpr double kMostOut = 0.34;
constexpr double kMostDead = 0.5;
constexpr double kDeadPart = 0.98;
constexpr Micros kOutFirst = 6s;
constexpr Micros kOutMost = 24s;
constexpr Micros kTrialMost = 5s;
// The channel may run several times slower than told; what has left it is reckoned at this part of its pace.
constexpr double kSurePace = 0.1;
constexpr double kCanWaitPart = 0.5;
constexpr double kMustGoPart = 0.95;

double seconds(Micros t) { return static_cast<double>(t.count()) / 1e6; }

// Sums in fixed buckets of time that are used again in a ring.
template <class Cell, int N>
class Ring {
public:
    Cell& at(Micros now, Micros width) {
        const std::int64_t turn = now / width;
        Slot& slot = slots_[static_cast<std::size_t>(turn % N)];
        if (slot.turn != turn) slot = {turn, {}};
        return slot.cell;
    }
    Cell sum(Micros now, Micros width, int last = N) const {
        Cell all{};
        const std::int64_t turn = now / width;
        for (const Slot& slot : slots_)
            if (slot.turn > turn - last && slot.turn <= turn) all += slot.cell;
        return all;
    }

private:
    struct Slot {
        std::int64_t turn = -1;
        Cell cell{};
    };
    std::array<Slot, N> slots_{};
};

struct Came {
    double count = 0, span = 0;
    Came& operator+=(const Came& o) { return count += o.count, span += o.span, *this; }
};
struct Met {
    double tries = 0, errored = 0, time = 0;
    Met& operator+=(const Met& o) { return tries += o.tries, errored += o.errored, time += o.time, *this; }
    double bad() const { return tries > 0 ? errored / tries : 0; }
    double mean() const { return tries > errored ? time / (tries - errored) : 0; }
};

struct Server {
    ZoneId zone;
    ServerState state = ServerState::Gone;
    double weight = 1;
    Micros started{}, known{};
    bool missing = false;
};

enum class Phase { In, Out, Trial };
// What one zone's proxies met at one server, and the verdict on it there.
struct Standing {
    Ring<Met, 8> met;
    Phase phase = Phase::In;
    Micros until{};
    Micros stay = kOutFirst;
};

struct Proxy {
    bool joined = false;
    ZoneId zone;
    double told = 0;
    Micros since{};
    std::map<OpId, Ring<Came, 8>> came;
    std::map<OpMask, TableId> bound;
    Ring<Came, 16> messages;
};

struct Table {
    std::map<ServerId, double> want, have;
    std::set<ProxyId> unacked;
    Micros pushed{};
    int mark = 0;
    std::map<OpId, double> level_want, level_have;
};

struct Allotment {
    std::string full_because;
    std::map<ServerId, ZoneId> at;
    std::vector<double> carried;
};

// One server as the allotment sees it: listed weight (mean 1) and what it carries now.
struct Share {
    ServerId server;
    ZoneId zone;
    double listed, carries;
};

double minimum_for(double desired) { return std::ceil(desired / (1 + kOverload) - 1e-9); }

// DESIGN: feasibility, then own zone, then single moves from the largest surplus to the largest deficit.
Allotment allot(const std::vector<double>& demand, const std::vector<Share>& servers,
                const std::map<ServerId, ZoneId>& last) {
    Allotment out;
    const std::size_t zones = demand.size();
    double listed = 0, carried = 0, minimums = 0;
    for (const Share& s : servers) {
        if (s.zone.v < 0 || s.zone.v >= static_cast<int>(zones)) out.full_because = "a server without a zone";
        listed += s.listed;
        carried += s.carries;
    }
    const auto asking = std::count_if(demand.begin(), demand.end(), [](double d) { return d > 0; });
    for (const double d : demand) minimums += minimum_for(d * listed);
    if (asking < 2)
        out.full_because = "under two zones";
    else if (static_cast<std::size_t>(asking) > servers.size())
        out.full_because = "more zones than servers";
    else if (minimums > listed + 1e-9)
        out.full_because = "minimums exceed the servers";
    if (!out.full_because.empty()) return out;

    std::vector<double> over(zones, 0.0);
    for (std::size_t z = 0; z < zones; ++z) {
        const double desired = demand[z] * carried;
        over[z] = -std::max(desired, minimum_for(desired));
    }
    for (const Share& s : servers) {
        out.at[s.server] = s.zone;
        over[static_cast<std::size_t>(s.zone.v)] += s.carries;
    }
    for (std::size_t moves = 0; moves < servers.size(); ++moves) {
        const auto most = std::max_element(over.begin(), over.end());
        const auto least = std::min_element(over.begin(), over.end());
        const ZoneId from{static_cast<int>(most - over.begin())}, to{static_cast<int>(least - over.begin())};
        const Share* pick = nullptr;
        const auto rank = [&](const Share& s) {
            const auto it = last.find(s.server);
            return std::tuple(it != last.end() && it->second == to, std::min(s.listed, s.carries));
        };
        for (const Share& s : servers) {
            const double size = std::max(0.5, s.carries);
            if (s.zone != from || out.at[s.server] != from || s.carries <= 0) continue;
            if (size > *most + 1e-9 || size > -*least + 1e-9) continue;
            if (!pick || rank(s) > rank(*pick)) pick = &s;
        }
        if (!pick) break;
        out.at[pick->server] = to;
        *most -= pick->carries;
        *least += pick->carries;
    }
    out.carried.assign(zones, 0.0);
    for (const Share& s : servers) out.carried[static_cast<std::size_t>(out.at[s.server].v)] += s.carries;
    return out;
}

}  // namespace

struct Governor::Mind {
    // Derived at the start; the settings as told are not kept.
    int zones;
    OpMask all_ops = 0, own_ops = 0, open_ops = 0;
    Admit admit;
    bool equal_weights, ask, slices, exclusive, gone_may_stay;
    std::vector<OpId> cheap_first;
    std::vector<double> work;
    double cold_from, fall_room;
    int proxies, messages_most;
    Micros quick_objective{Micros::max()}, cold_time, fall_time, messages_bucket, owner_wait;
    double rate, head, lines_most;

    std::map<ServerId, Server> servers;
    std::map<std::pair<ZoneId, ServerId>, Standing> standings;
    std::map<ProxyId, Proxy> fleet;
    std::map<TableId, Table> tables;
    std::map<TableId, Micros> vacant;
    std::vector<double> share, shed;
    // A governor that starts over in the middle of a jam has no report of it yet (bkk-render, h75aee6).
    double rush = kDeepJam;
    Micros rush_until{};
    std::vector<char> hurt;
    std::map<ServerId, ZoneId> placed;
    std::string full_because;
    bool full = false, beating = false, watching = false;
    int off_rounds = 0, calm_rounds = 0, rounds = 0, mark = 0;
    Micros next_round{}, next_haste{}, next_shed{}, watch_at{}, drained_at{};
    double waiting = 0, written = 0;
    std::map<int, double> before_mark;
    std::set<ProxyId> planned;
    double planned_lines = 0;
    std::vector<Action> out;

    Mind(const Settings& s, Micros now)
        : zones(s.zones),
          admit(s.admit),
          equal_weights(s.listed == Listed::None || s.listed == Listed::Live),
          ask(s.ask_for_list),
          slices(s.slices > 0),
          exclusive(s.exclusive),
          gone_may_stay(s.gone_may_stay && s.slices == 0),
          cold_from(s.cold_from),
          fall_room(s.fall_multiple / (s.pick == Pick::Two ? 2 : 1)),
          proxies(s.proxies),
          messages_most(s.messages_most),
          cold_time(s.cold_time),
          fall_time(s.fall_time),
          messages_bucket(std::max(Micros{1000}, s.messages_window / 14)),
          owner_wait(s.settle + s.way_most),
          rate(std::max(1.0, s.channel_rate)),
          head(s.head_lines),
          lines_most(s.lines_most > 0 ? s.lines_most : 1e18),
          share(static_cast<std::size_t>(s.zones), 0.0),
          shed(share),
          hurt(share.size(), 0),
          next_round(now + kRound),
          drained_at(now) {
        rush_until = now + kRound;
        std::vector<double> value;
        for (std::size_t k = 0; k < s.operations.size(); ++k) {
            const Operation& op = s.operations[k];
            const OpMask bit = OpMask{1} << k;
            all_ops |= bit;
            (op.own_zone ? own_ops : open_ops) |= bit;
            work.push_back(std::max(1e-3, seconds(op.latency_objective)));
            value.push_back(op.billed_value / work.back());
            cheap_first.push_back({static_cast<int>(k)});
            quick_objective = std::min(quick_objective, op.latency_objective);
        }
        std::stable_sort(cheap_first.begin(), cheap_first.end(), [&](OpId a, OpId b) {
            return value[static_cast<std::size_t>(a.v)] < value[static_cast<std::size_t>(b.v)];
        });
    }

    void log(std::string text) { out.push_back(act::Log{std::move(text)}); }
    TableId zone_table(ZoneId z) const { return {z.v}; }
    TableId full_table() const { return {zones}; }
    TableId own_table(ZoneId z) const { return {zones + 1 + z.v}; }

    // ---- what is heard -------------------------------------------------------------------------------

    void on(Micros now, const ev::List& e) {
        if (e.form == ListForm::Failed) {
            watching = false;
            return;
        }
        if (e.form != ListForm::Delta)
            for (auto& [id, server] : servers) vanish(server);
        for (const ServerRow& row : e.rows) {
            Server& server = servers[row.server];
            if (row.state == ServerState::Ready && server.started != row.started)
                for (int z = 0; z < zones; ++z) standings.erase({ZoneId{z}, row.server});
            const double weight = equal_weights || !(row.weight > 0) ? 1.0 : row.weight;
            const Micros known = server.started == row.started ? server.known : now;
            if (row.state == ServerState::Gone)
                vanish(server);
            else
                server = {row.zone, row.state, weight, row.started, known};
        }
    }
    void vanish(Server& server) const {
        server.missing = gone_may_stay && server.state == ServerState::Ready;
        if (!server.missing) server.state = ServerState::Gone;
    }
    // Where only a stated drain binds, a server that merely vanished stays while it goes on answering: a list
    // that turns back named four fifths of a live fleet gone (cnx-labels-later big-1). One that died shows
    // errors, or nothing at all, in what the proxies met last.
    void follow_missing(Micros now) {
        for (auto& [id, server] : servers) {
            if (!server.missing) continue;
            Met last, all;
            for (int z = 0; z < zones; ++z) {
                const auto it = standings.find({ZoneId{z}, id});
                if (it == standings.end()) continue;
                last += it->second.met.sum(now, kMetBucket, kMetWindow);
                all += it->second.met.sum(now, kMetBucket);
            }
            if (all.tries > all.errored && last.bad() < kBadPart) continue;
            server.missing = false;
            server.state = ServerState::Gone;
        }
    }
    void on(Micros, const ev::Timer&) { beating = false; }
    void on(Micros, const ev::Probed&) {}
    void on(Micros, const ev::Peer&) {}
    void on(Micros now, const ev::Joined& e) {
        Proxy& proxy = fleet[e.proxy];
        proxy.joined = true;
        proxy.zone = e.zone;
        proxy.told = e.rate;
        proxy.bound.clear();
        proxy.messages = {};
        if (e.fresh) proxy.since = now, proxy.came.clear();
    }
    void on(Micros, const ev::Left& e) {
        const auto it = fleet.find(e.proxy);
        if (it == fleet.end()) return;
        it->second.joined = false;
        it->second.bound.clear();
        for (auto& [id, table] : tables) table.unacked.erase(e.proxy);
    }
    void on(Micros now, const ev::Heard& e) {
        const auto it = servers.find(e.server);
        if (it == servers.end() || e.zone.v < 0 || e.zone.v >= zones) return;
        Met met{static_cast<double>(e.tries), static_cast<double>(std::min(e.errored, e.tries)), 0};
        met.time = seconds(e.mean) * (met.tries - met.errored);
        standings[{e.zone, e.server}].met.at(now, kMetBucket) += met;
    }
    void on(Micros now, const ev::Demand& e) {
        const auto it = fleet.find(e.proxy);
        if (it == fleet.end() || e.span <= Micros{0}) return;
        // A restarted proxy's first sums reach back over the time it was dead; taken whole, its zone seemed
        // to ask for a fifth and lost its servers (bkk-render, rule hunt hbad0d9).
        const Micros span =
            std::clamp(now - it->second.since, kDemandBucket, std::max(kDemandBucket, e.span));
        it->second.came[e.op].at(now, kDemandBucket) +=
            {static_cast<double>(e.count), seconds(std::min(span, e.span))};
    }
    void on(Micros, const ev::SliceDemand&) {}
    void on(Micros, const ev::SliceGiven& e) {
        if (e.given)
            tables[e.slice] = {};
        else
            tables.erase(e.slice);
        vacant.erase(e.slice);
    }
    void on(Micros, const ev::SliceLine& e) {
        const auto it = tables.find(e.slice);
        if (it != tables.end()) it->second.have[e.server] = e.weight;
    }
    void on(Micros, const ev::Applied& e) {
        for (auto& [id, table] : tables)
            if (((e.mark.v - table.mark) & 65535) < 32768) table.unacked.erase(e.proxy);
        if (const auto it = before_mark.find(e.mark.v); it != before_mark.end())
            waiting = std::min(waiting, written - it->second);
    }

    // ---- demand --------------------------------------------------------------------------------------

    double rate_of(Micros now, const Proxy& proxy) const {
        double sum = 0;
        for (const auto& [op, ring] : proxy.came) {
            const Came came = ring.sum(now, kDemandBucket);
            if (came.span > 0) sum += came.count / came.span;
        }
        return sum > 0 ? sum : proxy.told;
    }

    // DESIGN: unheard proxies count as average; they are taken to stand where the heard ones are too few.
    std::vector<double> shares(Micros now) const {
        std::vector<double> sum(static_cast<std::size_t>(zones), 0.0), known(sum);
        double total = 0, heads = 0;
        for (const auto& [id, proxy] : fleet) {
            if (proxy.zone.v < 0 || proxy.zone.v >= zones) continue;
            const double r = rate_of(now, proxy);
            sum[static_cast<std::size_t>(proxy.zone.v)] += r;
            known[static_cast<std::size_t>(proxy.zone.v)] += 1;
            total += r;
            heads += 1;
        }
        const double average = heads > 0 && total > 0 ? total / heads : 1;
        const double unheard = std::max(0.0, proxies - heads), even = static_cast<double>(proxies) / zones;
        double room = 0;
        for (const double k : known) room += std::max(0.0, even - k);
        total = 0;
        for (std::size_t z = 0; z < sum.size(); ++z) {
            if (room > 0) sum[z] += average * unheard * std::max(0.0, even - known[z]) / room;
            total += sum[z];
        }
        for (double& s : sum) s = total > 0 ? s / total : 1.0 / zones;
        return sum;
    }

    // DESIGN: a whole server off for three rounds; before the first rounds are over the shares follow freely.
    void round(Micros now) {
        const std::vector<double> fresh = shares(now);
        double ready = 0, off = 0;
        for (const auto& [id, server] : servers) ready += server.state == ServerState::Ready;
        for (std::size_t z = 0; z < fresh.size(); ++z)
            off = std::max(off, std::abs(fresh[z] - share[z]) * ready);
        off_rounds = off >= 1 ? off_rounds + 1 : 0;
        if (off_rounds >= kHoldRounds || rounds == 0) {
            share = fresh;
            off_rounds = 0;
        }
        ++rounds;
        calm_rounds += 1;
        next_round = now + kRound;
    }

    // ---- verdicts ------------------------------------------------------------------------------------

    bool listed_ready(ServerId id) const {
        const auto it = servers.find(id);
        return it != servers.end() && it->second.state == ServerState::Ready;
    }
    bool is_out(ZoneId z, ServerId id) const {
        const auto it = standings.find({z, id});
        return it != standings.end() && it->second.phase == Phase::Out;
    }

    static double median(std::vector<double> all) {
        if (all.empty()) return 0;
        const auto mid = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
        std::nth_element(all.begin(), mid, all.end());
        return *mid;
    }

    // Where much of the fleet is cold at once (a rolling release) nobody else can carry its part.
    double cold_part(Micros now) const {
        double cold = 0, all = 0;
        for (const auto& [id, server] : servers) {
            if (server.state != ServerState::Ready) continue;
            all += server.weight;
            if (eased(now, server, 1) < 1) cold += server.weight;
        }
        return all > 0 ? cold / all : 0;
    }

    // Hung, failing and crawling servers differ from an overload of all: the middle one of the zone is the
    // measure, and at most half of a zone may be out unless nearly all of it is dead while other zones
    // answer.
    void judge(Micros now) {
        Met everywhere;
        for (auto& [key, standing] : standings)
            if (listed_ready(key.second)) everywhere += standing.met.sum(now, kMetBucket, kMetWindow);
        for (int z = 0; z < zones; ++z) judge_zone(now, {z}, everywhere);
        // In a jam a server is sent many times what gets answered, and a jam that levels hold down is back
        // within one report (seen where a fleet was enlarged in an overload): cold servers are spared for a
        // cold time.
        // Answers as late as this come with proxies shunning each busy server, so that an idle cold one draws
        // all (bkk-render, servers back from a crash in an overload).
        const bool late = everywhere.mean() > kLateMean * seconds(quick_objective);
        double jam = everywhere.tries >= kFewTries ? 1 / std::max(0.05, 1 - everywhere.bad()) : 1;
        if (std::any_of(shed.begin(), shed.end(), [](double s) { return s > 0; }))
            jam = std::max(jam, kDeepJam);
        if (late && cold_part(now) < kManyCold) jam = std::max(jam, kDeepJam);
        jam = std::exp2(std::ceil(std::log2(jam) - 0.4));
        if (jam >= rush || now >= rush_until) rush = jam, rush_until = now + cold_time;
    }

    void judge_zone(Micros now, ZoneId z, const Met& everywhere) {
        std::vector<double> bads, means;
        std::vector<std::pair<ServerId, Met>> seen;
        int out_now = 0, members = 0, dead = 0;
        Met here;
        for (auto it = standings.lower_bound({z, ServerId{0}}); it != standings.end() && it->first.first == z;
             ++it) {
            const ServerId id = it->first.second;
            if (!listed_ready(id)) continue;
            const Met met = it->second.met.sum(now, kMetBucket, kMetWindow);
            const bool is_member = it->second.phase != Phase::In || met.tries > 0;
            members += is_member;
            out_now += it->second.phase == Phase::Out;
            seen.emplace_back(id, met);
            here += met;
            if (met.tries < kFewTries) continue;
            bads.push_back(met.bad());
            if (met.mean() > 0) means.push_back(met.mean());
            dead += met.bad() >= kDeadPart;
        }
        hurt[static_cast<std::size_t>(z.v)] =
            here.tries < kFewTries                                                   ? kUnheard
            : here.bad() > kHurtPart || here.mean() > 0.5 * seconds(quick_objective) ? kHurt
                                                                                     : kCalm;
        const double usual_bad = median(bads), usual_mean = median(means);
        const Met rest{everywhere.tries - here.tries, everywhere.errored - here.errored, 0};
        const bool zone_dead = dead * 4 >= members * 3 && rest.tries > kFewTries && rest.bad() < kBadPart;
        for (const auto& [id, met] : seen) {
            Standing& standing = standings[{z, id}];
            const double few = standing.phase == Phase::Trial ? 2 : kFewTries;
            // Long answers beside the errors are an overload's sign: taking such a server out tips the next
            // one.
            const bool loaded = met.mean() > kLoadedMean * seconds(quick_objective) && met.bad() < kAllBut;
            const bool failing = met.tries >= few && met.errored >= 2 && met.bad() >= kBadPart && !loaded &&
                                 (met.bad() >= kWorseBy * usual_bad || (zone_dead && met.bad() >= kDeadPart));
            const bool crawling = met.tries - met.errored >= few && usual_mean > 0 &&
                                  met.mean() >= kSlowBy * usual_mean &&
                                  met.mean() >= seconds(quick_objective);
            if (standing.phase == Phase::Out) {
                if (now < standing.until) continue;
                standing.phase = Phase::Trial;
                standing.until = now + kTrialMost;
                standing.met = {};
            } else if (failing || crawling) {
                if (!zone_dead && out_now + 1 > (met.bad() >= kAllBut ? kMostDead : kMostOut) * members)
                    continue;
                if (standing.phase == Phase::Trial) standing.stay = std::min(kOutMost, standing.stay * 2);
                standing.phase = Phase::Out;
                standing.until = now + standing.stay;
                ++out_now;
                log("server " + std::to_string(id.v) + " out of zone " + std::to_string(z.v) + ": " +
                    (failing ? "errored " + std::to_string(static_cast<int>(met.bad() * 100)) + "% of " +
                                   std::to_string(static_cast<int>(met.tries)) + " tries"
                             : "answers take " + std::to_string(met.mean()) + " s, usual " +
                                   std::to_string(usual_mean)));
            } else if (standing.phase == Phase::Trial && now >= standing.until) {
                standing.phase = Phase::In;
                log("server " + std::to_string(id.v) + " back in zone " + std::to_string(z.v));
            } else if (standing.phase == Phase::In && met.tries >= 4 * kFewTries) {
                standing.stay = std::max(kOutFirst, standing.stay - kBeat);
            }
        }
    }

    // ---- levels --------------------------------------------------------------------------------------

    // An overload shows in the middle server of a zone, whatever its cause; single bad servers do not move
    // it.
    void weigh_pressure(Micros now) {
        if (now < next_shed || admit == Admit::None) return;
        next_shed = now + kShedEvery;
        for (int z = 0; z < zones; ++z) {
            std::vector<double> bads;
            for (auto it = standings.lower_bound({{z}, ServerId{0}});
                 it != standings.end() && it->first.first.v == z; ++it) {
                const Met met = it->second.met.sum(now, kMetBucket, 3);
                if (it->second.phase != Phase::In || met.tries < kFewTries) continue;
                // Errors beside quick answers are no overload: lost answers, refused connections or a lossy
                // way, which letting in less does not mend (cnx-labels-later big-2, hkt-signs-later big-2).
                const bool quick = met.mean() > 0 && met.mean() < kQuickMean * seconds(quick_objective);
                bads.push_back(quick ? 0
                                     : std::max(met.bad(), met.mean() > kLateMean * seconds(quick_objective)
                                                               ? kLateIsBad
                                                               : 0.0));
            }
            double& s = shed[static_cast<std::size_t>(z)];
            const double bad = median(bads);
            if (bads.size() >= 2 && bad > kJamPart)
                s = std::min(kShedMost, s + (1 - s) * bad * kShedGain);
            else if (bad < kCalmPart)
                s = std::max(0.0, s - kShedStep / 2);
        }
    }

    // Of the zone's asked-for work the part `cut` stays out, the operation that bills least for its work
    // first. -1 as zone means all zones together.
    void set_levels(Micros now, TableId id, int z, OpMask ops, double cut, double own_part) {
        std::vector<std::vector<double>> rates(work.size());
        double asked = 0;
        for (const auto& [pid, proxy] : fleet) {
            if (!proxy.joined || (z >= 0 && proxy.zone.v != z)) continue;
            for (std::size_t k = 0; k < work.size(); ++k) {
                const auto it = proxy.came.find({static_cast<int>(k)});
                const Came came = it == proxy.came.end() ? Came{} : it->second.sum(now, kDemandBucket);
                rates[k].push_back(came.span > 0 ? came.count / came.span : 0);
                asked += rates[k].back() * work[k];
            }
        }
        double to_cut = cut * asked;
        for (const OpId op : cheap_first) {
            const auto k = static_cast<std::size_t>(op.v);
            double sum = 0;
            for (const double r : rates[k]) sum += r;
            double in = 1;
            if (sum > 0 && to_cut > 0) in = std::max(kLeastIn, 1 - to_cut / (sum * work[k]));
            to_cut -= (1 - in) * sum * work[k];
            if (!(ops >> k & 1)) continue;
            in = std::floor(std::min(in, own_ops >> k & 1 ? own_part : 1.0) * 20) / 20;
            tables[id].level_want[op] = admit == Admit::Share ? in
                                        : in >= 1             ? kAnyRate
                                                              : cap_for(rates[k], in);
        }
    }

    // The rate a proxy that keeps the part `in` of what all of them ask for: the busiest are cut first.
    static double cap_for(std::vector<double> rates, double in) {
        double left = 0;
        for (const double r : rates) left += r * in;
        std::sort(rates.begin(), rates.end());
        for (std::size_t k = 0; k < rates.size(); ++k) {
            const double even = left / static_cast<double>(rates.size() - k);
            if (even <= rates[k]) return std::max(0.1, std::round(even * 10) / 10);
            left -= rates[k];
        }
        return kAnyRate;
    }

    void want_levels(Micros now) {
        if (admit == Admit::None || work.empty()) return;
        // Only zones with proxies of this governor's own count: the others' jams are not heard here.
        double mean = 0, heads = 0;
        for (const auto& [id, proxy] : fleet) {
            if (!proxy.joined || proxy.zone.v < 0 || proxy.zone.v >= zones) continue;
            mean += shed[static_cast<std::size_t>(proxy.zone.v)];
            heads += 1;
        }
        if (heads > 0) mean /= heads;
        set_levels(now, full_table(), -1, open_ops, mean, 1);
        for (int z = 0; z < zones; ++z) {
            double carried = 0, listed = 0;
            for (const auto& [id, server] : servers) {
                if (server.zone.v != z || server.state != ServerState::Ready) continue;
                listed += server.weight;
                carried += server.weight * eased(now, server, 1);
            }
            const double warm = listed > 0 ? std::min(1.0, 2 * carried / listed) : 1;
            set_levels(now, zone_table({z}), z, open_ops, shed[static_cast<std::size_t>(z)], 1);
            if (own_ops) set_levels(now, own_table({z}), z, own_ops, shed[static_cast<std::size_t>(z)], warm);
        }
    }

    // ---- the wanted state ----------------------------------------------------------------------------

    // DESIGN: a quarter, rising. Lower where a quarter of a jam's load could push the server over: what it
    // surely can do rises evenly from the cold share, and of two drawn the idle newcomer is mostly the one
    // picked.
    double eased(Micros now, const Server& server, double pressed) const {
        if (cold_time <= Micros{0} || server.started <= Micros{0} || server.started + cold_time <= now)
            return 1;
        const double age = std::max(0.0, seconds(now - server.started) / seconds(cold_time));
        // Proxies that restarted with it have been sending by tables of their own (bkk-render, a zone lost
        // with its proxies): what they sent must be out of the window before this governor's orders can be
        // counted for it.
        if (pressed >= kDeepJam || now < server.known + fall_time) return 0;
        const double step = std::floor(age * 8) / 8;
        const double bears =
            fall_room > 0 ? fall_room / std::max(kRushed, pressed) * (cold_from + (1 - cold_from) * step) : 1;
        return std::min(std::max(kFreshPart, step), bears);
    }
    double part_in(Micros now, ZoneId z, ServerId id, const Server& server) const {
        const auto it = standings.find({z, id});
        const bool trial = it != standings.end() && it->second.phase == Phase::Trial;
        return server.weight * std::min(eased(now, server, rush), trial ? kFreshPart : 1.0);
    }

    // What the hardest-pressed zone's servers carry, as a multiple of the mean.
    double worst_load(const std::vector<double>& demand, const std::vector<double>& carried,
                      bool only_hurt = false) const {
        double all = 0, worst = 0;
        for (const double c : carried) all += c;
        for (std::size_t z = 0; z < carried.size(); ++z)
            if (demand[z] > 0 && (!only_hurt || hurt[z] == kHurt))
                worst = std::max(worst, demand[z] * all / std::max(1e-9, carried[z]));
        return worst;
    }

    // Whether spreading a hurt zone's demand has somewhere to go, as far as this governor hears.
    bool others_calm() const {
        return std::any_of(hurt.begin(), hurt.end(), [](char h) { return h == kCalm; });
    }

    void want(Micros now) {
        std::vector<Share> ready;
        double mean = 0;
        for (const auto& [id, server] : servers) {
            if (server.state != ServerState::Ready) continue;
            const double carries = is_out(server.zone, id) ? 0 : part_in(now, server.zone, id, server);
            ready.push_back({id, server.zone, server.weight, carries});
            mean += server.weight;
        }
        if (!ready.empty()) mean /= static_cast<double>(ready.size());
        for (Share& s : ready) s.listed /= mean, s.carries /= mean;
        Allotment next = allot(share, ready, placed);
        // The hold rounds are for drift; a zone past the design's own ceiling is not left there to wait.
        if (const auto fresh = shares(now); next.full_because.empty() && now >= next_haste &&
                                            worst_load(fresh, next.carried) > 1 + kOverload) {
            share = fresh;
            off_rounds = 0;
            next_haste = now + kAckWait;
            next = allot(share, ready, placed);
        }
        if (next.full_because.empty() &&
            worst_load(share, next.carried, true) > (!others_calm()         ? kSpreadBlindAt
                                                     : admit == Admit::None ? kSpreadNoLevels
                                                                            : kSpreadAt))
            next.full_because = "a zone stays over the ceiling after all moves";
        if (!next.full_because.empty()) {
            if (!full || full_because != next.full_because) log("full table for all: " + next.full_because);
            full_because = next.full_because;
            full = true;
            calm_rounds = 0;
        } else if (full && ((calm_rounds >= kHoldRounds && cold_part(now) <= 0) || rounds == 0)) {
            full = false;
            log("zone tables again");
        }
        placed = std::move(next.at);
        for (int z = 0; z <= 2 * zones; ++z) tables[{z}].want.clear();
        for (const Share& s : ready) {
            const Server& server = servers[s.server];
            int out_in = 0;
            for (int z = 0; z < zones; ++z) out_in += is_out({z}, s.server);
            if (const double part = eased(now, server, rush); part > 0 && out_in * 2 < zones)
                tables[full_table()].want[s.server] = server.weight * part;
            else if (part <= 0)
                continue;
            if (const auto it = placed.find(s.server); it != placed.end() && !is_out(it->second, s.server))
                tables[zone_table(it->second)].want[s.server] = part_in(now, it->second, s.server, server);
            if (own_ops && server.zone.v >= 0 && server.zone.v < zones && !is_out(server.zone, s.server))
                tables[own_table(server.zone)].want[s.server] = part_in(now, server.zone, s.server, server);
        }
        refill(ready);
    }

    // No verdict may leave a table bare that a proxy needs (a zone all of whose servers are judged out).
    void refill(const std::vector<Share>& ready) {
        std::set<TableId> bare;
        for (int t = zones; t <= 2 * zones; ++t)
            if (tables[{t}].want.empty()) bare.insert({t});
        for (const Share& s : ready) {
            if (bare.contains(full_table())) tables[full_table()].want[s.server] = servers[s.server].weight;
            if (own_ops && s.zone.v >= 0 && s.zone.v < zones && bare.contains(own_table(s.zone)))
                tables[own_table(s.zone)].want[s.server] = servers[s.server].weight;
        }
    }

    std::map<OpMask, TableId> binding(const Proxy& proxy) {
        std::map<OpMask, TableId> wanted;
        const bool known = proxy.zone.v >= 0 && proxy.zone.v < zones;
        const bool whole = full || !known || tables[zone_table(proxy.zone)].want.empty();
        if (open_ops)
            wanted[open_ops == all_ops ? 0 : open_ops] = whole ? full_table() : zone_table(proxy.zone);
        if (own_ops) wanted[own_ops == all_ops ? 0 : own_ops] = known ? own_table(proxy.zone) : full_table();
        return wanted;
    }

    // ---- the difference, and what the channel bears ---------------------------------------------------

    void drain_channel(Micros now) {
        waiting = std::max(0.0, waiting - seconds(now - drained_at) * rate * kSurePace);
        drained_at = now;
    }
    bool may_write(Micros now, const Proxy& proxy, bool must) const {
        if (messages_most <= 0) return true;
        const double sent = proxy.messages.sum(now, messages_bucket).count;
        return sent + 1 <= (must ? messages_most - 1 : messages_most * kCanWaitPart);
    }
    std::map<TableId, std::vector<ProxyId>> users_of_tables() const {
        std::map<TableId, std::vector<ProxyId>> users;
        for (const auto& [id, proxy] : fleet)
            for (const auto& [ops, table] : proxy.bound)
                if (proxy.joined && (users[table].empty() || users[table].back() != id))
                    users[table].push_back(id);
        return users;
    }

    // Marks answered or two seconds gone: the table may change again.
    static bool paced(Micros now, const Table& table) {
        return table.unacked.empty() || now - table.pushed >= kAckWait;
    }

    // Tables nobody uses are laid first, so that a binding finds its table whole and a table is never emptied
    // under a proxy; then what may not wait, bindings, and the rest. All that is ordered at one time is one
    // message a proxy.
    void emit(Micros now) {
        drain_channel(now);
        planned.clear();
        planned_lines = 0;
        auto users = users_of_tables();
        for (auto& [id, table] : tables) emit_table(now, id, table, users[id], true);
        for (auto& [id, proxy] : fleet) emit_binding(now, id, proxy);
        users = users_of_tables();
        for (auto& [id, table] : tables) emit_table(now, id, table, users[id], false);
        if (planned.empty()) return;
        mark = next_mark();
        if (before_mark.size() > 64) before_mark.clear();
        before_mark[mark] = written;
        out.push_back(act::Mark{{mark}, false});
        for (const ProxyId id : planned) fleet[id].messages.at(now, messages_bucket).count += 1;
        waiting += planned_lines;
        written += planned_lines;
    }
    int next_mark() const { return (mark + 1) % 65536; }

    // How many lines more each of these proxies may be sent now, heads and marks included.
    double room_for(Micros now, const std::vector<ProxyId>& users, bool must) const {
        double heads = 0;
        for (const ProxyId user : users) {
            if (planned.contains(user)) continue;
            if (!may_write(now, fleet.at(user), must)) return 0;
            heads += head + 1;
        }
        const double left =
            lines_most * (must ? kMustGoPart : kCanWaitPart) - waiting - planned_lines - heads;
        return left / static_cast<double>(users.size());
    }
    void plan(const std::vector<ProxyId>& users, double lines) {
        for (const ProxyId user : users) planned_lines += lines + (planned.insert(user).second ? head + 1 : 0);
    }

    // A table's difference, the most urgent first: what is lost or too much for a cold server, newcomers and
    // levels, and last what moved away, so that a part of it leaves the table whole. Only as much goes as the
    // channel bears: sent whole or not at all, a removal waited with the additions beside it past the grace
    // for drains (bkk-render-later, incident i918870, many servers gone at once).
    std::vector<Action> due_lines(TableId id, const Table& table, std::size_t& urgent) const {
        std::vector<Action> lost, added, moved;
        bool stays = false;
        for (const auto& [server, weight] : table.have) {
            if (table.want.contains(server))
                stays = true;
            else
                (listed_ready(server) ? moved : lost).push_back(act::Line{id, server, 0});
        }
        for (const auto& [server, weight] : table.want) {
            const auto it = table.have.find(server);
            if (it != table.have.end() && std::abs(it->second - weight) < 1e-9) continue;
            (it != table.have.end() && weight < it->second ? lost : added)
                .push_back(act::Line{id, server, weight});
        }
        for (const auto& [op, let_in] : table.level_want) {
            const auto it = table.level_have.find(op);
            if (it != table.level_have.end() && it->second == let_in) continue;
            added.push_back(act::Level{id, OpMask{1} << op.v, let_in, Again::AfterProof});
        }
        // A table that loses all it has gets newcomers before it is emptied.
        const bool renewed = !stays && !added.empty() && !lost.empty();
        urgent = lost.size() + (renewed ? added.size() : 0);
        std::vector<Action> all(renewed ? added : lost);
        all.insert(all.end(), renewed ? lost.begin() : added.begin(), renewed ? lost.end() : added.end());
        all.insert(all.end(), moved.begin(), moved.end());
        return all;
    }

    void emit_table(Micros now, TableId id, Table& table, const std::vector<ProxyId>& users, bool must) {
        // Its users could not be bound elsewhere yet, or have nowhere to go: only what is lost leaves it
        // (cnx-labels big-2, a zone lost: its own-zone table went on naming gone servers).
        if (table.want.empty() && !users.empty())
            for (const auto& [server, weight] : table.have)
                if (listed_ready(server)) table.want[server] = weight;
        std::size_t count = 0;
        const std::vector<Action> lines = due_lines(id, table, count);
        if (!must || users.empty()) count = lines.size();
        if (!users.empty()) {
            if (!must && !paced(now, table)) return;
            count = std::min(count, static_cast<std::size_t>(std::max(0.0, room_for(now, users, must))));
        }
        if (count == 0) return;
        for (std::size_t k = 0; k < count; ++k) {
            if (const auto* line = std::get_if<act::Line>(&lines[k])) {
                if (line->weight > 0)
                    table.have[line->server] = line->weight;
                else
                    table.have.erase(line->server);
            } else {
                const OpId op{std::countr_zero(std::get<act::Level>(lines[k]).ops)};
                table.level_have[op] = table.level_want[op];
            }
            out.push_back(lines[k]);
        }
        if (users.empty()) return;
        plan(users, static_cast<double>(count));
        table.unacked = {users.begin(), users.end()};
        table.pushed = now;
        table.mark = next_mark();
    }

    // A proxy that has no table of ours may hold lines that drain; one that changes over can wait.
    void emit_binding(Micros now, ProxyId id, Proxy& proxy) {
        if (!proxy.joined) return;
        const auto wanted = binding(proxy);
        if (wanted == proxy.bound) return;
        double cost = 0;
        for (const auto& [ops, table] : wanted)
            cost += 1 + static_cast<double>(tables[table].have.size() + tables[table].level_have.size());
        if (room_for(now, {id}, proxy.bound.empty()) < cost) return;
        for (const auto& [ops, table] : wanted) {
            const auto it = proxy.bound.find(ops);
            if (it == proxy.bound.end() || it->second != table) out.push_back(act::Bind{table, ops, id});
        }
        proxy.bound = wanted;
        plan({id}, cost);
    }

    // ---- slices: legal and plain ----------------------------------------------------------------------

    // A line whose server is lost goes to the ready server with the fewest slices. Where a slice has one
    // owner, the next one gets it only when all writes of the former are over.
    void want_slices(Micros now) {
        std::map<ServerId, int> held;
        for (const auto& [id, server] : servers)
            if (server.state == ServerState::Ready) held[id] = 0;
        for (const auto& [id, table] : tables)
            for (const auto& [server, weight] : table.have)
                if (held.contains(server)) ++held[server];
        for (auto& [id, table] : tables) {
            for (auto it = table.have.begin(); it != table.have.end();) {
                if (held.contains(it->first)) {
                    ++it;
                    continue;
                }
                out.push_back(act::Line{id, it->first, 0});
                it = table.have.erase(it);
                vacant[id] = exclusive ? now + owner_wait : now;
            }
            if (!table.have.empty() || held.empty()) continue;
            if (const auto it = vacant.find(id); it != vacant.end() && now < it->second) continue;
            const auto least = std::min_element(held.begin(), held.end(),
                                                [](auto& a, auto& b) { return a.second < b.second; });
            ++least->second;
            table.have[least->first] = 1;
            out.push_back(act::Line{id, least->first, 1});
        }
    }

    std::vector<Action> decide(Micros now) {
        if (ask && !watching && now >= watch_at) {
            out.push_back(act::Watch{true});
            watching = true;
            watch_at = now + kRound;
        }
        if (slices) {
            want_slices(now);
        } else {
            if (rounds == 0) share = shares(now);
            if (now >= next_round) round(now);
            follow_missing(now);
            judge(now);
            weigh_pressure(now);
            want(now);
            want_levels(now);
            emit(now);
        }
        if (!beating) {
            beating = true;
            out.push_back(act::Timer{"beat", kBeat});
        }
        return std::exchange(out, {});
    }
};

// No decision draws lots so far, so the seed has no use yet.
Governor::Governor(const Settings& told, std::uint64_t, Micros now)
    : mind_(std::make_unique<Mind>(told, now)) {}
Governor::~Governor() = default;
Governor::Governor(Governor&&) noexcept = default;
Governor& Governor::operator=(Governor&&) noexcept = default;

void Governor::take(Micros now, const Event& event) {
    std::visit([&](const auto& e) { mind_->on(now, e); }, event);
}
std::vector<Action> Governor::decide(Micros now) { return mind_->decide(now); }

}  // namespace badgergrade
