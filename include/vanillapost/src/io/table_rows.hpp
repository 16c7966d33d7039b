#ifndef VANILLAPOST_SRC_IO_TABLE_ROWS_HPP
#define VANILLAPOST_SRC_IO_TABLE_ROWS_HPP

#include "platform_client.hpp"
#include "row_store.hpp"

#include <map>
#include <memory>

namespace vanillapost::io {

/// The table service that \ref platform_client speaks to, as tables of rows:
/// a table is the rows whose keys begin with its name and a slash.
///
/// The service answers questions for changes at once, so it is asked again at
/// intervals while there are none.
class table_rows : public row_store
{
public:
    /// \param writer  begins the ids of writes; no two processes may have the
    ///                same
    table_rows(event_loop& loop, platform_client& client, std::string writer);
    ~table_rows() override;

    void read(std::string_view table, std::string_view first_key,
              handler done) override;
    void follow(std::string_view table, std::uint64_t after,
                duration longest_wait, handler done) override;
    void put(std::string_view table, std::string_view key,
             std::string_view value, handler done) override;
    void read_row(std::string_view table, std::string_view key,
                  handler done) override;
    void put_if(std::span<const row_condition> expected, std::string_view table,
                std::string_view key, std::string_view value,
                handler done) override;

private:
    struct delayed;

    void report(const platform_result<table_changes>& answer,
                const std::string& prefix) const;
    void answer_later(duration wait, store_result result, handler done);
    void write(std::string key, std::uint64_t expected, std::string value,
               handler done);

    event_loop& loop_;
    platform_client& client_;
    std::string writer_;
    std::uint64_t writes_ = 0;
    std::map<std::uint64_t, std::unique_ptr<delayed>> delayed_;
    std::uint64_t next_delayed_ = 0;
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
};

} // namespace vanillapost::io

#endif
