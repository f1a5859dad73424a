// A stand-in for the world of one key-range deployment with exclusive owners, on the simulator's wire and
// on the real clock: the store, the proxies, the replicas and the channel. It starts the program that the
// deploy file names under `sim` as a process of its own and plays one short day against it.
//
// What it may do is what WIRE-badgergrade.md says of slices: a slice has one line in the store; proxies
// read the store when they join or a slice is given; a proxy whose stream broke goes on with what it
// holds for extra.tenure and then sends no writes until it has read the store; a write that a replica
// has accepted ends within extra.settle; messages reach a proxy late and in order.
//
// The check is invariant 2 for exclusive sites: a write must not reach a replica while another replica
// holds a write of the same slice, nor a former owner after a later one has accepted a write.
//
// Usage: slice_world --sim COMMAND --day restart|cut --trouble 0|1 --record FILE
// Exit: 0 the rule held, 1 it was broken, 2 the day could not be played.
#include <deque>
#include <random>
#include <thread>

#include "sim_process.h"

namespace {

using namespace standins;

// Settings of the day, in milliseconds.
constexpr double kSettle = 4020;       // extra.settle
constexpr double kTenure = 2500;       // extra.tenure
constexpr double kPushDelayMax = 920;  // extra.push_delay_max
constexpr double kBufferFor = 300;     // extra.buffer_for
constexpr double kEmptyFor = 15000;    // extra.empty_for: long enough for every wait that the rule asks for
constexpr double kLinesPerMs = 14;     // extra.channel_rate / 1000
constexpr double kHeadLines = 3;       // extra.per_message
constexpr double kTick = 10;
constexpr int kSlices = 6;
constexpr int kProxies = 3;
constexpr double kLongestWrite = 4000;  // the deadline, below kSettle
constexpr double kShortestWrite = 2000;
constexpr double kWriteEvery = 100;     // one proxy, one slice
constexpr double kClockStart = 100000;
constexpr const char* kGovernor = "governor/0";

// ---- the world

struct Replica {
    std::uint32_t id;
    char name;
    int availability;  // 1 ready, 2 draining
};

struct Write {
    int number;
    int proxy;
    int slice;
    std::uint32_t replica;
    double ends;
};

struct Message {
    double arrives;
    std::vector<std::pair<int, std::uint32_t>> lines;  // slice, replica; 0: line removed
    std::vector<int> barriers;
    double ordered;
};

struct Proxy {
    bool joined = true;
    double broken_at = -1;      // -1: the stream stands and the store was read since
    double rejoins_at = -1;
    double reads_store_at = -1;
    std::map<int, std::uint32_t> table;
    std::deque<Message> on_the_way;
    double last_arrival = 0;
    std::vector<double> next_write = std::vector<double>(kSlices);
};

class World {
public:
    World(std::string command, std::string day, bool trouble)
        : command_(std::move(command)), day_(std::move(day)), trouble_(trouble) {
        replicas_ = {{51530247, 'A', 1}, {747639282, 'B', 1}, {1290466013, 'C', 1}};
        for (int slice = 0; slice < kSlices; ++slice) {
            store_[slice] = replicas_[static_cast<std::size_t>(slice) % 3].id;
            owners_[slice] = {store_[slice]};
        }
        for (int p = 0; p < kProxies; ++p) {
            Proxy proxy;
            proxy.table = store_;
            for (int slice = 0; slice < kSlices; ++slice) {
                proxy.next_write[static_cast<std::size_t>(slice)] = 500 + 17 * p + 23 * slice;
            }
            proxies_.push_back(proxy);
        }
    }

    bool play() {
        start_governor();
        double latest = 0;
        const double end = 16000;
        for (double due = kTick; due < end; due += kTick) {
            std::this_thread::sleep_until(began + std::chrono::microseconds(static_cast<long>(due * 1000)));
            const double now = now_ms();
            latest = std::max(latest, now - due);
            step(now);
        }
        adapter_.kill_now();
        check_own_time(latest);
        record("writes: sent %d, ended %d, refused for want of an owner %d", last_write_, ended_, refused_);
        record("writes that reached a replica while another held one of the same slice: %d", overlaps_);
        record("writes that reached a former owner after a later one accepted one: %d", late_);
        for (int slice = 0; slice < kSlices; ++slice) {
            std::string text;
            for (const std::uint32_t owner : owners_[slice]) {
                text += std::string(" ") + name(owner);
            }
            record("slice %d: replicas that accepted writes, in order:%s", slice, text.c_str());
        }
        if (last_write_ == 0 || !moved_) {
            cannot_run("no write was sent, or no slice got a new owner: nothing was shown");
        }
        return overlaps_ == 0 && late_ == 0;
    }

private:
    char name(std::uint32_t id) const {
        for (const Replica& replica : replicas_) {
            if (replica.id == id) {
                return replica.name;
            }
        }
        return '-';
    }

