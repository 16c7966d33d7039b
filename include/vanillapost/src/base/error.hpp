#ifndef VANILLAPOST_SRC_BASE_ERROR_HPP
#define VANILLAPOST_SRC_BASE_ERROR_HPP

#include <stdexcept>
#include <string>
#include <string_view>

namespace vanillapost {

/// Base of the project's exceptions: what failed, in which step and with
/// which peer.
class error : public std::runtime_error
{
public:
    /// \param step  what was being done, such as "parse record"
    /// \param peer  the other side: a process, file or table key; may be empty
    /// \param what  the failure in plain words
    error(std::string_view step, std::string_view peer, std::string_view what);

    const std::string& step() const
    {
        return step_;
    }

    const std::string& peer() const
    {
        return peer_;
    }

private:
    std::string step_;
    std::string peer_;
};

} // namespace vanillapost

#endif
