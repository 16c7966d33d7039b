#ifndef VANILLAPOST_BENCH_ROUTING_HELD_RUN_HPP
#define VANILLAPOST_BENCH_ROUTING_HELD_RUN_HPP

#include "fake_target.hpp"
#include "vanillapost/admission.hpp"
#include "vanillapost/limits.hpp"
#include "vanillapost/routing.hpp"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace vanillapost::bench {

/// Six entries that hold the targets of one service between them: the
/// library's limits, routing and admission, joined by messages that take time.
class held_entries
{
public:
    using answer = fake_target::answer;

    held_entries(event_queue& events, const scenario& setting,
                 std::deque<fake_target>& targets)
        : events_(&events), setting_(&setting), targets_(&targets),
          random_(setting.seed, 3)
    {
        for (std::size_t i = 0; i < entry_count; ++i)
            add_entry(i);
        for (std::size_t i = 0; i < targets.size(); ++i)
            hold(i);
        for (std::size_t i = 0; i < entry_count; ++i)
            report(i);
    }

    std::size_t entry_for(std::size_t centre)
    {
        const auto order = advise_addresses(advised_, service_,
                                            centre_name(centre), 1, random_);
        return std::stoul(order.front());
    }

    void serve(std::size_t at, time_point deadline, answer done)
    {
        entry& self = entries_[at];
        const std::uint64_t id = next_id_++;
        calls_[id] = {deadline, std::move(done), {}};
        if (self.queue.waiting() == 0 && dispatch_or_forward(at, id))
            return;
        wait(at, id);
        run_waiting(at);
    }

    std::size_t forwards() const
    {
        return forwards_;
    }

    /// Repeats every report, as entries do each second.
    void repeat_reports()
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            advised_[i].held_slots[service_] = usable_slots(entries_[i]);
            entries_[i].reported_free = -1;
            report(i);
        }
    }

