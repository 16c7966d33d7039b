#include "entry_directory.hpp"

#include <cassert>
#include <nlohmann/json.hpp>

namespace vanillapost::load {

namespace {

constexpr duration ask_timeout = std::chrono::milliseconds(500);
constexpr int ok_status = 200;

} // namespace

entry_directory::entry_directory(io::event_loop& loop, addresses known,
                                 std::string data_centre, std::size_t first)
    : loop_(loop), known_(std::move(known)),
      data_centre_(std::move(data_centre)), next_(first)
{
    assert(!known_.empty());
}

io::http_client& entry_directory::client(const io::address& address)
{
    return clients_.try_emplace(address, loop_, address).first->second;
}

void entry_directory::find(const std::string& service,
                           std::function<void(const addresses&)> use)
{
    auto& entry = answers_[service];
    const bool fresh = loop_.now() < entry.fresh_until;
    if (!entry.list.empty()) {
        use(entry.list);
        if (!fresh)
            ask(service);
        return;
    }
    entry.waiting.push_back(std::move(use));
    ask(service);
}

void entry_directory::distrust(const std::string& service)
{
    answers_[service].fresh_until = {};
}

void entry_directory::ask(const std::string& service)
{
    auto& entry = answers_[service];
    if (entry.asking)
        return;
    entry.asking = true;
    entry.tried = 0;
    try_next(service);
}

void entry_directory::try_next(const std::string& service)
{
    auto& entry = answers_[service];
    if (entry.tried == known_.size()) {
        if (entry.list.empty())
            entry.list = known_;
        settle(entry);
        return;
    }
    ++entry.tried;
    entry.body.clear();
    entry.status = 0;
    io::http_request request;
    request.target =
        "/v1/entries?service=" + service + "&data_centre=" + data_centre_;
    io::call_handlers handlers;
    handlers.on_headers = [&entry](int status, auto) { entry.status = status; };
    handlers.on_data = [&entry](std::string_view data) { entry.body += data; };
    handlers.on_done = [this, service] { take_answer(service); };
    handlers.on_failure = [this, service](const io::call_failure&) {
        loop_.post([this, service] { try_next(service); });
    };
    const auto& address = known_[next_++ % known_.size()];
    entry.call = client(address).start(request, handlers, ask_timeout);
}

void entry_directory::take_answer(const std::string& service)
{
    auto& entry = answers_[service];
    const auto document = nlohmann::json::parse(entry.body, nullptr, false);
    addresses list;
    if (entry.status == ok_status && document.is_object() &&
        document.contains("addresses")) {
        for (const auto& text : document["addresses"])
            list.push_back(io::parse_address(text.get<std::string>()));
    }
    if (list.empty()) {
        loop_.post([this, service] { try_next(service); });
        return;
    }
    entry.list = std::move(list);
    const auto age = document.value("max_age_ms", 2000);
    entry.fresh_until = loop_.now() + std::chrono::milliseconds(age);
    settle(entry);
}

void entry_directory::settle(answer& entry)
{
    entry.asking = false;
    auto waiting = std::move(entry.waiting);
    entry.waiting.clear();
    for (const auto& use : waiting)
        use(entry.list);
}

} // namespace vanillapost::load
