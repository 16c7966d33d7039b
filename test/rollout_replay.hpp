#ifndef VANILLAPOST_TEST_ROLLOUT_REPLAY_HPP
#define VANILLAPOST_TEST_ROLLOUT_REPLAY_HPP

/// \file
/// Replays of roll-outs in virtual time: instances that split requests between
/// two versions and report their answers, and deciders that steer them.

#include <vanillapost/rollouts.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanillapost::replay {

using namespace std::chrono_literals;

/// Targets of each version.
inline constexpr std::size_t target_count = 36;
inline constexpr duration tick = 50ms;

/// How one request was answered.
struct answer
{
    bool good = true;
    duration latency{};
};

/// What a request meets.
struct situation
{
    version_side side;
    std::size_t target;
    std::size_t route; ///< 0 is three quarters of the requests
    duration age;      ///< of the order
    double target_share;
    std::size_t earlier; ///< requests that the target had before
};

/// Answers a request; drawn from what the replay is about.
using answerer = std::function<answer(const situation&, random_engine&)>;

/// Judges in place of the product's judge, for baselines.
using judge_function =
    std::function<rollout_verdict(const evidence_totals&, time_point)>;

struct replay_settings
{
    std::size_t instances = 6;
    double per_second = 200; ///< requests to the service
    duration time_limit = 30s;
    duration report_period = 250ms;
    duration max_delay = 200ms; ///< of a message
    double loss = 0.05;         ///< share of the messages that don't arrive
    /// Factor on the rate of requests by the age of the order.
    std::function<double(duration)> load = [](duration) { return 1.0; };
    /// Whether an instance hears and is heard.
    std::function<bool(std::size_t, duration)> in_touch =
        [](std::size_t, duration) { return true; };
    /// Whether the store takes writes.
    std::function<bool(duration)> store_up = [](duration) { return true; };
    /// Which instance decides.
    std::function<std::size_t(duration)> decider = [](duration) {
        return std::size_t{0};
    };
};

struct replay_result
{
    rollout_state state = rollout_state::serving;
    duration decided{};    ///< age of the order
    std::uint64_t all = 0; ///< from the order to the deadline
    /// Requests to the target version before a final state.
    std::uint64_t exposed = 0;
    /// Bad answers of the target version before a final state.
    std::uint64_t lost = 0;
    /// From the 50th bad answer to the last request, if there was one.
    duration after_50th{};
    std::string reason;
};

class replay
{
public:
    replay(replay_settings settings, answerer answers, std::uint64_t seed,
           judge_function judge = {})
        : settings_(std::move(settings)), answers_(std::move(answers)),
          judge_(std::move(judge)), random_(seed)
    {
        for (std::size_t i = 0; i < settings_.instances; ++i)
            instances_.emplace_back(*this, i);
    }

    replay_result run()
    {
        const auto end = settings_.time_limit + 1s;
        pending_.resize(static_cast<std::size_t>(end / tick));
        for (age_ = 0ms; age_ < end; age_ += tick) {
            if (is_over()) {
                count_requests(requests_now());
                continue;
            }
            deliver();
            send_requests();
            send_reports();
            decide();
        }
        return result_;
    }

private:
    struct instance
    {
        instance(replay& owner, std::size_t number)
            : name{entry_id{"edge-" + std::to_string(number)}, "1"},
              evidence(name, owner.order_.service, owner.order_.revision,
                       time_point()),
              split(owner.order_, owner.limits_, owner.random_),
              plan(owner.order_, owner.limits_),
              next_report(scaled(owner.settings_.report_period,
                                 draw_share(owner.random_)))
        {
        }

        entry_incarnation name;
        rollout_evidence evidence;
        version_split split;
        rollout_plan plan;
        rollout_judge judge;
        duration next_report;
        std::uint64_t in_flight = 0;
    };

    struct pending_answer
    {
        std::size_t instance;
        std::size_t route;
        version_side side;
        std::size_t target;
        bool good;
        duration latency;
    };

    struct message
    {
        duration due;
        std::size_t to;
        std::variant<evidence_report, rollout_directive> content;
    };

    time_point now() const
    {
        return time_point() + age_;
    }

    bool arrives(std::size_t from, std::size_t to)
    {
        return settings_.in_touch(from, age_) && settings_.in_touch(to, age_) &&
               draw_share(random_) >= settings_.loss;
    }

    duration delay()
    {
        return scaled(settings_.max_delay, draw_share(random_));
    }

    template <class Content>
    void send(std::size_t from, std::size_t to, Content content)
    {
        if (arrives(from, to))
            messages_.push_back({age_ + delay(), to, std::move(content)});
    }

    void deliver()
    {
        const auto later = [this](const message& message) {
            return message.due > age_;
        };
        const auto due =
            std::partition(messages_.begin(), messages_.end(), later);
        for (auto next = due; next != messages_.end(); ++next)
            take(*next);
        messages_.erase(due, messages_.end());
        const auto slot = static_cast<std::size_t>(age_ / tick);
        for (const auto& answer : pending_[slot])
            finish(answer);
    }

    void take(message& message)
    {
        auto& to = instances_[message.to];
        if (auto* report = std::get_if<evidence_report>(&message.content)) {
            to.evidence.merge(std::move(*report), now());
        } else {
            const auto& directive =
                std::get<rollout_directive>(message.content);
            to.split.follow(directive, now());
            to.plan.observe(directive);
        }
    }

