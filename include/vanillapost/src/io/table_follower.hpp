#ifndef VANILLAPOST_SRC_IO_TABLE_FOLLOWER_HPP
#define VANILLAPOST_SRC_IO_TABLE_FOLLOWER_HPP

#include "../base/random.hpp"
#include "event_loop.hpp"
#include "row_store.hpp"

#include <optional>

namespace vanillapost::io {

struct table_follower_settings
{
    /// How long the store holds back an answer while nothing changes. An
    /// answer that is lost is noticed only after this time.
    duration longest_wait = std::chrono::seconds(2);
    /// The same for the first call and while the store is away, to learn soon
    /// whether it answers.
    duration trial_wait = std::chrono::milliseconds(100);
    /// Pause between two answers, so that many changes come in one.
    duration batch_delay = std::chrono::milliseconds(150);
    duration first_retry = std::chrono::milliseconds(100);
    duration longest_retry = std::chrono::milliseconds(800);
};

struct table_follower_handlers
{
    /// The whole table, and the store's revision when it was read.
    std::function<void(const std::vector<store_row>&, std::uint64_t)> on_read;
    /// Rows in the order of their changes: all that changed after a revision.
    std::function<void(const std::vector<store_row>&, std::uint64_t after)>
        on_changed;
    std::function<void(const store_failure&)> on_lost; ///< once an outage
    std::function<void()> on_back;
};

/// Reads a table once and follows its changes, through outages of the store,
/// loss of its history and restores from an older copy.
class table_follower
{
public:
    table_follower(event_loop& loop, row_store& store, std::string table,
                   table_follower_settings settings, random_engine random,
                   table_follower_handlers handlers);
    ~table_follower();
    table_follower(const table_follower&) = delete;
    table_follower& operator=(const table_follower&) = delete;

    /// Follows the changes after a revision that is known already; reads the
    /// whole table first when that is 0.
    void start(std::uint64_t known_revision = 0);

    /// Reads the whole table and does not follow its changes. While the store
    /// does not answer it is tried again.
    void read_once();

    /// Ends a call that is out, and makes no more.
    void stop();

    bool is_started() const
    {
        return started_;
    }

    bool is_reachable() const
    {
        return reachable_;
    }

    /// Whether the store has answered since the start.
    bool is_confirmed() const
    {
        return confirmed_;
    }

private:
    void next();
    void read_page(std::string first_key);
    void take_page(store_result result);
    void follow();
    void take_changes(store_result result);
    void read_again();
    /// \return whether it ends an outage
    bool note_answer();
    void on_failure(const store_failure& failure);

    event_loop& loop_;
    row_store& store_;
    std::string table_;
    table_follower_settings settings_;
    random_engine random_;
    table_follower_handlers handlers_;
    timer timer_;
    std::shared_ptr<bool> alive_; ///< false once stopped; held by callbacks
    std::vector<store_row> pages_;
    std::uint64_t read_revision_ = 0; ///< of the first page being read
    std::uint64_t revision_ = 0;
    std::uint64_t told_ = 0; ///< newest change that the handlers know
    bool once_ = false;
    bool needs_read_ = true;
    bool reachable_ = true;
    bool started_ = false;
    bool confirmed_ = false;
    int failures_ = 0;
};

} // namespace vanillapost::io

#endif
