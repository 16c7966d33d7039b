#ifndef VANILLAPOST_APPS_LOAD_ANSWER_CHECKER_HPP
#define VANILLAPOST_APPS_LOAD_ANSWER_CHECKER_HPP

#include "../../standins/common/file_content.hpp"

#include <string>
#include <string_view>

namespace vanillapost::load {

/// Checks that an answer is the whole one to its own request: the request's
/// id stands in it, or each byte is the file's.
class answer_checker
{
public:
    /// \param file  name of the file that is asked for; "" for other calls
    answer_checker(std::string request_id, std::string key,
                   const std::string& file, std::uint64_t file_bytes);

    void add(std::string_view data);

    /// Whether all of the answer is as it has to be.
    bool accepts() const;

    /// The bytes so far of an answer that is not a file.
    const std::string& body() const
    {
        return body_;
    }

private:
    std::string request_id_;
    std::string key_;
    bool is_file_;
    standin::file_content content_;
    std::uint64_t file_bytes_;
    std::uint64_t received_ = 0;
    bool same_ = true;
    std::string body_;
};

} // namespace vanillapost::load

#endif
