// The steps of a download, which holds its slot until its last byte.

#include "../common/json_http.hpp"
#include "target_service.hpp"

#include <algorithm>
#include <charconv>

namespace vanillapost::standin {

namespace {

constexpr std::uint64_t chunk_bytes = 16 * 1024;
constexpr std::uint64_t default_file_bytes = 256 * 1024;
constexpr std::uint64_t max_file_bytes = 1024ULL * 1024 * 1024;

std::uint64_t file_size(const io::server_exchange& exchange)
{
    const auto text = exchange.query_value("bytes");
    std::uint64_t size = default_file_bytes;
    std::from_chars(text.data(), text.data() + text.size(), size);
    return std::clamp<std::uint64_t>(size, 1, max_file_bytes);
}

/// The part that is asked for; the whole file where the caller's validator
/// is another one.
std::optional<byte_range> asked_range(const io::server_exchange& exchange,
                                      std::uint64_t size,
                                      const std::string& etag)
{
    const auto range = header_or(exchange, "Range", "");
    if (range.empty() || header_or(exchange, "If-Range", etag) != etag)
        return std::nullopt;
    return parse_range(range, size);
}

std::string content_range(const byte_range& range, std::uint64_t size)
{
    return "bytes " + std::to_string(range.first) + "-" +
           std::to_string(range.last) + "/" + std::to_string(size);
}

} // namespace

void target_service::begin_file(work_id id)
{
    auto& exchange = *waiting_.find(id);
    auto& work = running_[id];
    const auto size = file_size(exchange);
    const auto etag = "\"" + work.file + "-" + std::to_string(size) + "\"";
    const auto part = asked_range(exchange, size, etag);
    work.left = part.value_or(byte_range{0, size - 1});
    auto headers = answer_headers(exchange);
    headers[0].value = "application/octet-stream";
    headers.push_back({"ETag", etag});
    headers.push_back({"Accept-Ranges", "bytes"});
    headers.push_back({"Content-Length", std::to_string(work.left.size())});
    if (part)
        headers.push_back({"Content-Range", content_range(*part, size)});
    exchange.on_drained([this, id] { pace_file(id); });
    exchange.start(part ? 206 : 200, headers);
    write_file(id);
}

void target_service::write_file(work_id id)
{
    auto& exchange = *waiting_.find(id);
    auto& work = running_[id];
    const bool truncates =
        work.left.size() <= chunk_bytes && takes_truncation();
    const auto count = std::min(work.left.size(), chunk_bytes);
    const auto bytes = file_content(work.file).range(
        work.left.first, static_cast<std::size_t>(count));
    if (truncates) {
        exchange.write(std::string_view(bytes).substr(0, bytes.size() / 2));
        forget(id);
        work_.complete(loop_.now());
        waiting_.drop(id);
        return;
    }
    const bool last = count == work.left.size();
    work.left.first += count;
    exchange.write(bytes);
    if (!last)
        return;
    forget(id);
    work_.complete(loop_.now());
    if (auto done = waiting_.take(id))
        done->finish();
}

void target_service::pace_file(work_id id)
{
    const auto work = running_.find(id);
    if (work == running_.end())
        return;
    const auto seconds = static_cast<double>(chunk_bytes) /
                         static_cast<double>(settings_.file_bytes_per_second);
    const auto pause = std::chrono::duration<double>(
        seconds * work->second.factor * slow_factor_);
    tasks_.cancel(work->second.next);
    schedule(id, std::chrono::duration_cast<duration>(pause),
             &target_service::write_file);
}

} // namespace vanillapost::standin
