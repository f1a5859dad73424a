// The estimate of the channel's queue and the limits of what is sent; send_budget.h
// describes the algorithm.
#include "policy/send_budget.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::policy {
namespace {

constexpr int kVersions = 65536;
/// The fraction of its stated pace that the channel keeps even with several network faults at once.
constexpr double kGuaranteedPaceFraction = 0.05;
/// The fraction of the stated pace that is assumed while acknowledgements are overdue, which a slow
/// channel does not explain.
constexpr double kUnconfirmedPaceFraction = 0.25;
/// The fraction of the queue limit up to which lines may be sent.
constexpr double kMaxQueueFraction = 0.95;
/// The network delay that nearly no message exceeds, in multiples of the mean.
constexpr double kUsualNetworkDelayFactor = 1.5;
/// The fraction of a proxy's message limit that deferrable lines may use; drains need the rest.
constexpr double kDeferrableMessagesFraction = 0.4;
constexpr Micros kMinMessageBucket{1000};
/// A part of an urgent change has at least this many lines for each line of message overhead.
constexpr double kMinLinesPerOverheadLine = 2;
/// The most entries of unacknowledged lines for each proxy; the oldest are merged, to bound memory.
constexpr std::ptrdiff_t kMaxUnacknowledged = 64;
/// The most batches that are tracked; older ones are forgotten, to bound memory.
constexpr std::size_t kMaxBatches = 4096;
/// Stands for "no limit in the settings".
constexpr double kUnlimitedLines = 1e18;

}  // namespace

bool is_newer(int version, int other) {
    return version != other && ((version - other) & (kVersions - 1)) < kVersions / 2;
}

bool has_unacknowledged(const Proxy& proxy, int up_to_version) {
    return !proxy.unacknowledged.empty() &&
           !is_newer(proxy.unacknowledged.front().version, up_to_version);
}

SendBudget::SendBudget(const Settings& settings, Micros now)
    : lines_per_second_(std::max(1.0, settings.channel_lines_per_second)),
      header_lines_(settings.message_header_lines),
      max_queued_lines_(settings.max_queued_lines > 0 ? settings.max_queued_lines
                                                      : kUnlimitedLines),
      target_queue_seconds_(kUsualNetworkDelayFactor * to_seconds(settings.mean_network_delay) +
                            to_seconds(kDecisionInterval) / 2),
      max_messages_(settings.max_messages),
      messages_bucket_width_(
          std::max(kMinMessageBucket, settings.message_window / kMessageBucketsInWindow)),
      queue_updated_at_(now),
      usual_network_delay_seconds_(kUsualNetworkDelayFactor *
                                   to_seconds(settings.mean_network_delay)),
      max_network_delay_(settings.max_network_delay),
      channel_(settings),
      expected_empty_at_(now) {}

void SendBudget::begin_batch(Micros now) {
    const Micros elapsed = now - queue_updated_at_;
    double seconds_at_full_pace = to_seconds(elapsed) * kGuaranteedPaceFraction;
    if (acknowledgements_overdue(now)) {
        // Bounded, because acknowledgements are not overdue for time in which this process did not
        // run.
        seconds_at_full_pace += to_seconds(std::min(elapsed, 2 * kDecisionInterval)) *
                                (kUnconfirmedPaceFraction - kGuaranteedPaceFraction);
    }
    queued_lines_ = std::max(0.0, queued_lines_ - seconds_at_full_pace * lines_per_second_);
    queue_updated_at_ = now;
    batch_recipients_.clear();
    channel_.advance(now);
    if (unacknowledged_lines_ <= 0) {
        acknowledgement_awaited_since_ = now;
    }
}

// At the lowest pace, the largest message is acknowledged after its own transmission time and a
// network round trip.
bool SendBudget::acknowledgements_overdue(Micros now) const {
    const double message_seconds =
        largest_message_lines_ / (lines_per_second_ * kGuaranteedPaceFraction);
    const double longest_seconds =
        message_seconds + to_seconds(2 * max_network_delay_ + kAckTimeout);
    return unacknowledged_lines_ > 0 &&
           to_seconds(now - acknowledgement_awaited_since_) > longest_seconds;
}

