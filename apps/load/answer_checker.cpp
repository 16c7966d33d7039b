#include "answer_checker.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost::load {

answer_checker::answer_checker(std::string request_id, std::string key,
                               const std::string& file,
                               std::uint64_t file_bytes)
    : request_id_(std::move(request_id)), key_(std::move(key)),
      is_file_(!file.empty()), content_(file), file_bytes_(file_bytes)
{
}

void answer_checker::add(std::string_view data)
{
    constexpr std::size_t max_kept = 64 * 1024;
    if (!is_file_ || body_.size() < max_kept)
        body_ += data;
    if (!is_file_)
        return;
    for (const char c : data)
        same_ = same_ && c == content_.at(received_++);
}

bool answer_checker::accepts() const
{
    if (is_file_)
        return same_ && received_ == file_bytes_;
    const auto document = nlohmann::json::parse(body_, nullptr, false);
    if (!document.is_object())
        return false;
    return document.value("request_id", "") == request_id_ &&
           document.value("key", "") == key_;
}

} // namespace vanillapost::load
