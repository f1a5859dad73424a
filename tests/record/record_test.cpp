// Tests of recording files: records are read back as written, and truncated, damaged, incomplete or
// foreign files are detected. They are a program of their own because only the recording module has
// a second thread; this program is also built under the thread sanitizer.
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <random>
#include <sstream>

#include "recording/reader.h"
#include "temporary_directory.h"

namespace badgergrade::recording {
namespace {

using namespace std::chrono_literals;

using test::TemporaryDirectory;

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

void write_file(const std::string& path, std::string_view bytes) {
    std::ofstream(path, std::ios::binary)
        .write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

pb::Header header() {
    pb::Header out;
    out.set_made_by("test");
    out.set_begin_us(1000000);
    return out;
}

// Fills a random part of the fields with random values, by the message's descriptor.
void fill_randomly(google::protobuf::Message& message, std::mt19937_64& random, int depth = 0) {
    using Field = google::protobuf::FieldDescriptor;
    const auto* descriptor = message.GetDescriptor();
    const auto* reflection = message.GetReflection();
    const auto number = [&] {
        return static_cast<std::int64_t>(random() >> (random() % 64)) * (random() % 2 ? 1 : -1);
    };
    for (int k = 0; k < descriptor->field_count(); ++k) {
        const Field* field = descriptor->field(k);
        if (random() % 3 == 0) {
            continue;
        }
        const int count = field->is_repeated() ? static_cast<int>(random() % 4) : 1;
        for (int n = 0; n < count; ++n) {
            const bool repeated = field->is_repeated();
            switch (field->cpp_type()) {
                case Field::CPPTYPE_INT32:
                    repeated ? reflection->AddInt32(&message, field, static_cast<int>(number()))
                             : reflection->SetInt32(&message, field, static_cast<int>(number()));
                    break;
                case Field::CPPTYPE_INT64:
                    repeated ? reflection->AddInt64(&message, field, number())
                             : reflection->SetInt64(&message, field, number());
                    break;
                case Field::CPPTYPE_UINT32:
                    repeated ? reflection->AddUInt32(&message, field,
                                                     static_cast<std::uint32_t>(random()))
                             : reflection->SetUInt32(&message, field,
                                                     static_cast<std::uint32_t>(random()));
                    break;
                case Field::CPPTYPE_UINT64:
                    repeated ? reflection->AddUInt64(&message, field, random())
                             : reflection->SetUInt64(&message, field, random());
                    break;
                case Field::CPPTYPE_DOUBLE:
                    repeated
                        ? reflection->AddDouble(&message, field, static_cast<double>(number()) / 7)
                        : reflection->SetDouble(&message, field, static_cast<double>(number()) / 7);
                    break;
                case Field::CPPTYPE_BOOL:
                    repeated ? reflection->AddBool(&message, field, random() % 2)
                             : reflection->SetBool(&message, field, random() % 2);
                    break;
                case Field::CPPTYPE_STRING: {
                    const std::string text(random() % 20, static_cast<char>('a' + random() % 26));
                    repeated ? reflection->AddString(&message, field, text)
                             : reflection->SetString(&message, field, text);
                    break;
                }
                case Field::CPPTYPE_MESSAGE:
                    if (depth < 4) {
                        fill_randomly(repeated ? *reflection->AddMessage(&message, field)
                                               : *reflection->MutableMessage(&message, field),
                                      random, depth + 1);
                    }
                    break;
                default:
                    FAIL() << field->full_name();
            }
        }
    }
}

// Writes random records at intervals of `step` and finishes; returns them with their times since
// the recording began.
std::vector<std::pair<Micros, std::string>> write_records(Writer& writer, int count, Micros step,
                                                          std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<std::pair<Micros, std::string>> out;
    Micros now = 1s;
    for (int n = 0; n < count; ++n) {
        pb::Record content;
        fill_randomly(content, random);
        content.clear_after_us();
        pb::Record& record = writer.add(now);
        const auto after_us = record.after_us();
        record.MergeFrom(content);
        record.set_after_us(after_us);
        writer.name("name-" + std::to_string(random() % 50));
        out.emplace_back(now - 1s, content.SerializeAsString());
        now += step;
    }
    writer.finish();
    return out;
}

std::vector<std::pair<Micros, std::string>> read_records(Reader& reader) {
    std::vector<std::pair<Micros, std::string>> out;
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        Micros at(block.first_us());
        for (auto record : block.records()) {
            at += Micros(record.after_us());
            record.clear_after_us();
            out.emplace_back(at, record.SerializeAsString());
        }
    });
    return out;
}

WriterOptions small_block_options() {
    WriterOptions out;
    out.target_block_bytes = 400;
    out.when_full = WhenFull::Wait;
    return out;
}

// Recordings of many lengths are written and read back. All records must come back in order, and a
// scan must find the same blocks as the index.
TEST(Record, RecordsAreReadBackAsWritten) {
    const TemporaryDirectory folder;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto path = folder.file("a");
        Writer writer(open_file_sink(path), header(), small_block_options());
        const auto written =
            write_records(writer, static_cast<int>(seed * 7 % 200), Micros(seed * 1000), seed);
        Reader reader(path);
        ASSERT_TRUE(reader.is_complete());
        ASSERT_EQ(read_records(reader), written) << "seed " << seed;
        EXPECT_TRUE(reader.damage().empty());
        const auto indexed_blocks = reader.blocks().size();
        reader.scan();
        EXPECT_EQ(reader.blocks().size(), indexed_blocks);
        EXPECT_TRUE(reader.damage().empty());
    }
}

