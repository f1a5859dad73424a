#include "scenario/script.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace badgergrade::scenario {
namespace {

using namespace std::chrono_literals;
using config::ConfigError;

// What each trouble takes: whom it strikes, and which of the words it needs.
struct Shape {
    FaultKind kind;
    const char* name;
    const char* whom;   // workers, forwarders, zone, governor, none
    const char* needs;  // words that must stand there
    const char* may;    // words that may
};

constexpr Shape kTroubles[] = {
    {FaultKind::Crash, "crash", "workers", "", "for unlisted"},
    {FaultKind::Hang, "hang", "workers", "for", ""},
    {FaultKind::FastErrors, "fast-errors", "workers", "by for", ""},
    {FaultKind::Slow, "slow", "workers", "by for", ""},
    {FaultKind::GradualSlowdown, "ageing", "workers", "by for", "down"},
    {FaultKind::Flapping, "flapping", "workers", "turn by for", "how unlisted"},
    {FaultKind::ZoneCut, "zone-cut", "zone", "for", ""},
    {FaultKind::ZoneLoss, "zone-loss", "zone", "for", "with-forwarders with-governors"},
    {FaultKind::Burst, "burst", "none", "by for", ""},
    {FaultKind::Shift, "shift", "zone", "by", "over"},
    {FaultKind::SlowChannel, "slow-channel", "none", "by for", ""},
    {FaultKind::StreamsBreak, "streams-break", "forwarders", "", ""},
    {FaultKind::InstancesUnreachable, "governors-unreachable", "forwarders", "for", ""},
    {FaultKind::InstanceCrash, "governor-crash", "governor", "for", ""},
    {FaultKind::NoisyNeighbour, "neighbour", "workers", "by for", "turn"},
    {FaultKind::ConnectionLimit, "conn-squeeze", "workers", "by for", ""},
    {FaultKind::ShortAttemptTimeouts, "give-up", "none", "by for", ""},
    {FaultKind::StaleList, "wrong-list", "none", "for by", ""},
    {FaultKind::AddServers, "grow", "workers", "", ""},
    {FaultKind::ResponsesLost, "answers-lost", "workers", "by for", ""},
    {FaultKind::SlowLink, "slow-link", "zone", "wait for", "by"},
    {FaultKind::LoadUnderreported, "counters-falling", "workers", "by for", ""},
    {FaultKind::Drain, "drain", "workers", "", "for"},
    {FaultKind::ProxyCrash, "forwarder-crash", "forwarders", "for", ""},
    {FaultKind::ProxyStall, "forwarder-stall", "forwarders", "for", ""},
    {FaultKind::RegistryHang, "registry-hang", "none", "for", ""},
    {FaultKind::RegistryRestart, "registry-restart", "none", "", "how"},
    {FaultKind::RegistryGarbage, "registry-garbage", "none", "for", ""},
};

struct Wrong : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The words of one line, taken from the front.
class Words {
public:
    explicit Words(const std::string& line) {
        std::istringstream in(line.substr(0, line.find('#')));
        for (std::string word; in >> word;) {
            words_.push_back(word);
        }
    }

    bool empty() const { return at_ >= words_.size(); }

    const std::string& peek() const {
        static const std::string kNone;
        return empty() ? kNone : words_[at_];
    }

    std::string word(const char* what) {
        if (empty()) {
            throw Wrong(std::string("wants ") + what);
        }
        return words_[at_++];
    }

    bool skip(const char* word) { return peek() == word ? (++at_, true) : false; }

    // "25%" is 0.25; "0.25" is itself.
    double part(const char* what) {
        const std::string text = word(what);
        const bool percent = !text.empty() && text.back() == '%';
        return number_of(percent ? text.substr(0, text.size() - 1) : text, what) /
               (percent ? 100 : 1);
    }

    double number(const char* what) { return number_of(word(what), what); }