    void event(const std::string& line) { events_ += line + "\n"; }

    void list_event(int form) {
        event("inventory\tref=0\trecords=" + std::to_string(replicas_.size()));
        for (const Replica& r : replicas_) {
            event("row\tavailability=" + std::to_string(r.availability) +
                  "\tblock=0\tpart=1\tfamily_type=0\treplica=" + std::to_string(r.id) + "\track_zone=0");
        }
        event(std::string("targets\tgovernor_id=") + kGovernor + "\tform=" + std::to_string(form) +
              "\tversion=" + std::to_string(++version_) + "\tref=0");
    }

    // Starts the process, and gives it the settings, its last list, the slices with their lines, and
    // the streams that stand.
    void start_governor() {
        adapter_.start(command_);
        timers_.clear();
        seed_ += 7919;
        event("up\tgovernor_id=" + std::string(kGovernor) + "\tprng=" + std::to_string(seed_) +
              "\tbalancers=1\tordinal=0\tquantum=10.0\tzone=0\tzones=bang-na\tweights=none\tdiscovery=pushed"
              "\tkind_of_service=control\treport.how=none\treport.columns=\tbounds.may_probe=false"
              "\tbounds.peers=false\tbounds.conn_idle=15000.0\trequest_classes.count=1"
              "\trequest_classes.0.name=place-job\trequest_classes.0.aim=1200.0"
              "\trequest_classes.0.deadline=4000.0\trequest_classes.0.effect=unsafe"
              "\trequest_classes.0.worth=3.0\textra.admit=none\textra.lb_method=two"
              "\textra.class_own_zone=false\textra.write_classes=true\textra.exclusive=true"
              "\textra.key_ranges=" + std::to_string(kSlices) +
              "\textra.data_plane_size=" + std::to_string(kProxies) +
              "\textra.settle=" + std::to_string(kSettle) + "\textra.tenure=" + std::to_string(kTenure) +
              "\textra.push_delay_max=" + std::to_string(kPushDelayMax) + "\textra.transit=368.0"
              "\textra.buffer_for=" + std::to_string(kBufferFor) +
              "\textra.empty_for=" + std::to_string(kEmptyFor) +
              "\textra.channel_rate=14000.0\textra.pending_max=14000.0\textra.per_message=3.0"
              "\textra.reloads_max=0\textra.update_window=10000.0\textra.period=2000.0"
              "\textra.intake_per_s=500.0\textra.default_retry=1\textra.try_factor=0.8"
              "\textra.outlier_after=5\trules.cold=15000.0\trules.cold_from=0.17"
              "\trules.stop_sending_within=3000.0\trules.tip_after=1500.0\trules.tip_multiple=3.0");
        list_event(2);
        for (int slice = 0; slice < kSlices; ++slice) {
            event("tenure\tgovernor_id=" + std::string(kGovernor) + "\tmap_id=" + std::to_string(slice) +
                  "\tflag=1");
            if (store_[slice] != 0) {
                event("in_store\tgovernor_id=" + std::string(kGovernor) + "\tmap_id=" +
                      std::to_string(slice) + "\tpart=1\treplica=" + std::to_string(store_[slice]));
            }
        }
        for (int p = 0; p < kProxies; ++p) {
            if (proxies_[static_cast<std::size_t>(p)].joined) {
                joined_event(p);
            }
        }
        record("governor started; slices without a line in the store: %d", vacant_count());
    }

    int vacant_count() {
        int vacant = 0;
        for (int slice = 0; slice < kSlices; ++slice) {
            vacant += store_[slice] == 0 ? 1 : 0;
        }
        return vacant;
    }

    void joined_event(int p) {
        event("connected\tgovernor_id=" + std::string(kGovernor) + "\tsidecar=" + std::to_string(p) +
              "\tflag=0\track_zone=0\tpart=10");
    }

    void break_stream(int p, double now) {
        Proxy& proxy = proxies_[static_cast<std::size_t>(p)];
        if (!proxy.joined) {
            return;
        }
        proxy.joined = false;
        proxy.on_the_way.clear();
        if (proxy.broken_at < 0) {
            proxy.broken_at = now;
        }
        proxy.reads_store_at = -1;
        record("stream of proxy %d broke", p);
    }

