#include "replica/pace_codec.hpp"

#include <cmath>

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>
#pragma GCC diagnostic pop

namespace cyclamen::replica {

namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;

/// Number of the extension field, reserved in proto/feed.proto.
constexpr int paces_field = 3;

enum changes_field : int { position_field = 1, reports_field = 2 };
enum report_field : int { target_field = 1, born_field, factor_field, weight_field, age_field };

/// Largest number of reports that are taken from one message; a sender's bound is lower.
constexpr std::size_t max_reports = 256;
/// Largest age of a report that counts; nothing is left of its weight then.
constexpr core::duration max_age = std::chrono::minutes{10};

std::uint32_t tag_of(int field, WireFormatLite::WireType type)
{
    return WireFormatLite::MakeTag(field, type);
}

std::string encode(const routing::pace_report& report)
{
    const auto milliseconds = [](auto time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    std::string bytes;
    {
        StringOutputStream stream{&bytes};
        CodedOutputStream out{&stream};
        WireFormatLite::WriteString(target_field, report.target.str(), &out);
        WireFormatLite::WriteUInt64(
            born_field,
            static_cast<std::uint64_t>(milliseconds(report.started_at.time_since_epoch())), &out);
        WireFormatLite::WriteFloat(factor_field, static_cast<float>(report.factor), &out);
        WireFormatLite::WriteFloat(weight_field, static_cast<float>(report.weight), &out);
        WireFormatLite::WriteUInt32(age_field, static_cast<std::uint32_t>(milliseconds(report.age)),
                                    &out);
    }
    return bytes;
}

bool read_text(CodedInputStream& in, std::string& text)
{
    std::uint32_t length = 0;
    return in.ReadVarint32(&length) && in.ReadString(&text, static_cast<int>(length));
}

bool read_float(CodedInputStream& in, double& value)
{
    std::uint32_t bits = 0;
    const bool read = in.ReadLittleEndian32(&bits);
    value = static_cast<double>(WireFormatLite::DecodeFloat(bits));
    return read;
}

CodedInputStream stream_of(std::string_view bytes)
{
    return CodedInputStream{reinterpret_cast<const std::uint8_t*>(bytes.data()),
                            static_cast<int>(bytes.size())};
}

/// Adds a report to the changes if it is valid.
/// @return false if the bytes are damaged
bool read_report(std::string_view bytes, pace_changes& into)
{
    CodedInputStream in = stream_of(bytes);
    std::string target;
    std::uint64_t born_ms = 0;
    std::uint32_t age_ms = 0;
    double factor = 0.0;
    double weight = 0.0;
    bool read = true;
    for (std::uint32_t tag = in.ReadTag(); read && tag != 0; tag = read ? in.ReadTag() : 0) {
        if (tag == tag_of(target_field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED)) {
            read = read_text(in, target);
        }
        else if (tag == tag_of(born_field, WireFormatLite::WIRETYPE_VARINT)) {
            read = in.ReadVarint64(&born_ms);
        }
        else if (tag == tag_of(factor_field, WireFormatLite::WIRETYPE_FIXED32)) {
            read = read_float(in, factor);
        }
        else if (tag == tag_of(weight_field, WireFormatLite::WIRETYPE_FIXED32)) {
            read = read_float(in, weight);
        }
        else if (tag == tag_of(age_field, WireFormatLite::WIRETYPE_VARINT)) {
            read = in.ReadVarint32(&age_ms);
        }
        else {
            read = WireFormatLite::SkipField(&in, tag);
        }
    }
    const core::duration age = std::chrono::milliseconds{age_ms};
    const bool valid = read && !target.empty() && std::isfinite(factor) && factor > 0.0 &&
                       std::isfinite(weight) && weight > 0.0 && age <= max_age;
    if (valid && into.paces.size() < max_reports) {
        into.paces.push_back(routing::pace_report{
            core::target_name{target},
            core::wall_time{std::chrono::milliseconds{static_cast<std::int64_t>(born_ms)}}, factor,
            weight, age});
    }
    return read;
}

pace_changes read_changes(std::string_view bytes)
{
    pace_changes changes;
    CodedInputStream in = stream_of(bytes);
    bool read = true;
    for (std::uint32_t tag = in.ReadTag(); read && tag != 0; tag = read ? in.ReadTag() : 0) {
        std::string report;
        if (tag == tag_of(position_field, WireFormatLite::WIRETYPE_VARINT)) {
            read = in.ReadVarint64(&changes.position);
        }
        else if (tag == tag_of(reports_field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED)) {
            read = read_text(in, report) && read_report(report, changes);
        }
        else {
            read = WireFormatLite::SkipField(&in, tag);
        }
    }
    return read ? changes : pace_changes{};
}

} // namespace

void append_paces(const pace_changes& changes, std::string& message)
{
    if (changes.paces.empty() && changes.position == 0) {
        return;
    }
    std::string bytes;
    {
        StringOutputStream stream{&bytes};
        CodedOutputStream out{&stream};
        WireFormatLite::WriteUInt64(position_field, changes.position, &out);
        for (const routing::pace_report& each : changes.paces) {
            WireFormatLite::WriteBytes(reports_field, encode(each), &out);
        }
    }
    StringOutputStream stream{&message};
    CodedOutputStream out{&stream};
    WireFormatLite::WriteBytes(paces_field, bytes, &out);
}

pace_changes find_paces(std::string_view message)
{
    CodedInputStream in = stream_of(message);
    for (std::uint32_t tag = in.ReadTag(); tag != 0; tag = in.ReadTag()) {
        std::string bytes;
        if (tag == tag_of(paces_field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED)) {
            return read_text(in, bytes) ? read_changes(bytes) : pace_changes{};
        }
        if (!WireFormatLite::SkipField(&in, tag)) {
            break;
        }
    }
    return {};
}

} // namespace cyclamen::replica
