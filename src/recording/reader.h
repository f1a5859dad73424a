/// @file
/// Reads a recording file block by block. The blocks are found by the index at the end of the file;
/// if the file is truncated or damaged, by a scan for all blocks that are still intact.
#pragma once

#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "recording/frames.h"
#include "recording/writer.h"

namespace badgergrade::recording {

/// Position and contents of one block.
struct BlockInfo {
    /// Of the block's frame in the file, in bytes.
    std::uint64_t offset = 0;
    /// Times of the earliest and the latest record, since the recording began.
    Micros first{}, last{};
    /// `lost_records` were not written between the previous block and this one.
    std::uint64_t records = 0, lost_records = 0;
};

/// A damaged place of a file.
struct Damage {
    /// In bytes from the start of the file.
    std::uint64_t offset = 0;
    std::string description;
};

class Reader {
public:
    /// Throws std::runtime_error if the file cannot be read, is not a recording or has a newer
    /// format.
    explicit Reader(const std::string& path);

    const pb::Header& header() const { return header_; }

    /// Size of the file.
    std::uint64_t file_bytes() const { return file_bytes_; }

    /// Whether the index is intact, which means that the writer finished the recording.
    bool is_complete() const { return is_complete_; }

    const std::vector<BlockInfo>& blocks() const { return blocks_; }

    /// The damage found so far. Opening a complete file reads only its index, so this is empty
    /// until `scan` or `for_each_block`.
    const std::vector<Damage>& damage() const { return damage_; }

    /// Reads every frame of the file without the index and finds the blocks and the damage anew.
    void scan();

    /// Reads the block with this index in `blocks`. Throws std::runtime_error if it is damaged.
    pb::Block read(std::size_t block);
    /// Calls `visit` for every intact block whose time range overlaps [from, to), in the order of
    /// the file. Damaged blocks are skipped and added to `damage`.
    void for_each_block(Micros from, Micros to, const std::function<void(const pb::Block&)>& visit);

private:
    std::string read_bytes(std::uint64_t offset, std::size_t count);
    bool read_index();
    // Decodes the frame at `offset` and returns its body; if it is damaged, nothing, and `error`
    // says why. `next` is the offset at which the next frame may begin.
    std::optional<std::string> read_frame(std::uint64_t offset, FrameHead& head,
                                          std::uint64_t& next, std::string& error);
    std::uint64_t find_frame(std::uint64_t from);

    std::string path_;
    std::ifstream file_;
    std::uint64_t file_bytes_ = 0, first_block_offset_ = 0;
    pb::Header header_;
    bool is_complete_ = false;
    std::vector<BlockInfo> blocks_;
    std::vector<Damage> damage_;
};

}  // namespace badgergrade::recording
