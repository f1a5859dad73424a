#include "recording/reader.h"

#include <algorithm>
#include <stdexcept>

namespace badgergrade::recording {

Reader::Reader(const std::string& path) : path_(path), file_(path, std::ios::binary) {
    if (!file_) {
        throw std::runtime_error(path + ": the file cannot be opened or read");
    }
    file_.seekg(0, std::ios::end);
    const auto end = file_.tellg();
    if (end < 0) {
        throw std::runtime_error(path + ": the file cannot be opened or read");
    }
    file_bytes_ = static_cast<std::uint64_t>(end);
    FrameHead head;
    std::string error;
    const auto body = read_frame(0, head, first_block_offset_, error);
    if (!body || head.kind != FrameKind::Header || !header_.ParseFromString(*body)) {
        throw std::runtime_error(path + ": not a recording: " +
                                 (error.empty() ? "expected a header at its start" : error));
    }
    if (header_.format() == 0 || header_.format() > kFormat) {
        throw std::runtime_error(path + ": has format " + std::to_string(header_.format()) +
                                 ", expected a format from 1 to " + std::to_string(kFormat));
    }
    is_complete_ = read_index();
    if (!is_complete_) {
        scan();
    }
}

std::string Reader::read_bytes(std::uint64_t offset, std::size_t count) {
    if (offset >= file_bytes_) {
        return {};
    }
    std::string out(static_cast<std::size_t>(std::min<std::uint64_t>(count, file_bytes_ - offset)),
                    '\0');
    file_.clear();
    file_.seekg(static_cast<std::streamoff>(offset));
    file_.read(out.data(), static_cast<std::streamsize>(out.size()));
    out.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file_.gcount())));
    return out;
}

std::optional<std::string> Reader::read_frame(std::uint64_t offset, FrameHead& head,
                                              std::uint64_t& next, std::string& error) {
    const std::string head_bytes = read_bytes(offset, kFrameHeadBytes);
    const auto decoded = decode_head(head_bytes, error);
    if (!decoded) {
        next = offset + 1;
        return std::nullopt;
    }
    head = *decoded;
    next = offset + kFrameHeadBytes + head.compressed_bytes;
    return decode_body(head, head_bytes,
                       read_bytes(offset + kFrameHeadBytes, head.compressed_bytes), error);
}

bool Reader::read_index() {
    if (file_bytes_ < kTrailerBytes) {
        return false;
    }
    const auto index_offset =
        decode_trailer(read_bytes(file_bytes_ - kTrailerBytes, kTrailerBytes));
    if (!index_offset || *index_offset >= file_bytes_) {
        return false;
    }
    FrameHead head;
    std::uint64_t next = 0;
    std::string error;
    pb::Index index;
    const auto body = read_frame(*index_offset, head, next, error);
    if (!body || head.kind != FrameKind::Index || !index.ParseFromString(*body)) {
        return false;
    }
    for (const auto& block : index.blocks()) {
        blocks_.push_back({block.offset(), Micros(block.first_us()), Micros(block.last_us()),
                           block.records(), block.lost_records()});
    }
    return true;
}

// Offset of the next frame mark at or after `from`; the file's size if there is none.
std::uint64_t Reader::find_frame(std::uint64_t from) {
    constexpr std::size_t kChunkBytes = 64 << 10;
    for (std::uint64_t offset = from; offset < file_bytes_;
         offset += kChunkBytes - kFrameMark.size()) {
        const std::string chunk = read_bytes(offset, kChunkBytes);
        if (const auto found = chunk.find(kFrameMark); found != std::string::npos) {
            return offset + found;
        }
        if (chunk.size() < kChunkBytes) {
            break;
        }
    }
    return file_bytes_;
}

void Reader::scan() {
    blocks_.clear();
    damage_.clear();
    bool has_index = false;
    for (std::uint64_t offset = first_block_offset_; offset < file_bytes_;) {
        FrameHead head;
        std::uint64_t next = 0;
        std::string error;
        const auto body = read_frame(offset, head, next, error);
        pb::Block block;
        if (body && head.kind == FrameKind::Block && block.ParseFromString(*body)) {
            const TimeRange range = time_range_of(block);
            blocks_.push_back({offset, range.first, range.last,
                               static_cast<std::uint64_t>(block.records_size()),
                               block.lost_records()});
        } else if (body && head.kind == FrameKind::Index &&
                   decode_trailer(read_bytes(next, kTrailerBytes)) == offset) {
            has_index = true;
            next += kTrailerBytes;
        } else {
            damage_.push_back({offset, (error.empty() ? "expected a frame with a block" : error) +
                                           ", after block " + std::to_string(blocks_.size())});
            // If only the body is damaged, the length in the head leads to the next frame.
            // Otherwise the next frame mark is searched for.
            const bool next_is_plausible =
                next > offset + 1 &&
                (next == file_bytes_ || read_bytes(next, kFrameMark.size()) == kFrameMark);
            if (!next_is_plausible) {
                next = find_frame(offset + 1);
            }
        }
        offset = next;
    }
    if (!has_index) {
        damage_.push_back(
            {file_bytes_,
             "expected the index at the end: the file is truncated or its writer did not finish"});
    }
}

pb::Block Reader::read(std::size_t block) {
    FrameHead head;
    std::uint64_t next = 0;
    std::string error;
    const auto body = read_frame(blocks_.at(block).offset, head, next, error);
    pb::Block out;
    if (!body || head.kind != FrameKind::Block || !out.ParseFromString(*body)) {
        throw std::runtime_error(path_ + ": block " + std::to_string(block + 1) + " at byte " +
                                 std::to_string(blocks_[block].offset) + ": " +
                                 (error.empty() ? "expected a frame with a block" : error));
    }
    return out;
}

void Reader::for_each_block(Micros from, Micros to,
                            const std::function<void(const pb::Block&)>& visit) {
    for (std::size_t k = 0; k < blocks_.size(); ++k) {
        if (blocks_[k].last < from || blocks_[k].first >= to) {
            continue;
        }
        std::optional<pb::Block> block;
        try {
            block = read(k);
        } catch (const std::runtime_error& failure) {
            damage_.push_back({blocks_[k].offset, failure.what()});
        }
        if (block) {
            visit(*block);
        }
    }
}

}  // namespace badgergrade::recording