    void finish(const pending_answer& answer)
    {
        auto& instance = instances_[answer.instance];
        if (answer.side == version_side::current)
            --instance.in_flight;
        instance.evidence.record(answer.route == 0 ? "lookup" : "booking",
                                 answer.side, target_id{names_[answer.target]},
                                 answer.good, answer.latency);
        if (answer.side == version_side::target && !answer.good)
            note_loss();
    }

    void note_loss()
    {
        if (result_.state == rollout_state::serving)
            ++result_.lost;
        if (++bad_answers_ == 50)
            fiftieth_ = age_;
    }

    /// Whether nothing is to be seen any more, also not of instances that
    /// haven't heard of the final state.
    bool is_over() const
    {
        constexpr duration watched_after = 6s;
        return result_.state != rollout_state::serving &&
               age_ > result_.decided + watched_after;
    }

    void count_requests(std::size_t count)
    {
        if (age_ < settings_.time_limit)
            result_.all += count;
    }

    std::size_t requests_now()
    {
        const double mean = settings_.per_second * settings_.load(age_) *
                            std::chrono::duration<double>(tick).count();
        // A whole number with the right mean; the split is what is random.
        return static_cast<std::size_t>(mean + draw_share(random_));
    }

    void send_requests()
    {
        for (auto count = requests_now(); count > 0; --count)
            send_request(draw(instances_.size()));
    }

    std::size_t draw(std::size_t size)
    {
        return random_(static_cast<std::uint32_t>(size));
    }

    void send_request(std::size_t number)
    {
        auto& instance = instances_[number];
        const auto side = instance.split.pick({true, true}, now());
        instance.evidence.on_sent(side);
        count_requests(1);
        const auto target = draw(target_count);
        const std::size_t route = draw(4) == 0 ? 1 : 0;
        auto& earlier =
            side == version_side::target ? target_requests_ : current_requests_;
        const situation met{side,
                            target,
                            route,
                            age_,
                            instance.split.target_share(now()),
                            earlier[target]++};
        const auto given = answers_(met, random_);
        const auto slot =
            static_cast<std::size_t>((age_ + given.latency) / tick) + 1;
        if (slot < pending_.size())
            pending_[slot].push_back(
                {number, route, side, target, given.good, given.latency});
        if (side == version_side::current) {
            ++instance.in_flight;
            return;
        }
        if (result_.state == rollout_state::serving)
            ++result_.exposed;
        if (fiftieth_)
            result_.after_50th = age_ - *fiftieth_;
    }

    void send_reports()
    {
        const auto decider = settings_.decider(age_);
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            auto& instance = instances_[i];
            if (age_ < instance.next_report)
                continue;
            instance.next_report += settings_.report_period;
            if (i == decider)
                continue;
            const auto& followed = instance.split.directive();
            send(i, decider,
                 instance.evidence.own_report(instance.in_flight,
                                              followed ? followed->version : 0,
                                              now()));
        }
    }

    void decide()
    {
        if (age_ % 250ms != 0ms)
            return;
        const auto number = settings_.decider(age_);
        auto& decider = instances_[number];
        rollout_view view;
        view.order_age = decider.evidence.order_age(now());
        view.totals = decider.evidence.totals();
        view.verdict = judge_ ? judge_(view.totals, now())
                              : decider.judge.judge(view.totals, now());
        view.reach = decider.evidence.reach(names_of_all(),
                                            decider.plan.directive().version,
                                            decider.in_flight);
        view.target_usable = true;
        view.stored = stored_;
        const auto step = decider.plan.update(view);
        if (const auto* write = std::get_if<write_state>(&step))
            store(*write, decider.plan);
        decider.split.follow(decider.plan.directive(), now());
        for (std::size_t i = 0; i < instances_.size(); ++i)
            if (i != number)
                send(number, i, decider.plan.directive());
    }

    const std::vector<entry_incarnation>& names_of_all()
    {
        if (all_names_.empty())
            for (const auto& instance : instances_)
                all_names_.push_back(instance.name);
        return all_names_;
    }

    void store(const write_state& write, const rollout_plan& plan)
    {
        const bool final = stored_ && *stored_ != rollout_state::serving;
        if (!settings_.store_up(age_) || final)
            return;
        if (write.state == rollout_state::serving && stored_)
            return;
        stored_ = write.state;
        result_.state = write.state;
        result_.decided = age_;
        if (plan.stopped_by())
            result_.reason =
                plan.stopped_by()->route + ": " + plan.stopped_by()->reason;
    }

    static std::vector<std::string> make_names()
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < target_count; ++i)
            names.push_back("target-" + std::to_string(i));
        return names;
    }

    replay_settings settings_;
    answerer answers_;
    judge_function judge_;
    random_engine random_;
    rollout_order order_{service_id{"search"}, "v2", settings_.time_limit, 7};
    rollout_limits limits_;
    std::deque<instance> instances_;
    std::vector<entry_incarnation> all_names_;
    std::vector<std::string> names_ = make_names();
    std::vector<std::size_t> target_requests_ =
        std::vector<std::size_t>(target_count);
    std::vector<std::size_t> current_requests_ =
        std::vector<std::size_t>(target_count);
    /// By the tick in which they come.
    std::vector<std::vector<pending_answer>> pending_;
    std::vector<message> messages_;
    std::optional<rollout_state> stored_;
    duration age_{};
    std::uint64_t bad_answers_ = 0;
    std::optional<duration> fiftieth_;
    replay_result result_;
};

} // namespace vanillapost::replay

#endif
