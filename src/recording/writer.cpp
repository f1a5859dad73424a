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
            throw WriteError(path + ": cannot be created: " + std::strerror(errno));
        }
    }

    bool write(std::string_view bytes, std::string& error) override {
        // Flushed after each block, so that the file ends with a whole block after a crash.
        if (std::fwrite(bytes.data(), 1, bytes.size(), file_.get()) == bytes.size() &&
            std::fflush(file_.get()) == 0) {
            return true;
        }
        error = path_ + ": " + std::strerror(errno);
        return false;
    }

private:
    std::string path_;
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

// Approximate size of a record without its names; it only decides when a block is closed.
constexpr std::size_t kEstimatedRecordBytes = 24;

}  // namespace

TimeRange time_range_of(const pb::Block& block) {
    TimeRange out{Micros(block.first_us()), Micros(block.first_us())};
    for_each_record(block, [&](Micros at, const pb::Record&) {
        out.first = std::min(out.first, at);
        out.last = std::max(out.last, at);
    });
    return out;
}

std::string name_at(const pb::Block& block, std::uint32_t index) {
    return index == 0 || index > static_cast<std::uint32_t>(block.names_size())
               ? std::string{}
               : block.names(static_cast<int>(index) - 1);
}

std::unique_ptr<Sink> open_file_sink(const std::string& path) {
    return std::make_unique<FileSink>(path);
}

Writer::Writer(std::unique_ptr<Sink> sink, const pb::Header& header, WriterOptions options)
    : sink_(std::move(sink)),
      options_(options),
      begin_(header.begin_us()) {
    pb::Header versioned = header;
    versioned.set_format(kFormat);
    const std::string frame =
        encode_frame(FrameKind::Header, versioned.SerializeAsString(), options_.compression_level);
    std::string error;
    if (!sink_->write(frame, error)) {
        throw WriteError(error);
    }
    offset_ = stats_.bytes = frame.size();
    thread_ = std::thread([this] { run_writer_thread(); });
}

Writer::~Writer() {
    finish();
}

pb::Record& Writer::add(Micros now) {
    const Micros at = now - begin_;
    if (open_block_ && (open_block_bytes_ > options_.target_block_bytes ||
                        at - Micros(open_block_->first_us()) >= options_.max_block_duration)) {
        close_block();
    }
    if (!open_block_) {
        open_block_ = std::make_unique<pb::Block>();
        open_block_->set_first_us(at.count());
        last_record_at_ = at;
    }
    pb::Record& record = *open_block_->add_records();
    record.set_after_us((at - last_record_at_).count());
    last_record_at_ = at;
    open_block_bytes_ += kEstimatedRecordBytes;
    return record;
}

std::uint32_t Writer::name(std::string_view text) {
    if (text.empty()) {
        return 0;
    }
    const auto known = name_indices_.find(text);
    if (known != name_indices_.end()) {
        return known->second;
    }
    open_block_->add_names(std::string(text));
    open_block_bytes_ += text.size() + 2;
    const auto index = static_cast<std::uint32_t>(open_block_->names_size());
    name_indices_.emplace(text, index);
    return index;
}

void Writer::flush() {
    close_block();
}

void Writer::close_block() {
    if (!open_block_) {
        return;
    }
    name_indices_.clear();
    open_block_bytes_ = 0;
    last_invocation_id_ = 0;
    enqueue(std::move(open_block_), options_.when_full);
}

void Writer::enqueue(std::unique_ptr<pb::Block> block, WhenFull when_full) {
    std::unique_lock lock(mutex_);
    const auto count = static_cast<std::uint64_t>(block->records_size());
    if (when_full == WhenFull::Wait) {
        space_freed_.wait(lock, [this] {
            return queue_.size() < options_.max_queued_blocks || !stats_.error.empty();
        });
    }
    if (queue_.size() >= options_.max_queued_blocks || !stats_.error.empty()) {
        if (unreported_lost_records_ == 0) {
            lost_from_ = Micros(block->first_us());
        }
        unreported_lost_records_ += count;
        stats_.lost_records += count;
        return;
    }
    if (unreported_lost_records_ > 0) {
        block->set_lost_records(unreported_lost_records_);
        block->set_lost_from_us(lost_from_.count());
    }
    unreported_lost_records_ = 0;
    queue_.push_back(std::move(block));
    block_queued_.notify_one();
}

void Writer::run_writer_thread() {
    while (true) {
        std::unique_ptr<pb::Block> block;
        {
            std::unique_lock lock(mutex_);
            block_queued_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            if (queue_.empty()) {
                return;
            }
            block = std::move(queue_.front());
            queue_.pop_front();
            space_freed_.notify_one();
        }
        write_block(*block);
    }
}

void Writer::write_block(const pb::Block& block) {
    const auto count = static_cast<std::uint64_t>(block.records_size());
    const std::uint64_t offset = offset_;
    std::string frame;
    std::string error;
    try {
        frame =
            encode_frame(FrameKind::Block, block.SerializeAsString(), options_.compression_level);
    } catch (const std::exception& failure) {
        error = failure.what();
    }
    if (!error.empty() || !write(frame)) {
        const std::lock_guard lock(mutex_);
        if (!error.empty()) {
            stats_.error = error;
        }
        stats_.lost_records += count;
        space_freed_.notify_all();
        return;
    }
    const TimeRange range = time_range_of(block);
    auto& entry = *index_.add_blocks();
    entry.set_offset(offset);
    entry.set_first_us(range.first.count());
    entry.set_last_us(range.last.count());
    entry.set_records(count);
    entry.set_lost_records(block.lost_records());
    const std::lock_guard lock(mutex_);
    stats_.records += count;
    ++stats_.blocks;
}

bool Writer::write(std::string_view bytes) {
    std::string error;
    const bool ok = sink_->write(bytes, error);
    const std::lock_guard lock(mutex_);
    if (ok) {
        offset_ += bytes.size();
        stats_.bytes += bytes.size();
    } else {
        stats_.error = error.empty() ? "the sink reported a write error without a reason" : error;
    }
    return ok;
}

void Writer::finish() {
    if (std::exchange(finished_, true)) {
        return;
    }
    close_block();
    if (unreported_lost_records_ > 0) {
        // No other block follows that could hold the count, so an empty one is written.
        auto last = std::make_unique<pb::Block>();
        last->set_first_us(last_record_at_.count());
        enqueue(std::move(last), WhenFull::Wait);
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        block_queued_.notify_one();
    }
    thread_.join();
    if (!stats_.error.empty()) {
        return;
    }
    const std::uint64_t offset = offset_;
    write(encode_frame(FrameKind::Index, index_.SerializeAsString(), options_.compression_level) +
          encode_trailer(offset));
}

WriterStats Writer::stats() const {
    const std::lock_guard lock(mutex_);
    return stats_;
}

}  // namespace badgergrade::recording