    int whole(const char* what, int least, int most) {
        const double n = number(what);
        if (n != std::floor(n) || n < least || n > most) {
            throw Wrong(std::string(what) + " is a whole number from " + std::to_string(least) +
                        " to " + std::to_string(most));
        }
        return static_cast<int>(n);
    }

    Range range(const char* what) {
        const std::string text = word(what);
        const auto dots = text.find("..");
        if (dots == std::string::npos) {
            const double one = number_of(text, what);
            return {one, one};
        }
        const Range out{number_of(text.substr(0, dots), what),
                        number_of(text.substr(dots + 2), what)};
        if (out.low > out.high) {
            throw Wrong(std::string(what) + ": the range runs backwards");
        }
        return out;
    }

    Micros time(const char* what) {
        std::string text = word(what);
        if (is_unit(peek())) {
            text += " " + words_[at_++];
        }
        std::string why;
        const auto out = config::parse_time(text, why);
        if (!out) {
            throw Wrong(why);
        }
        if (*out < 0us) {
            throw Wrong(std::string(what) + " is below zero");
        }
        return *out;
    }

    // "80..370 ms" in microseconds.
    Range times(const char* what) {
        const Range numbers = range(what);
        const std::string unit = word("a unit of time");
        std::string why;
        const auto one = config::parse_time("1 " + unit, why);
        if (!one) {
            throw Wrong(why);
        }
        const auto us = static_cast<double>(one->count());
        return {numbers.low * us, numbers.high * us};
    }

private:
    static bool is_unit(const std::string& word) {
        return word == "us" || word == "ms" || word == "s" || word == "min" || word == "h";
    }

    static double number_of(const std::string& text, const char* what) {
        double out = 0;
        const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out);
        if (bad != std::errc{} || end != text.data() + text.size() || !std::isfinite(out) ||
            out < 0) {
            throw Wrong("'" + text + "' is no number for " + what);
        }
        return out;
    }

    std::vector<std::string> words_;
    std::size_t at_ = 0;
};

bool holds(const std::string& words, const std::string& word) {
    std::istringstream in(words);
    for (std::string one; in >> one;) {
        if (one == word) {
            return true;
        }
    }
    return false;
}

MachineKind read_kind(Words& in) {
    MachineKind out;
    out.name = in.word("a name");
    while (!in.empty()) {
        const std::string key = in.word("a word");
        if (key == "share") {
            out.share = in.part("share");
        } else if (key == "cores") {
            out.cores = in.whole("cores", 1, 1024);
        } else if (key == "speed") {
            out.speed = in.range("speed");
        } else if (key == "queue") {
            out.max_queued_per_core = in.range("queue");
        } else if (key == "connections") {
            out.max_connections = in.range("connections");
        } else {
            throw Wrong("'" + key + "' is none of: share, cores, speed, queue, connections");
        }
    }
    if (out.speed.low <= 0) {
        throw Wrong("speed is above 0");
    }
    return out;
}

OperationLoad read_operation(Words& in) {
    OperationLoad out;
    out.name = in.word("a name");
    out.mean_work = 100ms;
    while (!in.empty()) {
        const std::string key = in.word("a word");
        if (key == "share") {
            out.share = in.part("share");
        } else if (key == "work") {
            out.mean_work = in.time("work");
        } else if (key == "cv") {
            out.work_cv = in.number("cv");
        } else {
            throw Wrong("'" + key + "' is none of: share, work, cv");
        }
    }
    return out;
}

void read_whom(Words& in, const Shape& shape, Fault& out) {
    const std::string whom = shape.whom;
    if (whom == "none") {
        return;
    }
    if (whom == "zone" || whom == "governor") {
        out.target_name = in.word(whom == "zone" ? "a zone" : "a governor's number");
        return;
    }
    if (in.skip(whom.c_str())) {
        const std::string text = in.peek();
        if (!text.empty() && text.back() == '%') {
            out.target_fraction = in.part("a part");
        } else {
            out.target_count = in.whole("a number", 1, 100000);
        }
        if (out.target_fraction > 1) {
            throw Wrong("a part is 100% at most");
        }
    } else {
        out.target_name = in.word((whom + " and how many, or the name of one").c_str());
    }
}

