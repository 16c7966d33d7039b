#ifndef VANILLAPOST_TEST_HOLDS_CLUSTER_HPP
#define VANILLAPOST_TEST_HOLDS_CLUSTER_HPP

// Several hold controllers against a table, a list, a mesh and targets that
// are all in memory, in simulated time. The targets judge.

#include "fake_table.hpp"
#include "fault.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/holds.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace vanillapost::test {

using namespace std::chrono_literals;

inline constexpr duration wait_limit = 1s; ///< of a call to the platform

class cluster
{
public:
    struct entry
    {
        listed_instance listed;
        std::unique_ptr<hold_controller> holds;
        double clock_rate = 1.0;
        bool alive = true;
        time_point frozen_until{};
        bool cut_platform = false;
        bool cut_peers = false;
        bool late_sends = false;
        std::map<target_id, int> in_flight;

        time_point local(time_point real) const
        {
            const auto since = real.time_since_epoch() * clock_rate;
            return time_point(std::chrono::duration_cast<duration>(since));
        }
    };

    cluster(int entries, int targets, int slots, std::uint64_t seed)
        : random_(seed)
    {
        for (int i = 0; i < targets; ++i) {
            targets_.push_back({{"t" + std::to_string(i)},
                                {"s" + std::to_string(i % 2)},
                                {std::string(1, char('a' + i % 3))},
                                slots});
        }
        for (int i = 0; i < entries; ++i) {
            start_entry(i);
        }
        update_list();
    }

    void start_entry(int i)
    {
        auto made = std::make_unique<entry>();
        made->listed = {
            .who = {{"e" + std::to_string(i)}, std::to_string(++incarnations_)},
            .data_centre = {std::string(1, char('a' + i % 3))},
            .http_address = {},
            .mesh_address = {}};
        made->clock_rate = 1.0 + (int(random_(41)) - 20) / 1000.0;
        made->holds = std::make_unique<hold_controller>(
            made->listed.who, made->listed.data_centre, settings, random_());
        made->holds->set_targets(targets_, made->local(now_));
        entry* raw = made.get();
        all_.push_back(std::move(made));
        if (static_cast<int>(current_.size()) <= i) {
            current_.resize(i + 1);
        }
        current_[i] = raw;
        tick(*raw);
        read_list(*raw);
    }

    entry& at(int i)
    {
        return *current_.at(i);
    }

    int size() const
    {
        return static_cast<int>(current_.size());
    }

    void kill(int i)
    {
        entry* dead = current_[i];
        dead->alive = false;
        for (const auto& peer : all_) {
            entry* p = peer.get();
            if (random_(4) != 0) {
                after(300ms, [this, p, dead] {
                    deliver(*p, [p, dead](time_point now) {
                        p->holds->on_peer_ended(dead->listed.who, now);
                    });
                });
            }
        }
    }

    void leave(int i)
    {
        entry& e = at(i);
        e.listed.leaving = true;
        deliver(e, [&e](time_point now) { e.holds->start_leaving(now); });
    }

    void set_targets(std::vector<hold_target> targets)
    {
        targets_ = std::move(targets);
        for (const auto& e : all_) {
            e->holds->set_targets(targets_, e->local(now_));
        }
    }

    const std::vector<hold_target>& targets() const
    {
        return targets_;
    }

    void schedule(const fault& f)
    {
        after(f.at, [this, f] { apply(f, true); });
        after(f.at + f.length, [this, f] { apply(f, false); });
    }