    // What the day does. Both days: replica A is listed as draining at 4 s, as in a planned release.
    void script(double now) {
        if (!drained_ && now >= 4000) {
            drained_ = true;
            replicas_[0].availability = 2;
            record("list: replica A drains");
            list_event(1);
        }
        if (!trouble_) {
            return;
        }
        if (day_ == "restart") {
            if (!killed_ && now >= 4600) {
                killed_ = true;
                adapter_.kill_now();
                events_.clear();
                record("governor killed");
                for (int p = 0; p < kProxies; ++p) {
                    break_stream(p, now);
                    proxies_[static_cast<std::size_t>(p)].rejoins_at = 7400 + 150 * p;
                }
            }
            if (killed_ && !restarted_ && now >= 7300) {
                restarted_ = true;
                start_governor();
            }
        }
        if (day_ == "cut") {
            if (!cut_ && now >= 3800) {
                cut_ = true;
                break_stream(0, now);
                proxies_[0].rejoins_at = 13800;
            }
            if (cut_ && !cut_told_ && now >= 4300) {
                cut_told_ = true;
                event("left\tgovernor_id=" + std::string(kGovernor) + "\tsidecar=0");
            }
        }
    }

    void step(double now) {
        script(now);
        end_writes(now);
        for (int p = 0; p < kProxies; ++p) {
            step_proxy(p, now);
        }
        step_governor(now);
    }

    void step_proxy(int p, double now) {
        Proxy& proxy = proxies_[static_cast<std::size_t>(p)];
        if (!proxy.joined && proxy.rejoins_at >= 0 && now >= proxy.rejoins_at && adapter_.running()) {
            proxy.joined = true;
            proxy.rejoins_at = -1;
            proxy.reads_store_at = now + 200 + 200 * p;  // within a second
            proxy.last_arrival = 0;
            record("proxy %d joined", p);
            joined_event(p);
        }
        if (proxy.joined && proxy.reads_store_at >= 0 && now >= proxy.reads_store_at) {
            proxy.reads_store_at = -1;
            proxy.broken_at = -1;
            proxy.table = store_;
            record("proxy %d read the store", p);
        }
        while (!proxy.on_the_way.empty() && proxy.on_the_way.front().arrives <= now) {
            const Message message = proxy.on_the_way.front();
            proxy.on_the_way.pop_front();
            for (const auto& [slice, replica] : message.lines) {
                proxy.table[slice] = replica;
            }
            record("proxy %d applied a message of %zu lines", p, message.lines.size());
            for (const int barrier : message.barriers) {
                event("in_force\tgovernor_id=" + std::string(kGovernor) + "\tsidecar=" + std::to_string(p) +
                      "\tversion=" + std::to_string(barrier) + "\ttook=" +
                      std::to_string(now - message.ordered));
            }
        }
        const bool may_write = proxy.broken_at < 0 || now < proxy.broken_at + kTenure;
        for (int slice = 0; slice < kSlices; ++slice) {
            double& due = proxy.next_write[static_cast<std::size_t>(slice)];
            if (now < due) {
                continue;
            }
            due += kWriteEvery;
            if (!may_write || proxy.table[slice] == 0) {
                ++refused_;
                continue;
            }
            send_write(p, slice, proxy.table[slice], now);
        }
    }

    void send_write(int p, int slice, std::uint32_t replica, double now) {
        const double span =
            kShortestWrite + (kLongestWrite - kShortestWrite) * std::generate_canonical<double, 32>(random_);
        const Write write{++last_write_, p, slice, replica, now + span};
        for (const Write& held : in_hand_) {
            if (held.slice == slice && held.replica != replica) {
                ++overlaps_;
                if (overlaps_ <= 40) {
                    record("BROKEN: write %d of slice %d from proxy %d reaches %c, while %c holds write %d "
                           "of it from proxy %d for %.0f ms more",
                           write.number, slice, p, name(replica), name(held.replica), held.number,
                           held.proxy, held.ends - now);
                }
                break;
            }
        }
        auto& owners = owners_[slice];
        if (owners.back() != replica) {
            if (std::find(owners.begin(), owners.end(), replica) != owners.end()) {
                ++late_;
                if (late_ <= 40) {
                    record("BROKEN: write %d of slice %d from proxy %d reaches the former owner %c after %c",
                           write.number, slice, p, name(replica), name(owners.back()));
                }
            } else {
                owners.push_back(replica);
                moved_ = true;
                record("slice %d: first write at its new owner %c", slice, name(replica));
            }
        }
        in_hand_.push_back(write);
    }

