#include "recording/writer.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <system_error>

#include "recording/frames.h"

namespace badgergrade::recording {

namespace {

class FileSink final : public Sink {
public:
    explicit FileSink(const std::string& path)
        : path_(path),
          file_(std::fopen(path.c_str(), "wb"), &std::fclose) {
        if (!file_) {
            throw WriteError(path + ": can't be made: " + std::strerror(errno));
        }
    }

    bool write(std::string_view bytes, std::string& why) override {
        // Flushed each time: what a crash leaves behind ends at a whole block.
        if (std::fwrite(bytes.data(), 1, bytes.size(), file_.get()) == bytes.size() &&
            std::fflush(file_.get()) == 0) {
            return true;
        }
        why = path_ + ": " + std::strerror(errno);
        return false;
    }

private:
    std::string path_;
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

// About what a record costs beside its names; only how soon a block closes depends on it.
constexpr std::size_t kRecordBytes = 24;

}  // namespace

TimeRange time_range_of(const pb::Block& block) {
    TimeRange out{Micros(block.first_us()), Micros(block.first_us())};
    for_each_record(block, [&](Micros at, const pb::Record&) {
        out.first = std::min(out.first, at);
        out.last = std::max(out.last, at);
    });
    return out;
}

std::string name_at(const pb::Block& block, std::uint32_t number) {
    return number == 0 || number > static_cast<std::uint32_t>(block.names_size())
               ? std::string{}
               : block.names(static_cast<int>(number) - 1);
}

std::unique_ptr<Sink> open_file_sink(const std::string& path) {
    return std::make_unique<FileSink>(path);
}

Writer::Writer(std::unique_ptr<Sink> sink, const pb::Header& header, WriterOptions options)
    : sink_(std::move(sink)),
      options_(options),
      begin_(header.begin_us()) {
    pb::Header told = header;
    told.set_format(kFormat);
    const std::string frame =
        pack_frame(FrameKind::Header, told.SerializeAsString(), options_.compression_level);
    std::string why;
    if (!sink_->write(frame, why)) {
        throw WriteError(why);
    }
    at_ = stats_.bytes = frame.size();
    thread_ = std::thread([this] { run(); });
}

Writer::~Writer() {
    finish();
}

pb::Record& Writer::add(Micros now) {
    const Micros at = now - begin_;
    if (open_ && (size_ > options_.target_block_bytes ||
                  at - Micros(open_->first_us()) >= options_.max_block_duration)) {
        close_block();
    }
    if (!open_) {
        open_ = std::make_unique<pb::Block>();
        open_->set_first_us(at.count());
        last_ = at;
    }
    pb::Record& record = *open_->add_records();
    record.set_after_us((at - last_).count());
    last_ = at;
    size_ += kRecordBytes;
    return record;
}

std::uint32_t Writer::name(std::string_view text) {
    if (text.empty()) {
        return 0;
    }
    const auto known = names_.find(text);
    if (known != names_.end()) {
        return known->second;
    }
    open_->add_names(std::string(text));
    size_ += text.size() + 2;
    const auto number = static_cast<std::uint32_t>(open_->names_size());
    names_.emplace(text, number);
    return number;
}

void Writer::flush() {
    close_block();
}

void Writer::close_block() {
    if (!open_) {
        return;
    }
    names_.clear();
    size_ = 0;
    last_id_ = 0;
    put(std::move(open_), options_.when_full);
}

void Writer::put(std::unique_ptr<pb::Block> block, WhenFull when_full) {
    std::unique_lock lock(mutex_);
    const auto count = static_cast<std::uint64_t>(block->records_size());
    if (when_full == WhenFull::Wait) {
        room_.wait(lock, [this] {
            return waiting_.size() < options_.max_queued_blocks || !stats_.error.empty();
        });
    }
    if (waiting_.size() >= options_.max_queued_blocks || !stats_.error.empty()) {
        if (lost_ == 0) {
            lost_from_ = Micros(block->first_us());
        }
        lost_ += count;
        stats_.lost_records += count;
        return;
    }
    if (lost_ > 0) {
        block->set_lost_records(lost_);
        block->set_lost_from_us(lost_from_.count());
    }
    lost_ = 0;
    waiting_.push_back(std::move(block));
    more_.notify_one();
}

void Writer::run() {
    while (true) {
        std::unique_ptr<pb::Block> block;
        {
            std::unique_lock lock(mutex_);
            more_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
            if (waiting_.empty()) {
                return;
            }
            block = std::move(waiting_.front());
            waiting_.pop_front();
            room_.notify_one();
        }
        write_block(*block);
    }
}

void Writer::write_block(const pb::Block& block) {
    const auto count = static_cast<std::uint64_t>(block.records_size());
    const std::uint64_t at = at_;
    std::string frame;
    std::string why;
    try {
        frame = pack_frame(FrameKind::Block, block.SerializeAsString(), options_.compression_level);
    } catch (const std::exception& wrong) {
        why = wrong.what();
    }
    if (!why.empty() || !write(frame)) {
        const std::lock_guard lock(mutex_);
        if (!why.empty()) {
            stats_.error = why;
        }
        stats_.lost_records += count;
        room_.notify_all();
        return;
    }
    const TimeRange span = time_range_of(block);
    auto& entry = *index_.add_blocks();
    entry.set_offset(at);
    entry.set_first_us(span.first.count());
    entry.set_last_us(span.last.count());
    entry.set_records(count);
    entry.set_lost_records(block.lost_records());
    const std::lock_guard lock(mutex_);
    stats_.records += count;
    ++stats_.blocks;
}

bool Writer::write(std::string_view bytes) {
    std::string why;
    const bool good = sink_->write(bytes, why);
    const std::lock_guard lock(mutex_);
    if (good) {
        at_ += bytes.size();
        stats_.bytes += bytes.size();
    } else {
        stats_.error = why.empty() ? "can't be written" : why;
    }
    return good;
}

void Writer::finish() {
    if (std::exchange(finished_, true)) {
        return;
    }
    close_block();
    if (lost_ > 0) {
        // Told in a block of its own: nothing comes after.
        auto last = std::make_unique<pb::Block>();
        last->set_first_us(last_.count());
        put(std::move(last), WhenFull::Wait);
    }
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        more_.notify_one();
    }
    thread_.join();
    if (!stats_.error.empty()) {
        return;
    }
    const std::uint64_t at = at_;
    write(pack_frame(FrameKind::Index, index_.SerializeAsString(), options_.compression_level) +
          pack_trailer(at));
}

WriterStats Writer::stats() const {
    const std::lock_guard lock(mutex_);
    return stats_;
}

}  // namespace badgergrade::recording