// The file is truncated at every possible byte, as if the process died or the disk filled up during
// a write. All whole blocks before the cut must be read, and the damage must be reported.
TEST(Record, TruncatedFileIsReadUpToItsLastWholeBlock) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("whole")), header(), small_block_options());
    const auto written = write_records(writer, 40, 1ms, 3);
    const std::string whole = read_file(folder.file("whole"));
    Reader all(folder.file("whole"));
    ASSERT_GT(all.blocks().size(), 2u);
    const auto ends_at = [&](std::size_t block) {
        return block + 1 < all.blocks().size() ? all.blocks()[block + 1].offset : whole.size();
    };
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        write_file(folder.file("cut"), std::string_view(whole).substr(0, cut));
        if (cut < all.blocks()[0].offset) {
            EXPECT_THROW(Reader(folder.file("cut")), std::runtime_error) << cut;
            continue;
        }
        Reader reader(folder.file("cut"));
        std::size_t whole_blocks = 0;
        while (whole_blocks + 1 < all.blocks().size() && ends_at(whole_blocks) <= cut) {
            ++whole_blocks;
        }
        // The last block is never counted: it ends where the index begins, which is not known here.
        ASSERT_GE(reader.blocks().size(), whole_blocks) << cut;
        ASSERT_FALSE(reader.is_complete()) << cut;
        ASSERT_FALSE(reader.damage().empty()) << cut;
        const auto got = read_records(reader);
        ASSERT_TRUE(std::equal(got.begin(), got.end(), written.begin())) << cut;
    }
}

// One bit of the file is flipped, in each byte in turn. At most the block with that byte may be
// lost, and the damage must be reported at the block's offset.
TEST(Record, FlippedByteDamagesOnlyItsBlockAndIsReported) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("whole")), header(), small_block_options());
    const auto written = write_records(writer, 40, 1ms, 3);
    const std::string whole = read_file(folder.file("whole"));
    Reader all(folder.file("whole"));
    const auto& places = all.blocks();
    for (std::size_t at = places[0].offset; at < whole.size(); ++at) {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
        write_file(folder.file("damaged"), damaged);
        Reader reader(folder.file("damaged"));
        reader.scan();
        std::size_t damaged_block = 0;
        while (damaged_block + 1 < places.size() && places[damaged_block + 1].offset <= at) {
            ++damaged_block;
        }
        ASSERT_FALSE(reader.damage().empty()) << at;
        ASSERT_GE(reader.blocks().size() + 1, places.size()) << at;
        if (reader.blocks().size() < places.size()) {
            ASSERT_EQ(reader.damage().front().offset, places[damaged_block].offset) << at;
        }
        for (std::size_t k = 0; k < reader.blocks().size(); ++k) {
            EXPECT_NO_THROW(reader.read(k));
        }
    }
}

// A file that has an unknown format, is not a recording or is missing must be refused. A record of
// an unknown kind, as a newer program may write it, must be skipped.
TEST(Record, OtherFormatsAreRefusedAndUnknownRecordsSkipped) {
    const TemporaryDirectory folder;
    for (const std::uint32_t format : {0u, kFormat + 1}) {
        pb::Header other = header();
        other.set_format(format);
        write_file(folder.file("other"),
                   encode_frame(FrameKind::Header, other.SerializeAsString(), 3));
        try {
            Reader reader(folder.file("other"));
            FAIL() << "read format " << format;
        } catch (const std::runtime_error& failure) {
            EXPECT_NE(std::string(failure.what()).find("format " + std::to_string(format)),
                      std::string::npos)
                << failure.what();
        }
    }
    write_file(folder.file("text"), "[governor]\nid = governor-0\n");
    EXPECT_THROW(Reader(folder.file("text")), std::runtime_error);
    EXPECT_THROW(Reader(folder.file("missing")), std::runtime_error);
    // A record with an unknown payload, field 99.
    pb::Record newer;
    ASSERT_TRUE(newer.ParseFromString(std::string("\x08\x02\x9a\x06\x02hi", 7)));
    EXPECT_EQ(newer.payload_case(), pb::Record::PAYLOAD_NOT_SET);
}