    void end_writes(double now) {
        std::erase_if(in_hand_, [&](const Write& write) {
            ended_ += write.ends <= now ? 1 : 0;
            return write.ends <= now;
        });
    }

    void step_governor(double now) {
        if (!adapter_.running()) {
            events_.clear();
            return;
        }
        std::vector<std::string> due;
        std::erase_if(timers_, [&](const auto& timer) {
            if (timer.first > now) {
                return false;
            }
            due.push_back(timer.second);
            return true;
        });
        for (const auto& mark : due) {
            event("due\tgovernor_id=" + std::string(kGovernor) + "\tmark=" + mark);
        }
        if (events_.empty()) {
            return;
        }
        const std::string batch = "frame\ttime=" + std::to_string(kClockStart + now) +
                                  "\tturn=" + std::to_string(++turn_) + "\n" + events_ + "flush\n";
        events_.clear();
        apply(adapter_.exchange(batch), now);
    }

    void apply(const std::vector<std::string>& actions, double now) {
        std::vector<std::pair<int, std::uint32_t>> lines;
        std::vector<int> barriers;
        for (const std::string& line : actions) {
            const std::string word = line.substr(0, line.find('\t'));
            if (word == "timer") {
                timers_.emplace_back(now + std::stod(field(line, "offset")), field(line, "mark"));
            } else if (word == "set_weight") {
                const int slice = std::stoi(field(line, "map_id"));
                const auto replica = static_cast<std::uint32_t>(std::stoul(field(line, "replica")));
                const bool removed = !(std::stod(field(line, "part")) > 0);
                if (removed && store_[slice] != replica) {
                    continue;
                }
                store_[slice] = removed ? 0 : replica;
                lines.emplace_back(slice, store_[slice]);
                record("order: slice %d, replica %c %s", slice, name(replica), removed ? "removed" : "set");
            } else if (word == "barrier") {
                barriers.push_back(std::stoi(field(line, "version")));
            } else if (word == "broken") {
                cannot_run("the adapter gave up: " + line);
            } else if (word != "record") {
                record("order not used here: %s", line.c_str());
            }
        }
        if (lines.empty()) {
            return;
        }
        for (int p = 0; p < kProxies; ++p) {
            Proxy& proxy = proxies_[static_cast<std::size_t>(p)];
            if (!proxy.joined) {
                continue;
            }
            channel_free_ = std::max(channel_free_, now) +
                            (kHeadLines + static_cast<double>(lines.size())) / kLinesPerMs;
            const double way = 100 + 600 * std::generate_canonical<double, 32>(random_);
            proxy.last_arrival = std::max(proxy.last_arrival, channel_free_ + way);
            proxy.on_the_way.push_back({proxy.last_arrival, lines, barriers, now});
        }
    }

    std::string command_;
    std::string day_;
    bool trouble_;
    Adapter adapter_;
    std::vector<Replica> replicas_;
    std::map<int, std::uint32_t> store_;
    std::vector<Proxy> proxies_;
    std::vector<Write> in_hand_;
    std::map<int, std::vector<std::uint32_t>> owners_;
    std::string events_;
    std::vector<std::pair<double, std::string>> timers_;
    std::mt19937 random_{20261205};
    std::uint64_t seed_ = 1521062518804638ULL;
    double channel_free_ = 0;
    int version_ = 40;
    int turn_ = 0;
    int last_write_ = 0;
    int ended_ = 0;
    int refused_ = 0;
    int overlaps_ = 0;
    int late_ = 0;
    bool moved_ = false;
    bool drained_ = false;
    bool killed_ = false;
    bool restarted_ = false;
    bool cut_ = false;
    bool cut_told_ = false;
};

}  // namespace

int main(int argc, char** argv) {
    auto arguments = options(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    began = Clock::now();
    record_file = std::fopen(arguments["--record"].c_str(), "w");
    if (!record_file || arguments["--sim"].empty() ||
        (arguments["--day"] != "restart" && arguments["--day"] != "cut")) {
        std::fprintf(stderr, "usage: slice_world --sim COMMAND --day restart|cut --trouble 0|1 --record FILE\n");
        return 2;
    }
    record("day %s, trouble %s", arguments["--day"].c_str(), arguments["--trouble"].c_str());
    World world(arguments["--sim"], arguments["--day"], arguments["--trouble"] != "0");
    const bool held = world.play();
    record("%s", held ? "the rule held" : "the rule was broken");
    std::fclose(record_file);
    return held ? 0 : 1;
}