    void run(duration length)
    {
        const time_point end = now_ + length;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    /// What an entry may have in flight on a target now.
    int usable(int i, const target_id& target) const
    {
        const entry& e = *current_[i];
        return e.holds->share(target, slots_of(target), e.local(now_)).usable;
    }

    /// Sum of what living entries may use of a target.
    int usable(const target_id& target) const
    {
        int sum = 0;
        for (int i = 0; i < size(); ++i) {
            sum += current_[i]->alive ? usable(i, target) : 0;
        }
        return sum;
    }

    /// The living holder of a target by its own knowledge, or -1.
    int holder(const target_id& target) const
    {
        for (int i = 0; i < size(); ++i) {
            const auto held = current_[i]->holds->held_targets();
            if (current_[i]->alive &&
                std::find(held.begin(), held.end(), target) != held.end()) {
                return i;
            }
        }
        return -1;
    }

    int successor_index(int i) const
    {
        const auto& rows = current_[i]->holds->rows();
        for (const auto& [target, known] : rows) {
            if (known.row && known.row->holder == current_[i]->listed.who &&
                known.row->successor) {
                return std::stoi(known.row->successor->name.value.substr(1));
            }
        }
        return -1;
    }

    std::string excess; ///< first limit that was exceeded, or ""
    long runs = 0;      ///< requests that targets ran
    int writes = 0;     ///< transactions other than heartbeats
    fake_table table;
    bool outage = false;
    bool lose_answers = false;
    bool delay_writes = false;
    bool load = true;
    bool list_frozen = false;
    hold_settings settings;

private:
    void after(duration wait, std::function<void()> what)
    {
        events_.emplace(now_ + wait, std::move(what));
    }

    duration some(duration low, duration high)
    {
        const auto span = static_cast<std::uint32_t>((high - low).count());
        return low + duration(random_(span + 1));
    }

    /// Runs an event in an entry, later if it is frozen, never if it ended.
    void deliver(entry& e, std::function<void(time_point)> event)
    {
        if (!e.alive) {
            return;
        }
        if (now_ < e.frozen_until) {
            events_.emplace(e.frozen_until,
                            [this, &e, event] { deliver(e, event); });
            return;
        }
        event(e.local(now_));
        for (const hold_action& action : e.holds->take_actions()) {
            std::visit([this, &e](const auto& a) { carry_out(e, a); }, action);
        }
    }

    void tick(entry& e)
    {
        deliver(e, [this, &e](time_point now) {
            e.holds->tick(now);
            start_requests(e, now);
        });
        if (e.alive) {
            after(some(40ms, 60ms), [this, &e] { tick(e); });
        }
    }

    void update_list()
    {
        if (!list_frozen) {
            instance_list next;
            for (const auto& e : all_) {
                if (e->alive) {
                    next.instances.push_back(e->listed);
                }
            }
            after(1s, [this, next, made = now_] {
                list_ = next;
                list_made_ = made;
            });
        }
        after(250ms, [this] { update_list(); });
    }

    void read_list(entry& e)
    {
        if (!outage && !e.cut_platform && list_made_ != time_point{}) {
            instance_list list = list_;
            list.age = now_ - list_made_;
            const time_point asked = e.local(now_);
            deliver(e, [&e, list, asked](time_point now) {
                e.holds->on_instance_list(list, asked, now);
            });
        }
        if (e.alive) {
            after(300ms, [this, &e] { read_list(e); });
        }
    }

    /// Carries a call to the platform; `call` runs there and gives what to
    /// run in the entry with the answer.
    template <class Call, class Answer>
    void platform_call(entry& e, bool writes_rows, Call call, Answer answer)
    {
        using result = decltype(call());
        auto fail = [this, &e, answer](bool may_have_run) {
            deliver(e, [answer, may_have_run](time_point now) {
                answer(result(platform_unavailable{may_have_run, "fake"}), now);
            });
        };
        if (e.cut_platform || (outage && random_(2) == 0)) {
            after(wait_limit, [fail] { fail(true); });
            return;
        }
        if (outage) {
            after(some(1ms, 20ms), [fail] { fail(false); });
            return;
        }
        if (writes_rows && delay_writes && random_(2) == 0) {
            after(some(1s, 4s), [call] { call(); });
            after(wait_limit, [fail] { fail(true); });
            return;
        }
        const bool lost = writes_rows && lose_answers && random_(2) == 0;
        const duration there =
            random_(20) == 0 ? some(1ms, 400ms) : some(1ms, 10ms);
        const duration back =
            random_(20) == 0 ? some(1ms, 400ms) : some(1ms, 10ms);
        after(there, [this, &e, call, answer, back, lost, fail] {
            auto answered = call();
            if (lost || e.cut_platform) {
                after(wait_limit, [fail] { fail(true); });
                return;
            }
            after(back, [this, &e, answer, answered] {
                deliver(e, [answer, answered](time_point now) {
                    answer(answered, now);
                });
            });
        });
    }

    void carry_out(entry& e, const read_row_action& a)
    {
        platform_call(
            e, false,
            [this, a] { return platform_result<table_row>(table.read(a.key)); },
            [&e, a](const auto& result, time_point now) {
                e.holds->on_row(a.id, result, now);
            });
    }

    void carry_out(entry& e, const read_changes_action& a)
    {
        platform_call(
            e, false,
            [this, a] {
                return platform_result<table_changes>(
                    table.changes(a.prefix, a.since));
            },
            [&e, a](const auto& result, time_point now) {
                e.holds->on_changes(a.id, result, now);
            });
    }

    void carry_out(entry& e, const transact_action& a)
    {
        writes += a.transaction.operations[0].key.starts_with(hold_prefix);
        platform_call(
            e, true, [this, a] { return table.transact(a.transaction); },
            [&e, a](const auto& result, time_point now) {
                e.holds->on_transact(a.id, result, now);
            });
    }

    void to_peer(entry& from, const entry_incarnation& to,
                 std::function<void(entry&, time_point)> event)
    {
        for (const auto& peer : all_) {
            entry* p = peer.get();
            if (p->listed.who != to || from.cut_peers || p->cut_peers) {
                continue;
            }
            after(random_(10) == 0 ? some(1ms, 700ms) : some(1ms, 5ms),
                  [this, p, event] {
                      deliver(*p,
                              [p, event](time_point now) { event(*p, now); });
                  });
        }
    }

    void carry_out(entry& e, const promise_ask_action& a)
    {
        to_peer(e, a.to, [from = e.listed.who, a](entry& peer, time_point now) {
            peer.holds->on_promise_ask(from, a.id, now);
        });
    }

    void carry_out(entry& e, const promise_action& a)
    {
        to_peer(e, a.to, [from = e.listed.who, a](entry& peer, time_point now) {
            peer.holds->on_promise(from, a.id, a.granted, now);
        });
    }

    void carry_out(entry& e, const hint_action& a)
    {
        to_peer(e, a.to,
                [](entry& peer, time_point now) { peer.holds->on_hint(now); });
    }

    int slots_of(const target_id& name) const
    {
        for (const hold_target& target : targets_) {
            if (target.name == name) {
                return target.slots;
            }
        }
        return 0;
    }

    /// Starts as many requests as the entry may.
    void start_requests(entry& e, time_point now)
    {
        if (!load) {
            return;
        }
        for (const hold_target& target : targets_) {
            const hold_share share =
                e.holds->share(target.name, target.slots, now);
            for (int& n = e.in_flight[target.name]; n < share.usable;) {
                ++n;
                const duration left = n > share.half
                                          ? share.exclusive_deadline - now
                                          : settings.max_attempt;
                start_request(e, target, left);
                e.holds->set_in_flight(target.name, n);
            }
        }
    }

    void start_request(entry& e, const hold_target& target, duration left)
    {
        const time_point deadline = now_ + left;
        const duration work =
            random_(4) == 0 ? settings.max_attempt : some(10ms, 500ms);
        const duration way = e.late_sends ? some(1ms, 6s) : some(1ms, 3ms);
        after(way, [this, &e, target, deadline, work] {
            if (now_ >= deadline) {
                end_request(e, target.name);
                return;
            }
            run_request(e, target, std::min(deadline, now_ + work));
        });
    }

    void run_request(entry& e, const hold_target& target, time_point end)
    {
        ++runs;
        if (++on_target_[target.name] > target.slots && excess.empty()) {
            excess = target.name.value + " by " + e.listed.who.name.value +
                     " at " +
                     std::to_string(now_.time_since_epoch().count() / 1000);
        }
        events_.emplace(end, [this, &e, target] {
            --on_target_[target.name];
            end_request(e, target.name);
        });
    }

    void end_request(entry& e, const target_id& target)
    {
        after(some(1ms, 3ms), [this, &e, target] {
            deliver(e, [&e, target](time_point) {
                e.holds->set_in_flight(target, --e.in_flight[target]);
            });
        });
    }

    void apply(const fault& f, bool on)
    {
        entry& e = at(f.entry % size());
        switch (f.what) {
        case fault::kind::kill:
        case fault::kind::restart:
            apply_end(f, on);
            break;
        case fault::kind::freeze:
            e.frozen_until = on ? now_ + f.length : e.frozen_until;
            break;
        case fault::kind::cut_platform:
            e.cut_platform = on;
            break;
        case fault::kind::cut_peers:
            e.cut_peers = on;
            break;
        case fault::kind::cut_both:
            e.cut_platform = e.cut_peers = on;
            break;
        case fault::kind::outage:
            outage = on;
            break;
        case fault::kind::lose_answers:
            lose_answers = on;
            break;
        case fault::kind::delay_writes:
            delay_writes = on;
            break;
        case fault::kind::freeze_list:
            list_frozen = on;
            break;
        case fault::kind::leave:
            if (on && e.alive) {
                leave(f.entry % size());
            }
            break;
        case fault::kind::late_sends:
            e.late_sends = on;
            break;
        case fault::kind::count:
            break;
        }
    }

    void apply_end(const fault& f, bool on)
    {
        const int i = f.entry % size();
        if (on && at(i).alive) {
            kill(i);
        } else if (!on && f.what == fault::kind::restart && !at(i).alive) {
            start_entry(i);
        }
    }

    random_engine random_;
    time_point now_{1s};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<entry>> all_;
    std::vector<entry*> current_;
    std::vector<hold_target> targets_;
    std::map<target_id, int> on_target_;
    int incarnations_ = 0;
    instance_list list_;
    time_point list_made_{};
};

} // namespace vanillapost::test

#endif
