#ifndef VANILLAPOST_SRC_IO_PLATFORM_CLIENT_HPP
#define VANILLAPOST_SRC_IO_PLATFORM_CLIENT_HPP

#include "../base/time.hpp"
#include "../table/table.hpp"
#include "address.hpp"
#include "event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillapost::io {

/// The client of a table service with transactions.
///
/// Every call ends with one callback, within its timeout. Destroying the
/// client drops calls without callbacks.
class platform_client
{
public:
    /// \param client_name  sent with each call, for the platform's log
    platform_client(event_loop& loop, address platform, std::string client_name,
                    duration timeout = std::chrono::seconds(1));
    ~platform_client();

    template <class T>
    using callback = std::function<void(platform_result<T>)>;

    void read(std::string_view key, callback<table_row> done);
    void changes(std::string_view prefix, revision since,
                 callback<table_changes> done);
    void transact(const table_transaction& transaction,
                  std::function<void(transaction_result)> done);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