Fault read_trouble(Words& in, int line) {
    Fault out;
    out.line = line;
    out.begin = in.time("a time");
    out.name = in.word("a trouble");
    const auto shape = std::find_if(std::begin(kTroubles), std::end(kTroubles),
                                    [&](const Shape& s) { return out.name == s.name; });
    if (shape == std::end(kTroubles)) {
        std::vector<std::string> names;
        for (const Shape& s : kTroubles) {
            names.emplace_back(s.name);
        }
        const std::string near = config::closest_word(out.name, names);
        throw Wrong("no trouble is called '" + out.name + "'" +
                    (near.empty() ? "" : "; did you mean " + near + "?"));
    }
    out.kind = shape->kind;
    read_whom(in, *shape, out);
    std::string seen;
    while (!in.empty()) {
        const std::string key = in.word("a word");
        if (!holds(shape->needs, key) && !holds(shape->may, key)) {
            throw Wrong("'" + key + "' says nothing for " + out.name +
                        "; it takes: " + shape->needs + " " + shape->may);
        }
        seen += key + " ";
        if (key == "for") {
            out.duration = in.time("for");
        } else if (key == "by") {
            out.magnitude = in.part("by");
        } else if (key == "turn") {
            out.period = in.time("turn");
        } else if (key == "over") {
            out.ramp_time = in.time("over");
        } else if (key == "down") {
            out.downtime = in.time("down");
        } else if (key == "wait") {
            out.delay = in.time("wait");
        } else if (key == "how") {
            out.mode = in.word("how");
        } else if (key == "unlisted") {
            out.unlisted = true;
        } else if (key == "with-forwarders") {
            out.with_proxies = true;
        } else if (key == "with-governors") {
            out.with_instances = true;
        }
    }
    std::istringstream needs(shape->needs);
    for (std::string need; needs >> need;) {
        if (!holds(seen, need)) {
            throw Wrong(out.name + " wants '" + need + "'");
        }
    }
    return out;
}

void check(ScenarioScript& day, const std::string& name, std::vector<ConfigError>& mistakes) {
    const auto wrong = [&](int line, const std::string& text) {
        mistakes.push_back({name, line, "", text});
    };
    if (day.length <= 0us) {
        wrong(0, "no length is given; for example: length 60 s");
    }
    if (day.length > 24h) {
        wrong(0, "a day is 24 h at most");
    }
    if (day.server_count <= 0) {
        wrong(0, "no workers; for example: workers 24");
    }
    if (day.proxy_count <= 0) {
        wrong(0, "no forwarders; for example: forwarders 20");
    }
    if (day.invocations_per_second <= 0) {
        wrong(0, "no rate; for example: rate 130");
    }
    if (day.invocations_per_second * static_cast<double>(day.length.count()) / 1e6 > 2e6) {
        wrong(0, "more than 2 million invocations; shorten the day or lower the rate");
    }
    if (day.machine_kinds.empty()) {
        day.machine_kinds.push_back({"plain", 1, 2, {1, 1}, {10, 10}, {200, 200}});
    }
    std::vector<OperationLoad> ordered;
    for (const Operation& op : day.instance_config.settings.operations) {
        const auto at = std::find_if(day.operations.begin(), day.operations.end(),
                                     [&](const auto& o) { return o.name == op.name; });
        if (at == day.operations.end()) {
            wrong(0, "operation " + op.name + " of the settings has no load here");
        } else {
            ordered.push_back(*at);
        }
    }
    for (const auto& op : day.operations) {
        if (std::none_of(ordered.begin(), ordered.end(),
                         [&](const auto& o) { return o.name == op.name; })) {
            wrong(op.line, "operation " + op.name + " is not in the settings");
        }
    }
    day.operations = std::move(ordered);
    for (const Fault& trouble : day.faults) {
        if (trouble.begin > day.length) {
            wrong(trouble.line, trouble.name + " begins after the day's end");
        }
        const auto& zones = day.instance_config.zones;
        const bool zone_wanted = trouble.kind == FaultKind::ZoneCut ||
                                 trouble.kind == FaultKind::ZoneLoss ||
                                 trouble.kind == FaultKind::SlowLink ||
                                 (trouble.kind == FaultKind::Shift && trouble.target_name != "mix");
        if (zone_wanted &&
            std::find(zones.begin(), zones.end(), trouble.target_name) == zones.end()) {
            wrong(trouble.line, "'" + trouble.target_name + "' is none of the zones");
        }
        if (trouble.kind == FaultKind::InstanceCrash) {
            int which = -1;
            const auto [end, bad] =
                std::from_chars(trouble.target_name.data(),
                                trouble.target_name.data() + trouble.target_name.size(), which);
            if (bad != std::errc{} ||
                end != trouble.target_name.data() + trouble.target_name.size() || which < 0 ||
                which >= day.instance_count) {
                wrong(trouble.line, "there is no governor '" + trouble.target_name + "'");
            }
        }
    }
}

}  // namespace