private:
    struct held_target
    {
        std::size_t number;
        target_limiter limiter;
    };

    struct entry
    {
        std::vector<held_target> held;
        target_picker picker;
        peer_picker peers;
        admission_queue queue;
        int reported_free = -1;
    };

    struct call
    {
        time_point deadline;
        answer done;
        std::vector<entry_id> tried;
    };

    static data_centre_id centre_name(std::size_t number)
    {
        return {"c" + std::to_string(number)};
    }

    static entry_id entry_name(std::size_t number)
    {
        return {std::to_string(number)};
    }

    std::size_t centre_of(std::size_t number) const
    {
        return number % setting_->data_centres;
    }

    duration way(std::size_t from, std::size_t to) const
    {
        return centre_of(from) == centre_of(to) ? within_centre
                                                : setting_->between_centres;
    }

    void add_entry(std::size_t number)
    {
        entries_.push_back(
            {.held = {},
             .picker = target_picker(target_picker_settings{}),
             .peers = peer_picker(
                 {.own_data_centre = centre_name(centre_of(number))}),
             .queue = admission_queue(admission_settings{})});
        service_record record;
        record.name = service_;
        record.kind = setting_->kind;
        record.deadline = setting_->deadline;
        entries_.back().queue.configure(record);
        advised_.push_back({.name = entry_name(number),
                            .data_centre = centre_name(centre_of(number)),
                            .address = std::to_string(number),
                            .held_slots = {}});
    }

    /// Gives the target to the entry of its data centre that holds least.
    void hold(std::size_t target)
    {
        std::size_t holder = entry_count;
        for (std::size_t i = 0; i < entry_count; ++i) {
            const bool near = centre_of(i) == centre_of(target);
            if (near &&
                (holder == entry_count ||
                 entries_[i].held.size() < entries_[holder].held.size()))
                holder = i;
        }
        target_limiter limiter(
            {.slots = setting_->slots, .cold_slots = setting_->slots});
        limiter.mark_warm();
        entries_[holder].held.push_back({target, limiter});
        advised_[holder].held_slots[service_] += setting_->slots;
    }

    slot_share share() const
    {
        return {.usable = setting_->slots,
                .half = setting_->slots / 2,
                .exclusive_until = events_->now() + std::chrono::hours(1)};
    }

    bool dispatch_or_forward(std::size_t at, std::uint64_t id)
    {
        if (dispatch(at, at, id) || forward(at, id))
            return true;
        // With a long queue, a slow answer is sooner than a place.
        return entries_[at].queue.waiting() > 0 && dispatch(at, at, id, true);
    }

    /// \param origin  the entry that the caller is connected to
    bool dispatch(std::size_t at, std::size_t origin, std::uint64_t id,
                  bool use_slow = false)
    {
        entry& self = entries_[at];
        const time_point now = events_->now();
        std::vector<target_candidate> candidates;
        for (held_target& held : self.held) {
            const auto oldest = held.limiter.oldest_start();
            candidates.push_back(
                {.target = {std::to_string(held.number)},
                 .in_flight = held.limiter.in_flight(now),
                 .limit = held.limiter.limit(now, share()),
                 .local = true,
                 .oldest_age = oldest ? now - *oldest : duration{}});
        }
        const auto picked =
            use_slow ? self.picker.pick_slow(candidates,
                                             self.queue.expected_wait(service_),
                                             now, random_)
                     : self.picker.pick(candidates, now, random_);
        if (!picked)
            return false;
        const auto found =
            std::ranges::find(candidates, *picked, &target_candidate::target);
        const auto index = static_cast<std::size_t>(found - candidates.begin());
        const auto ticket = self.held[index].limiter.try_acquire(
            now, share(), calls_[id].deadline);
        if (!ticket)
            return false;
        send(at, origin, index, *ticket, id);
        return true;
    }

    void send(std::size_t at, std::size_t origin, std::size_t index,
              const slot_ticket& ticket, std::uint64_t id)
    {
        entry& self = entries_[at];
        const std::size_t target = self.held[index].number;
        self.picker.on_dispatch({std::to_string(target)});
        entries_[origin].queue.on_start(service_);
        report(at);
        const time_point sent = events_->now();
        events_->after(way(at, target), [=, this] {
            (*targets_)[target].receive(ticket.deadline, [=, this](bool ok) {
                events_->after(way(at, target), [=, this] {
                    finish(at, origin, index, ticket, sent, ok, id);
                });
            });
        });
    }

    void finish(std::size_t at, std::size_t origin, std::size_t index,
                const slot_ticket& ticket, time_point sent, bool ok,
                std::uint64_t id)
    {
        entry& self = entries_[at];
        const time_point now = events_->now();
        held_target& held = self.held[index];
        held.limiter.finish(ticket, now,
                            ok ? completion::good : completion::failed,
                            target_state::warm);
        self.picker.on_answer({std::to_string(held.number)}, now, now - sent,
                              answer_quality::good);
        share_medians();
        run_waiting(at);
        report(at);
        const duration back = origin == at ? duration{} : way(at, origin);
        events_->after(back, [=, this] {
            entries_[origin].queue.on_completion(service_, events_->now(),
                                                 events_->now() - sent);
            answer_call(id, ok);
        });
    }

    void answer_call(std::uint64_t id, bool ok)
    {
        calls_[id].done(ok);
        calls_.erase(id);
    }

    bool forward(std::size_t at, std::uint64_t id)
    {
        entry& self = entries_[at];
        const auto peer = self.peers.pick(service_, calls_[id].tried,
                                          events_->now(), random_);
        if (!peer)
            return false;
        ++forwards_;
        self.peers.on_forward(*peer, service_, events_->now());
        const std::size_t to = std::stoul(peer->value);
        events_->after(way(at, to), [=, this] {
            const bool busy = entries_[to].queue.waiting() > 0;
            if (busy || !dispatch(to, at, id))
                events_->after(way(at, to), [=, this] { refused(at, to, id); });
        });
        return true;
    }

    /// The peer had no free slot after all.
    void refused(std::size_t at, std::size_t peer, std::uint64_t id)
    {
        entries_[at].peers.on_result(entry_name(peer), service_,
                                     forward_result::full, events_->now());
        calls_[id].tried.push_back(entry_name(peer));
        if (!dispatch_or_forward(at, id))
            wait(at, id);
    }

    void wait(std::size_t at, std::uint64_t id)
    {
        entry& self = entries_[at];
        expire(at);
        calls_[id].tried.clear();
        const auto result = self.queue.offer({.id = id,
                                              .service = service_,
                                              .kind = setting_->kind,
                                              .deadline = calls_[id].deadline},
                                             events_->now());
        if (std::holds_alternative<refused_request>(result.verdict))
            return answer_call(id, false);
        events_->at(*self.queue.next_expiry(), [this, at] { expire(at); });
    }

    void expire(std::size_t at)
    {
        for (const auto& refused : entries_[at].queue.expire(events_->now()))
            answer_call(refused.request.id, false);
    }

    void run_waiting(std::size_t at)
    {
        expire(at);
        entry& self = entries_[at];
        while (self.queue.waiting() > 0) {
            const auto next = self.queue.take(service_, events_->now());
            if (!next)
                return;
            if (dispatch_or_forward(at, next->id))
                continue;
            self.queue.put_back(*next);
            if (const auto retry = self.picker.next_change(events_->now()))
                events_->at(*retry, [this, at] { run_waiting(at); });
            return;
        }
    }

    /// Held slots without those of targets that are avoided.
    int usable_slots(entry& self) const
    {
        int slots = 0;
        for (const held_target& held : self.held) {
            const target_id name{std::to_string(held.number)};
            if (!self.picker.avoided(name, events_->now()))
                slots += held.limiter.limit(events_->now(), share());
        }
        return slots;
    }

    /// Tells the other entries of free slots, when their number has changed.
    void report(std::size_t at)
    {
        entry& self = entries_[at];
        int free = 0;
        for (held_target& held : self.held) {
            const target_id name{std::to_string(held.number)};
            if (!self.picker.avoided(name, events_->now()))
                free += held.limiter.free(events_->now(), share());
        }
        if (self.queue.waiting() > 0)
            free = 0;
        if (free == self.reported_free)
            return;
        self.reported_free = free;
        for (std::size_t to = 0; to < entry_count; ++to) {
            if (to == at)
                continue;
            events_->after(way(at, to), [=, this] {
                entries_[to].peers.on_status(
                    entry_name(at), centre_name(centre_of(at)), false,
                    {{service_, free}}, events_->now());
                if (free > 0)
                    run_waiting(to);
            });
        }
    }

    /// Entries tell each other their median latency each second.
    void share_medians()
    {
        if (events_->now() < next_medians_)
            return;
        next_medians_ = events_->now() + std::chrono::seconds(1);
        std::vector<duration> medians;
        for (const entry& one : entries_) {
            if (const auto median = one.picker.median_latency())
                medians.push_back(*median);
        }
        if (medians.empty())
            return;
        std::ranges::sort(medians);
        for (entry& one : entries_)
            one.picker.set_reference(medians[(medians.size() - 1) / 2]);
    }

    event_queue* events_;
    const scenario* setting_;
    std::deque<fake_target>* targets_;
    random_engine random_;
    service_id service_{"s"};
    std::deque<entry> entries_;
    std::vector<advised_entry> advised_;
    std::unordered_map<std::uint64_t, call> calls_;
    std::uint64_t next_id_ = 0;
    std::size_t forwards_ = 0;
    time_point next_medians_{};
};

} // namespace vanillapost::bench

#endif
