#include "vanillapost/src/io/table_follower.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::io {

namespace {

store_failure outdated_answer(std::uint64_t revision, std::uint64_t known)
{
    return {store_failure_kind::outdated,
            "the answer is of revision " + revision_text(revision) +
                ", known is " + revision_text(known)};
}

} // namespace

table_follower::table_follower(event_loop& loop, row_store& store,
                               std::string table,
                               table_follower_settings settings,
                               random_engine random,
                               table_follower_handlers handlers)
    : loop_(loop), store_(store), table_(std::move(table)), settings_(settings),
      random_(random), handlers_(std::move(handlers)),
      timer_(loop, [this] { next(); }), alive_(std::make_shared<bool>(false))
{
}

table_follower::~table_follower()
{
    stop();
}

void table_follower::start(std::uint64_t known_revision)
{
    stop();
    started_ = true;
    alive_ = std::make_shared<bool>(true);
    revision_ = known_revision;
    told_ = known_revision;
    needs_read_ = known_revision == 0;
    reachable_ = true;
    confirmed_ = false;
    failures_ = 0;
    once_ = false;
    next();
}

void table_follower::read_once()
{
    start();
    once_ = true;
}

void table_follower::stop()
{
    started_ = false;
    *alive_ = false;
    timer_.cancel();
}

void table_follower::next()
{
    if (!needs_read_) {
        follow();
        return;
    }
    pages_.clear();
    read_revision_ = 0;
    read_page("");
}

void table_follower::read_page(std::string first_key)
{
    store_.read(table_, first_key, [this, alive = alive_](store_result result) {
        if (*alive)
            take_page(std::move(result));
    });
}

void table_follower::take_page(store_result result)
{
    if (const auto* failure = std::get_if<store_failure>(&result)) {
        on_failure(*failure);
        return;
    }
    auto& page = std::get<store_rows>(result);
    // Later pages are of a later moment: changes since the first are read
    // again from the feed, unless the store was restored in between.
    if (read_revision_ == 0)
        read_revision_ = page.revision;
    if (epoch_of(page.revision) != epoch_of(read_revision_)) {
        read_again();
        return;
    }
    if (epoch_of(page.revision) < epoch_of(revision_)) {
        on_failure(outdated_answer(page.revision, revision_));
        return;
    }
    std::ranges::move(page.rows, std::back_inserter(pages_));
    if (page.more && !pages_.empty()) {
        read_page(pages_.back().key + '\0');
        return;
    }
    needs_read_ = false;
    revision_ = std::max(revision_, read_revision_);
    told_ = read_revision_;
    const auto rows = std::exchange(pages_, {});
    const bool back = note_answer();
    // Before the handlers: it must go on when one of them fails.
    if (once_)
        stop();
    else
        follow();
    if (back)
        handlers_.on_back();
    handlers_.on_read(rows, read_revision_);
}

void table_follower::follow()
{
    const bool trial = !reachable_ || !confirmed_;
    const auto wait = trial ? settings_.trial_wait : settings_.longest_wait;
    store_.follow(table_, revision_, wait,
                  [this, alive = alive_](store_result result) {
                      if (*alive)
                          take_changes(std::move(result));
                  });
}

void table_follower::take_changes(store_result result)
{
    if (const auto* failure = std::get_if<store_failure>(&result)) {
        needs_read_ = failure->kind == store_failure_kind::history_lost;
        on_failure(*failure);
        return;
    }
    const auto& changes = std::get<store_rows>(result);
    if (epoch_of(changes.revision) < epoch_of(revision_)) {
        on_failure(outdated_answer(changes.revision, revision_));
        return;
    }
    // The changes after a revision of an earlier epoch are only some of those
    // that were made.
    if (epoch_of(changes.revision) > epoch_of(revision_)) {
        read_again();
        return;
    }
    revision_ = std::max(revision_, changes.revision);
    const bool back = note_answer();
    timer_.start_once(settings_.batch_delay);
    if (back)
        handlers_.on_back();
    if (changes.rows.empty())
        return;
    const auto after = told_;
    for (const auto& row : changes.rows)
        told_ = std::max(told_, row.revision);
    handlers_.on_changed(changes.rows, after);
}

void table_follower::read_again()
{
    needs_read_ = true;
    timer_.start_once(duration(1));
}

bool table_follower::note_answer()
{
    failures_ = 0;
    confirmed_ = true;
    return !std::exchange(reachable_, true);
}

void table_follower::on_failure(const store_failure& failure)
{
    const bool outage = failure.kind != store_failure_kind::history_lost;
    constexpr int max_doublings = 5;
    const auto delay = std::min(settings_.first_retry *
                                    (1 << std::min(failures_, max_doublings)),
                                settings_.longest_retry);
    if (outage)
        ++failures_;
    // Spread over half of the delay, so that instances do not call together.
    const auto half = std::max<std::int64_t>(delay.count() / 2, 1);
    const auto spread = duration(static_cast<std::int64_t>(random_()) % half);
    timer_.start_once(outage ? delay / 2 + spread : spread / 4);
    if (outage && reachable_) {
        reachable_ = false;
        handlers_.on_lost(failure);
    }
}

} // namespace vanillapost::io