int SendBudget::next_version() const {
    return (version_ + 1) % kVersions;
}

double SendBudget::seconds(double lines, double messages) const {
    return channel_.seconds(lines + messages * (header_lines_ + 1), messages);
}

// Lines that stay in the estimate only because of lost ones don't show a long queue.
double SendBudget::queue_seconds(Micros now) const {
    if (!any_acknowledged_) {
        return to_seconds(std::max(Micros{0}, expected_empty_at_ - now));
    }
    const double lines = std::max(0.0, queued_lines_ - lost_lines_);
    return channel_.seconds(lines, queued_messages(lines));
}

double SendBudget::queued_messages(double lines) const {
    return unacknowledged_lines_ > 0 ? unacknowledged_messages_ * (lines / unacknowledged_lines_)
                                     : 0.0;
}

// Acknowledgements lead to a decision as soon as the channel has room. Without them the next one is
// a decision interval away.
bool SendBudget::has_room(Micros now) const {
    const double until_decision = any_acknowledged_ ? 0 : to_seconds(kDecisionInterval);
    return queue_seconds(now) < target_queue_seconds_ + until_decision;
}

bool SendBudget::is_busy(Micros now) const {
    return !batches_.empty() &&
           to_seconds(now - batches_.front().sent_at) > usual_network_delay_seconds_;
}

bool SendBudget::within_message_limit(Micros now, const Proxy& proxy, Priority priority) const {
    if (max_messages_ <= 0) {
        return true;
    }
    const double allowed = priority == Priority::Deferrable
                               ? max_messages_ * kDeferrableMessagesFraction
                               : max_messages_ - 1;
    return proxy.messages.sum(now, messages_bucket_width_) + 1 <= allowed;
}

std::size_t SendBudget::lines_available(Micros now, const Proxies& proxies,
                                        const std::vector<ProxyId>& recipients,
                                        Priority priority) const {
    const bool has_message =
        std::ranges::all_of(recipients, [&](ProxyId id) { return batch_recipients_.contains(id); });
    if (!has_message && !has_room(now)) {
        return 0;
    }
    double overhead_lines = 0;
    for (const ProxyId id : recipients) {
        if (batch_recipients_.contains(id)) {
            continue;
        }
        if (!within_message_limit(now, proxies.at(id), priority)) {
            return 0;
        }
        overhead_lines += header_lines_ + 1;
    }
    const double available = max_queued_lines_ * kMaxQueueFraction - queued_lines_ - overhead_lines;
    return static_cast<std::size_t>(
        std::max(0.0, available / static_cast<double>(recipients.size())));
}

std::size_t SendBudget::lines_within(double seconds, std::size_t recipients) const {
    const auto messages = static_cast<double>(recipients);
    const double seconds_per_line = channel_.seconds(messages, 0);
    if (seconds_per_line <= 0) {
        return static_cast<std::size_t>(kUnlimitedLines);
    }
    const double lines = (seconds - this->seconds(0, messages)) / seconds_per_line;
    return static_cast<std::size_t>(std::clamp(lines, 0.0, kUnlimitedLines));
}

std::size_t SendBudget::min_partial_lines(std::size_t lines, std::size_t recipients) const {
    const double message_overhead = header_lines_ + 1;
    const double empty_queue_lines =
        max_queued_lines_ * kMaxQueueFraction / static_cast<double>(recipients) - message_overhead;
    const double partial_lines =
        std::min(message_overhead * kMinLinesPerOverheadLine, empty_queue_lines);
    return std::min(lines, static_cast<std::size_t>(std::max(1.0, partial_lines)));
}

void SendBudget::reserve(Proxies& proxies, const std::vector<ProxyId>& recipients, double lines) {
    for (const ProxyId id : recipients) {
        std::deque<UnacknowledgedLines>& sent = proxies[id].unacknowledged;
        const bool new_message = batch_recipients_.insert(id).second;
        const double cost = lines + (new_message ? header_lines_ + 1 : 0);
        sent.push_back({next_version(), cost, static_cast<int>(new_message)});
        queued_lines_ += cost;
        unacknowledged_lines_ += cost;
        unacknowledged_messages_ += new_message ? 1 : 0;
        expected_empty_at_ = std::max(expected_empty_at_, queue_updated_at_) +
                             Micros{std::llround(channel_.seconds(cost, 0) * 1e6)};
        if (std::ssize(sent) > kMaxUnacknowledged) {
            sent[1].lines += sent[0].lines;
            sent[1].messages += sent[0].messages;
            sent.pop_front();
        }
    }
}

