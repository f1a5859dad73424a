/// @file
/// Writes a recording file in bounded memory.
///
/// The caller's thread collects records into blocks. A second thread compresses and writes the
/// blocks, so that a slow disk does not delay the event loop. If the queue between the two is full,
/// the writer either drops whole blocks or waits (WhenFull). Dropped records are counted, and their
/// number is stored in the next block that is written.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include "badgergrade/recording/v1/recording.pb.h"
#include "base/clock.h"

namespace badgergrade::recording {

using base::Micros;
namespace pb = badgergrade::recording::v1;

/// The format that this program writes, and the newest one that it reads.
inline constexpr std::uint32_t kFormat = 1;

/// Destination of the bytes. After construction of the Writer it is called only from the writer's
/// thread.
class Sink {
public:
    virtual ~Sink() = default;
    /// Returns false if the bytes could not be written, for example because the disk is full;
    /// `error` then holds the reason.
    virtual bool write(std::string_view bytes, std::string& error) = 0;
};

/// The recording could not be created.
struct WriteError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Creates or truncates the file. Throws WriteError if that fails.
std::unique_ptr<Sink> open_file_sink(const std::string& path);

/// The earliest and the latest time of the records of a block. They are not always the first and
/// the last record, since the recorder's clock may have gone back.
struct TimeRange {
    Micros first{}, last{};
};

TimeRange time_range_of(const pb::Block& block);

/// Calls `visit` with the time of each record since the recording began, and the record.
template <class Visit>
void for_each_record(const pb::Block& block, const Visit& visit) {
    Micros at(block.first_us());
    for (const auto& record : block.records()) {
        visit(at += Micros(record.after_us()), record);
    }
}

/// The name with this index in the block's list, counted from 1. Empty for 0 and for an index that
/// the block does not hold.
std::string name_at(const pb::Block& block, std::uint32_t index);

/// What to do with a block if the queue to the writer's thread is full.
enum class WhenFull { Drop, Wait };

struct WriterOptions {
    /// A block is closed once its estimated size exceeds this.
    std::size_t target_block_bytes = 192 << 10;
    Micros max_block_duration = std::chrono::seconds(5);
    std::size_t max_queued_blocks = 32;
    WhenFull when_full = WhenFull::Drop;
    /// For zstd.
    int compression_level = 3;
};

struct WriterStats {
    /// What was written, and the records that were dropped or could not be written.
    std::uint64_t records = 0, blocks = 0, bytes = 0, lost_records = 0;
    /// Why writing ended early; empty if it did not.
    std::string error;
};

class Writer {
public:
    /// Writes the header; the times of records count from header.begin_us. Throws WriteError if the
    /// header cannot be written.
    Writer(std::unique_ptr<Sink> sink, const pb::Header& header, WriterOptions options = {});
    /// Calls `finish`.
    ~Writer();
    Writer(const Writer&) = delete;

    /// Adds a record with the clock time `now`. The caller fills it before the next call of `add`,
    /// `flush` or `finish`.
    pb::Record& add(Micros now);
    /// The index of `text` in the name list of the block that holds the last record; adds it if it
    /// is new. 0 for an empty text.
    std::uint32_t name(std::string_view text);

    /// The id of the last invocation that started in the open block, 0 if none did. The caller
    /// updates it; ids are recorded as differences from it.
    std::int64_t& last_invocation_id() { return last_invocation_id_; }

    /// Closes the open block and queues it, so that everything added so far is written soon.
    void flush();
    /// Queues what is left, waits until all is written, and writes the index.
    void finish();
    WriterStats stats() const;

private:
    void close_block();
    void enqueue(std::unique_ptr<pb::Block> block, WhenFull when_full);
    void run_writer_thread();
    bool write(std::string_view bytes);
    void write_block(const pb::Block& block);

    std::unique_ptr<Sink> sink_;
    WriterOptions options_;
    Micros begin_;
    // Used by the caller's thread.
    std::unique_ptr<pb::Block> open_block_;
    std::map<std::string, std::uint32_t, std::less<>> name_indices_;  // of the open block
    Micros last_record_at_{};
    std::size_t open_block_bytes_ = 0;  // estimated
    std::int64_t last_invocation_id_ = 0;
    std::uint64_t unreported_lost_records_ = 0;  // dropped since the last queued block
    Micros lost_from_{};                         // time of the first of them
    bool finished_ = false;
    // Used by the writer's thread, and by `finish` after it has ended.
    pb::Index index_;
    std::uint64_t offset_ = 0;  // in the file
    // Shared, under the mutex.
    mutable std::mutex mutex_;
    std::condition_variable block_queued_, space_freed_;
    std::deque<std::unique_ptr<pb::Block>> queue_;
    bool stopping_ = false;
    WriterStats stats_;
    std::thread thread_;
};

}  // namespace badgergrade::recording
