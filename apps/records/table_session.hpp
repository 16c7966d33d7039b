#ifndef VANILLAPOST_APPS_RECORDS_TABLE_SESSION_HPP
#define VANILLAPOST_APPS_RECORDS_TABLE_SESSION_HPP

#include <functional>
#include <string>
#include <vanillapost/base.hpp>
#include <vanillapost/io.hpp>
#include <vanillapost/operations.hpp>
#include <vanillapost/table.hpp>

namespace vanillapost::records_app {

/// Thrown when the platform does not answer a read within the bounds.
class read_unavailable : public error
{
public:
    using error::error;
};

/// Calls to the table, one after the other, each until its end.
class table_session
{
public:
    table_session(const io::address& platform, duration timeout,
                  retry_limits limits, random_engine random);

    /// Every row of the records, withdrawn ones included.
    /// \throws read_unavailable  when the platform does not answer
    row_index read_records();

    /// One row; revision 0 when there is none.
    /// \throws read_unavailable  when the platform does not answer
    table_row read(const std::string& key);

    /// Submits until the outcome is known or the bounds are reached.
    write_outcome write(table_transaction transaction);

private:
    template <class T>
    using start_call =
        std::function<void(std::function<void(platform_result<T>)>)>;

    template <class T>
    T read_until_answered(const start_call<T>& start);
    template <class T>
    platform_result<T> wait_for(const start_call<T>& start);
    write_step submit(settled_write& write);
    write_step follow(settled_write& write, const write_step& step);
    void sleep(duration delay);

    io::event_loop loop_;
    io::platform_client client_;
    std::string peer_;
    retry_limits limits_;
    random_engine random_;
};

} // namespace vanillapost::records_app

#endif