bool SendBudget::commit_batch(Micros now, Proxies& proxies) {
    if (batch_recipients_.empty()) {
        return false;
    }
    version_ = next_version();
    batches_.push_back({version_, now, static_cast<int>(batch_recipients_.size()), queued_lines_,
                        queued_messages(queued_lines_)});
    if (batches_.size() > kMaxBatches) {
        batches_.pop_front();
    }
    for (const ProxyId id : batch_recipients_) {
        Proxy& proxy = proxies[id];
        proxy.messages.bucket(now, messages_bucket_width_) += 1;
        largest_message_lines_ = std::max(largest_message_lines_, last_message_lines(proxy));
    }
    return true;
}

double SendBudget::last_message_lines(const Proxy& proxy) const {
    double lines = 0;
    for (auto it = proxy.unacknowledged.rbegin();
         it != proxy.unacknowledged.rend() && it->version == version_; ++it) {
        lines += it->lines;
    }
    return lines;
}

void SendBudget::on_acknowledged(Micros now, const event::ConfigAcknowledged& acknowledged,
                                 Proxies& proxies) {
    const int version = acknowledged.version.value;
    last_acknowledgement_delay_ = acknowledged.delay;
    acknowledgement_awaited_since_ = now;
    any_acknowledged_ = true;
    if (const auto found = proxies.find(acknowledged.proxy); found != proxies.end()) {
        remove_unacknowledged(found->second, version, true);
    }
    if (lost_lines_ <= 0 && is_newer(version, acknowledged_version_)) {
        acknowledged_version_ = version;
        for (auto& [other, proxy] : proxies) {
            remove_unacknowledged(proxy, acknowledged_version_ - 1, true);
        }
    }
    forget_acknowledged_batches(now);
    // Lines that may have passed others prove nothing about the pace.
    channel_.on_acknowledged(now, lost_lines_ <= 0 && is_busy(now));
}

void SendBudget::on_disconnected(Proxy& proxy) {
    remove_unacknowledged(proxy, version_, false);
}

void SendBudget::remove_unacknowledged(Proxy& proxy, int up_to_version, bool acknowledged) {
    for (; has_unacknowledged(proxy, up_to_version); proxy.unacknowledged.pop_front()) {
        const auto [version, lines, messages] = proxy.unacknowledged.front();
        if (!acknowledged && lost_lines_ <= 0) {
            version_at_loss_ = version_;
        }
        unacknowledged_lines_ -= lines;
        unacknowledged_messages_ -= messages;
        remove_from_batch(version, messages);
        if (acknowledged) {
            channel_.on_carried(lines, messages);
        }
        lost_lines_ += acknowledged ? 0 : lines;
        if (acknowledged && lost_lines_ > 0 && is_newer(version, version_at_loss_)) {
            reordered_lines_ += lines;
        }
    }
    if (reordered_lines_ >= lost_lines_) {
        lost_lines_ = 0;
        reordered_lines_ = 0;
    }
    queued_lines_ = std::min(queued_lines_, unacknowledged_lines_ + reordered_lines_);
}

void SendBudget::remove_from_batch(int version, int messages) {
    if (batches_.empty()) {
        return;
    }
    const auto index =
        static_cast<std::size_t>((version - batches_.front().version) & (kVersions - 1));
    if (index < batches_.size()) {
        batches_[index].messages -= messages;
    }
}

void SendBudget::forget_acknowledged_batches(Micros now) {
    for (; !batches_.empty() && batches_.front().messages <= 0; batches_.pop_front()) {
        const Batch& batch = batches_.front();
        if (lost_lines_ <= 0) {
            channel_.on_carried_within(now, batch.queued_lines, batch.queued_messages,
                                       to_seconds(now - batch.sent_at));
        }
    }
}

}  // namespace badgergrade::policy