// A sink whose writes block until `released` is ready, except the first one, which is the header.
class BlockedSink final : public Sink {
public:
    BlockedSink(std::unique_ptr<Sink> target, std::shared_future<void> released)
        : target_(std::move(target)),
          released_(std::move(released)) {}

    bool write(std::string_view bytes, std::string& error) override {
        if (++writes_ > 1) {
            released_.wait();
        }
        return target_->write(bytes, error);
    }

private:
    std::unique_ptr<Sink> target_;
    std::shared_future<void> released_;
    int writes_ = 0;
};

// The disk blocks while records are added. Whole blocks are dropped, the caller never waits, and
// the file must hold how many records are missing.
TEST(Record, SlowDiskDropsWholeBlocksAndTheFileHoldsTheirCount) {
    const TemporaryDirectory folder;
    std::promise<void> release;
    WriterOptions options;
    options.target_block_bytes = 100;
    options.max_queued_blocks = 3;
    options.when_full = WhenFull::Drop;
    Writer writer(std::make_unique<BlockedSink>(open_file_sink(folder.file("slow")),
                                                release.get_future().share()),
                  header(), options);
    constexpr int kRecords = 500;
    for (int n = 0; n < kRecords; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.flush();
    EXPECT_GT(writer.stats().lost_records, 0u);
    release.set_value();
    writer.finish();
    const auto figures = writer.stats();
    EXPECT_EQ(figures.records + figures.lost_records, static_cast<std::uint64_t>(kRecords));
    Reader reader(folder.file("slow"));
    std::uint64_t read = 0;
    std::uint64_t lost = 0;
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        read += static_cast<std::uint64_t>(block.records_size());
        lost += block.lost_records();
    });
    EXPECT_EQ(read, figures.records);
    EXPECT_EQ(lost, figures.lost_records);
}

// The disk is slow and the caller may wait for it. No record may be lost.
TEST(Record, WaitingWriterLosesNothingOnASlowDisk) {
    const TemporaryDirectory folder;
    std::promise<void> release;
    WriterOptions options;
    options.target_block_bytes = 100;
    options.max_queued_blocks = 2;
    options.when_full = WhenFull::Wait;
    Writer writer(std::make_unique<BlockedSink>(open_file_sink(folder.file("slow")),
                                                release.get_future().share()),
                  header(), options);
    auto releaser = std::async(std::launch::async, [&] { release.set_value(); });
    for (int n = 0; n < 500; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    EXPECT_EQ(writer.stats().records, 500u);
    EXPECT_EQ(writer.stats().lost_records, 0u);
}

// A sink that fails from the fourth write on; the first one is the header.
class FullSink final : public Sink {
public:
    bool write(std::string_view, std::string& error) override {
        if (++writes_ < 4) {
            return true;
        }
        error = "no space left";
        return false;
    }

private:
    int writes_ = 0;
};

// The disk is full after a few writes. The recording must end with the reason, and every record
// must be counted as written or lost.
TEST(Record, FullDiskEndsTheRecordingAndLostRecordsAreCounted) {
    WriterOptions options;
    options.target_block_bytes = 100;
    options.when_full = WhenFull::Wait;
    Writer writer(std::make_unique<FullSink>(), header(), options);
    for (int n = 0; n < 500; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    const auto figures = writer.stats();
    EXPECT_EQ(figures.error, "no space left");
    EXPECT_EQ(figures.records + figures.lost_records, 500u);
    EXPECT_EQ(figures.blocks, 2u);
}

// The clock goes back while a block is open, so that the block's first record is not its earliest.
// A search by time must still find the block.
TEST(Record, BlocksAreFoundByTimeAfterTheClockWentBack) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("back")), header(), small_block_options());
    for (const Micros at : {10s, 11s, 5s, 6s}) {
        writer.add(at).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    Reader reader(folder.file("back"));
    int found = 0;
    reader.for_each_block(4s, 5s, [&](const pb::Block&) { ++found; });
    EXPECT_EQ(found, 1);
    Micros first = Micros::max();
    for (const auto& block : reader.blocks()) {
        first = std::min(first, block.first);
    }
    EXPECT_EQ(first, 4s);  // since the recording began at 1 s
}

}  // namespace
}  // namespace badgergrade::recording