std::string settings_file_name(const std::string& text) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        Words words(line);
        if (words.skip("settings") && !words.empty()) {
            return words.word("a file");
        }
    }
    return {};
}

ScenarioScript parse_script(const std::string& name, const std::string& text,
                            const config::IniFile& settings, std::vector<ConfigError>& mistakes) {
    ScenarioScript day;
    day.name = std::filesystem::path(name).stem().string();
    day.text = text;
    day.settings = settings;
    day.client_retry_backoff = 100ms;
    day.cache_ttl = 5s;
    day.same_zone_delay = 200us;
    day.cross_zone_delay = 600us;
    day.unlist_delay_us = {1e6, 3e6};
    day.list_delay_us = {3e5, 2e6};
    day.update_delay_us = {2e4, 2e4};
    day.reconnect_delay_us = {6e5, 2e6};
    int number = 0;
    using Reader = std::function<void(Words&)>;
    const std::map<std::string, Reader> readers{
        {"settings",
         [&](Words& in) {
             in.word("a file");
         }},
        {"seed",
         [&](Words& in) {
             day.seed = static_cast<std::uint64_t>(in.whole("seed", 0, 2000000000));
         }},
        {"length",
         [&](Words& in) {
             day.length = in.time("length");
         }},
        {"workers",
         [&](Words& in) {
             day.server_count = in.whole("workers", 1, 20000);
         }},
        {"forwarders",
         [&](Words& in) {
             day.proxy_count = in.whole("forwarders", 1, 20000);
         }},
        {"governors",
         [&](Words& in) {
             day.instance_count = in.whole("governors", 1, 16);
         }},
        {"rate",
         [&](Words& in) {
             day.invocations_per_second = in.number("rate");
         }},
        {"kind",
         [&](Words& in) {
             day.machine_kinds.push_back(read_kind(in));
         }},
        {"operation",
         [&](Words& in) {
             day.operations.push_back(read_operation(in));
             day.operations.back().line = number;
         }},
        {"startup",
         [&](Words& in) {
             day.startup_table_size = in.whole("startup", 1, 1000);
         }},
        {"redial",
         [&](Words& in) {
             day.reconnect_delay_us = in.times("redial");
         }},
        {"set",
         [&](Words& in) {
             const std::string section = in.word("a section");
             const std::string key = in.word("a key");
             std::string value = in.word("a value");
             while (!in.empty()) {
                 value += " " + in.word("a value");
             }
             day.settings.set(section, key, value);
         }},
        {"keys",
         [&](Words& in) {
             day.key_count = in.whole("keys", 1, 10000000);
             while (!in.empty()) {
                 const std::string key = in.word("a word");
                 if (key == "zipf") {
                     day.key_zipf_exponent = in.number("zipf");
                 } else if (key == "gain") {
                     day.cache_saving_fraction = in.part("gain");
                 } else if (key == "kept") {
                     day.cache_ttl = in.time("kept");
                 } else {
                     throw Wrong("'" + key + "' is none of: zipf, gain, kept");
                 }
             }
         }},
        {"clients",
         [&](Words& in) {
             while (!in.empty()) {
                 const std::string key = in.word("a word");
                 if (key == "retries") {
                     day.client_retries = in.whole("retries", 0, 10);
                 } else if (key == "wait") {
                     day.client_retry_backoff = in.time("wait");
                 } else if (key == "try-share") {
                     day.client_attempt_timeout_fraction = in.part("try-share");
                 } else {
                     throw Wrong("'" + key + "' is none of: retries, wait, try-share");
                 }
             }
         }},
        {"list",
         [&](Words& in) {
             while (!in.empty()) {
                 const std::string key = in.word("a word");
                 if (key == "gone") {
                     day.unlist_delay_us = in.times("gone");
                 } else if (key == "new") {
                     day.list_delay_us = in.times("new");
                 } else {
                     throw Wrong("'" + key + "' is none of: gone, new");
                 }
             }
         }},
        {"way",
         [&](Words& in) {
             while (!in.empty()) {
                 const std::string key = in.word("a word");
                 if (key == "same") {
                     day.same_zone_delay = in.time("same");
                 } else if (key == "cross") {
                     day.cross_zone_delay = in.time("cross");
                 } else if (key == "orders") {
                     day.update_delay_us = in.times("orders");
                 } else {
                     throw Wrong("'" + key + "' is none of: same, cross, orders");
                 }
             }
         }},
    };
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        ++number;
        Words in(line);
        if (in.empty()) {
            continue;
        }
        try {
            const std::string word = in.word("a word");
            if (word == "at") {
                day.faults.push_back(read_trouble(in, number));
            } else if (const auto reader = readers.find(word); reader != readers.end()) {
                reader->second(in);
                if (!in.empty()) {
                    throw Wrong("'" + in.peek() + "' is more than '" + word + "' takes");
                }
            } else {
                std::vector<std::string> known{"at"};
                for (const auto& [key, unused] : readers) {
                    known.push_back(key);
                }
                const std::string near = config::closest_word(word, known);
                throw Wrong("no line begins with '" + word + "'" +
                            (near.empty() ? "" : "; did you mean " + near + "?"));
            }
        } catch (const Wrong& wrong) {
            mistakes.push_back({name, number, "", wrong.what()});
        }
    }
    std::stable_sort(day.faults.begin(), day.faults.end(),
                     [](const auto& a, const auto& b) { return a.begin < b.begin; });
    // The fleet's figures are those of the day.
    day.settings.set("forwarders", "count", std::to_string(std::max(1, day.proxy_count)));
    day.settings.set("governor", "governors", std::to_string(day.instance_count));
    day.settings.set("governor", "ordinal", "0");
    day.instance_config = config::read_instance_config(day.settings, mistakes);
    if (mistakes.empty()) {
        check(day, name, mistakes);
    }
    return day;
}

ScenarioScript load_script(const std::string& path, std::vector<ConfigError>& mistakes) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw std::runtime_error(path + ": can't be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    const std::string settings = settings_file_name(text.str());
    if (settings.empty()) {
        mistakes.push_back({path, 0, "", "names no settings; for example: settings governor.ini"});
        return {};
    }
    const auto beside = (std::filesystem::path(path).parent_path() / settings).string();
    const auto file = config::IniFile::load(beside, mistakes);
    return parse_script(path, text.str(), file, mistakes);
}

}  // namespace badgergrade::scenario
