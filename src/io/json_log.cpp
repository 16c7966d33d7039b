#include "vanillapost/src/io/json_log.hpp"

#include <chrono>
#include <climits>
#include <ctime>
#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace vanillapost::io {

namespace {

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view level_name(log4cplus::LogLevel level)
{
    if (level >= log4cplus::ERROR_LOG_LEVEL)
        return "error";
    if (level >= log4cplus::WARN_LOG_LEVEL)
        return "warning";
    return level >= log4cplus::INFO_LOG_LEVEL ? "info" : "debug";
}

/// RFC 3339 in UTC with milliseconds.
std::string format_time(const log4cplus::helpers::Time& when)
{
    auto since_epoch = when.time_since_epoch();
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                  .count();
    std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    auto used = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + used, sizeof text - used, ".%03dZ",
                  static_cast<int>(ms % 1000));
    return text;
}

/// Renders one event as a line of JSON; the fields are its context map.
class json_layout : public log4cplus::Layout
{
public:
    json_layout(std::string_view program, std::string_view instance)
        : program_(program), instance_(instance)
    {
    }

    void formatAndAppend( // NOLINT(readability-identifier-naming)
        log4cplus::tostream& output,
        const log4cplus::spi::InternalLoggingEvent& event) override
    {
        nlohmann::ordered_json line;
        line["time"] = format_time(event.getTimestamp());
        line["level"] = level_name(event.getLogLevel());
        line["message"] = event.getMessage();
        line["program"] = program_;
        line["instance"] = instance_;
        for (const auto& [name, value] : event.getMDCCopy())
            line.emplace(name, value);
        // Bytes from peers need not be UTF-8: replace what is not.
        output << line.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)
               << '\n';
    }

private:
    std::string program_;
    std::string instance_;
};

std::uint64_t lost_lines = 0;

/// Writes to standard output what its reader has room for.
///
/// A pipe that is reported writable takes PIPE_BUF bytes without blocking, so
/// longer lines are cut.
class unblocking_appender : public log4cplus::Appender
{
public:
    ~unblocking_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        auto& line = formatEvent(event);
        if (line.size() > PIPE_BUF) {
            line.resize(PIPE_BUF - 1);
            line += '\n';
        }
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        const bool writable =
            ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
        if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++lost_lines;
    }
};

log4cplus::Logger& logger()
{
    static log4cplus::Initializer initializer;
    static auto root = [] {
        // The pool serves asynchronous appenders only; there are none, and a
        // process here has one thread.
        log4cplus::setThreadPoolSize(0);
        return log4cplus::Logger::getRoot();
    }();
    return root;
}

} // namespace

void start_log(std::string_view program, std::string_view instance,
               log_level lowest, log_output output)
{
    auto& root = logger();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender;
    if (output == log_output::standard_output)
        appender = new unblocking_appender;
    else
        appender = new log4cplus::ConsoleAppender(true, true);
    appender->setLayout(std::make_unique<json_layout>(program, instance));
    root.addAppender(appender);
    set_log_level(lowest);
}

void set_log_level(log_level lowest)
{
    logger().setLogLevel(to_log4cplus(lowest));
}

std::uint64_t lost_log_lines()
{
    return lost_lines;
}

void log(log_level level, std::string_view message,
         std::initializer_list<log_field> fields)
{
    auto& root = logger();
    auto wanted = to_log4cplus(level);
    if (!root.isEnabledFor(wanted))
        return;
    log4cplus::MappedDiagnosticContextMap context;
    for (const auto& [name, value] : fields)
        context.emplace(name, value);
    log4cplus::spi::InternalLoggingEvent event(
        root.getName(), wanted, {}, context, log4cplus::tstring(message), {},
        {}, log4cplus::helpers::now(), {}, 0);
    root.callAppenders(event);
}

} // namespace vanillapost::io
