// How a target takes commands.

#include "../common/json_http.hpp"
#include "target_service.hpp"

namespace vanillapost::standin {

void target_service::control(io::server_exchange& exchange)
{
    const auto path = exchange.path();
    if (path == "/control/truth") {
        auto truth = work_.truth();
        truth["name"] = settings_.name;
        truth["service"] = settings_.service;
        reply_json(exchange, 200, truth);
        return;
    }
    if (path == "/control/clear") {
        clear_faults();
    } else if (path == "/control/reset") {
        work_.reset_truth();
    } else if (path == "/control/fault") {
        try {
            apply_fault(parse_target_fault(parse_bounded_json(
                exchange.body(), max_record_bytes, "fault", exchange.peer())));
        } catch (const error& failure) {
            reply_json(exchange, 400, {{"error", failure.what()}});
            return;
        }
    } else {
        reply_json(exchange, 404, {{"error", "no such command"}});
        return;
    }
    reply_json(exchange, 200, nlohmann::json::object());
}

void target_service::apply_fault(const target_fault& fault)
{
    struct visitor
    {
        target_service& self;

        void operator()(const slow_fault& value) const
        {
            self.slow_factor_ = value.factor;
        }

        void operator()(const cold_fault&) const
        {
            self.work_.turn_cold();
        }

        void operator()(const drain_fault& value) const
        {
            auto& target = self;
            target.announces_drain_ = true;
            const auto number = ++target.drain_number_;
            if (value.announced <= duration(0)) {
                target.work_.drain(true);
                return;
            }
            target.tasks_.after(value.announced, [&target, number] {
                if (target.drain_number_ == number)
                    target.work_.drain(true);
            });
        }

        void operator()(const fail_fast_fault& value) const
        {
            self.fail_fast_share_ = value.share;
        }

        void operator()(const freeze_fault& value) const
        {
            self.frozen_until_ = self.loop_.now() + value.length;
        }

        void operator()(const stale_load_fault&) const
        {
            self.stale_load_ = true;
            self.reported_ = self.measured_;
            self.reported_load_ = std::to_string(self.work_.in_flight()) + "/" +
                                  std::to_string(self.settings_.slots);
        }

        void operator()(const truncate_fault& value) const
        {
            self.truncate_ = value.count;
        }

        void operator()(const late_fault& value) const
        {
            self.late_ = value;
        }
    };
    std::visit(visitor{*this}, fault);
}

void target_service::clear_faults()
{
    slow_factor_ = 1.0;
    fail_fast_share_ = 0.0;
    frozen_until_ = {};
    stale_load_ = false;
    truncate_ = 0;
    late_ = {duration(0), 0.0};
    announces_drain_ = false;
    ++drain_number_;
    work_.drain(false);
}

} // namespace vanillapost::standin
