#include "chart.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace vanillapost::burn_app {

namespace {

constexpr double chart_width = 420;
constexpr double bar_step = 26;
constexpr double bar_height = 16;
constexpr double label_width = 60;
constexpr double value_width = 70;
constexpr double history_height = 90;
constexpr double history_margin = 14;
constexpr double lowest_rate = 0.1;
constexpr double highest_rate = 1000;

/// Place of a burn rate on the logarithmic scale.
double rate_x(double rate)
{
    const double bounded = std::clamp(rate, lowest_rate, highest_rate);
    const double share = std::log10(bounded / lowest_rate) /
                         std::log10(highest_rate / lowest_rate);
    return label_width + share * (chart_width - label_width - value_width);
}

std::string_view bar_class(double rate)
{
    if (rate >= burn_rules[0].rate)
        return "page";
    if (rate >= burn_rules[1].rate)
        return "ticket";
    return rate > 1 ? "over" : "none";
}

/// \param side  "before" or "after": where the label stands
void draw_threshold(std::ostream& out, double rate, double height,
                    std::string_view label, std::string_view side)
{
    const double x = rate_x(rate);
    out << "<line class=\"threshold\" x1=\"" << x << "\" x2=\"" << x
        << "\" y1=\"14\" y2=\"" << height << "\"/>"
        << "<text class=\"scale " << side << "\" x=\"" << x << "\" y=\"10\">"
        << label << "</text>";
}

std::string number_text(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", value);
    return text;
}

void draw_bar(std::ostream& out, const burn_window& window, double objective,
              double y)
{
    const double rate = window.burn_rate(objective);
    const double end = rate > 0 ? rate_x(rate) : label_width;
    out << "<text x=\"0\" y=\"" << y + bar_height - 4 << "\">"
        << length_text(window.length) << "</text>"
        << "<rect class=\"" << bar_class(rate) << "\" x=\"" << label_width
        << "\" y=\"" << y << "\" width=\"" << end - label_width
        << "\" height=\"" << bar_height << "\"/>"
        << "<text x=\"" << end + 4 << "\" y=\"" << y + bar_height - 4 << "\">"
        << number_text(rate) << "\u00d7</text>";
}

void open_svg(std::ostream& out, double height, std::string_view title)
{
    out << "<svg role=\"img\" aria-label=\"" << title << "\" width=\""
        << chart_width << "\" height=\"" << height << "\" viewBox=\"0 0 "
        << chart_width << " " << height << "\">";
}

/// Top of the history's scale: the worst rate, or twice the allowed one.
double history_top(const service_burn& service)
{
    double top = 2 * (1 - service.objective);
    for (const auto& each : service.history)
        top = std::max(top, each.error_rate);
    return std::max(top, 1e-6);
}

double history_y(double rate, double top)
{
    const double space = history_height - 2 * history_margin;
    return history_margin + (1 - rate / top) * space;
}

void draw_line(std::ostream& out, const service_burn& service, double top)
{
    const auto& points = service.history;
    const double steps = static_cast<double>(points.size()) - 1;
    out << "<polyline class=\"line\" points=\"";
    for (std::size_t i = 0; i < points.size(); ++i) {
        const double share = static_cast<double>(i) / steps;
        out << share * chart_width << ","
            << history_y(points[i].error_rate, top) << " ";
    }
    out << "\"/>";
}

} // namespace

std::string length_text(duration length)
{
    const auto minutes =
        std::chrono::duration_cast<std::chrono::minutes>(length).count();
    constexpr int minutes_per_hour = 60;
    if (minutes < minutes_per_hour)
        return std::to_string(minutes) + " min";
    return std::to_string(minutes / minutes_per_hour) + " h";
}

std::string burn_chart(const service_burn& service)
{
    std::ostringstream out;
    const double top = 20;
    const double height =
        top + bar_step * static_cast<double>(service.windows.size());
    open_svg(out, height, "burn rate over each window");
    draw_threshold(out, 1, height, "1", "after");
    draw_threshold(out, burn_rules[1].rate, height, "ticket", "before");
    draw_threshold(out, burn_rules[0].rate, height, "page", "after");
    double y = top;
    for (const auto& window : service.windows) {
        draw_bar(out, window, service.objective, y);
        y += bar_step;
    }
    out << "</svg>";
    return out.str();
}

std::string history_chart(const service_burn& service)
{
    constexpr std::size_t fewest_points = 2;
    if (service.history.size() < fewest_points)
        return "";
    std::ostringstream out;
    const double top = history_top(service);
    const double allowed = history_y(1 - service.objective, top);
    constexpr double percent = 100;
    open_svg(out, history_height, "share of bad answers over time");
    out << "<text class=\"scale\" x=\"0\" y=\"10\">"
        << number_text(top * percent) << "% bad</text>"
        << "<line class=\"allowed\" x1=\"0\" x2=\"" << chart_width << "\" y1=\""
        << allowed << "\" y2=\"" << allowed << "\"/>";
    draw_line(out, service, top);
    out << "</svg>";
    return out.str();
}

} // namespace vanillapost::burn_app
