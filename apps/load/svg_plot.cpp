#include "svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace vanillapost::load {

namespace {

constexpr double width = 860.0;
constexpr double margin = 60.0;
constexpr double panel_height = 200.0;
constexpr double panel_gap = 50.0;
constexpr double lowest_ms = 1.0;

/// One panel: maps a second and a height between 0 and 1 to the page.
struct panel
{
    double top;
    std::size_t seconds;

    double x(std::size_t second) const
    {
        const auto last =
            static_cast<double>(std::max<std::size_t>(seconds, 2)) - 1;
        return margin +
               (width - 2 * margin) * static_cast<double>(second) / last;
    }
    double y(double share) const
    {
        return top + panel_height * (1.0 - std::clamp(share, 0.0, 1.0));
    }
};

void draw_label(std::ostream& out, double x, double y, const std::string& text,
                const char* colour = "#333")
{
    out << "<text x='" << x << "' y='" << y << "' fill='" << colour << "'>"
        << text << "</text>\n";
}

void draw_grid(std::ostream& out, const panel& where, double share,
               const std::string& label)
{
    const double y = where.y(share);
    out << "<line x1='" << margin << "' x2='" << width - margin << "' y1='" << y
        << "' y2='" << y << "' stroke='#ddd'/>\n";
    draw_label(out, 4, y + 4, label);
}

template <class Share>
void draw_line(std::ostream& out, const panel& where, const char* colour,
               Share share)
{
    out << "<polyline fill='none' stroke-width='1.5' stroke='" << colour
        << "' points='";
    for (std::size_t i = 0; i < where.seconds; ++i)
        out << where.x(i) << ',' << where.y(share(i)) << ' ';
    out << "'/>\n";
}

void draw_latencies(std::ostream& out, const std::vector<call_counts>& seconds)
{
    const panel where{margin / 2, seconds.size()};
    double highest = 10.0;
    for (const auto& each : seconds)
        highest = std::max(highest, each.latencies().quantile_ms(0.99));
    const double decades = std::ceil(std::log10(highest / lowest_ms));
    for (int i = 0; i <= static_cast<int>(decades); ++i) {
        std::ostringstream label;
        label << std::pow(10.0, i) << " ms";
        draw_grid(out, where, i / decades, label.str());
    }
    const auto line = [&](double quantile) {
        return [&seconds, decades, quantile](std::size_t i) {
            const double ms = seconds[i].latencies().quantile_ms(quantile);
            return std::log10(std::max(ms, lowest_ms) / lowest_ms) / decades;
        };
    };
    draw_line(out, where, "#2a6fb0", line(0.5));
    draw_line(out, where, "#c0392b", line(0.99));
    draw_label(out, margin, where.top - 8, "p50", "#2a6fb0");
    draw_label(out, margin + 40, where.top - 8, "p99", "#c0392b");
    draw_label(out, margin + 80, where.top - 8, "latency by second");
}

void draw_counts(std::ostream& out, const std::vector<call_counts>& seconds)
{
    const panel where{margin / 2 + panel_height + panel_gap, seconds.size()};
    std::uint64_t highest = 1;
    for (const auto& each : seconds)
        highest = std::max(highest, each.offered());
    draw_grid(out, where, 0.0, "0");
    draw_grid(out, where, 1.0, std::to_string(highest));
    const auto scale = static_cast<double>(highest);
    const auto ok = [&](std::size_t i) {
        return static_cast<double>(seconds[i].count(outcome::ok)) / scale;
    };
    const auto refused = [&](std::size_t i) {
        return static_cast<double>(seconds[i].count(outcome::refused)) / scale;
    };
    const auto bad = [&](std::size_t i) {
        const auto& each = seconds[i];
        const auto good =
            each.count(outcome::ok) + each.count(outcome::refused);
        return static_cast<double>(each.offered() - good) / scale;
    };
    draw_line(out, where, "#27884a", ok);
    draw_line(out, where, "#d08a1d", refused);
    draw_line(out, where, "#c0392b", bad);
    draw_label(out, margin, where.top - 8, "ok", "#27884a");
    draw_label(out, margin + 40, where.top - 8, "refused", "#d08a1d");
    draw_label(out, margin + 100, where.top - 8, "other", "#c0392b");
    draw_label(out, margin + 150, where.top - 8, "calls by second");
}

} // namespace

std::string plot_svg(const std::vector<call_counts>& seconds)
{
    const double height = margin + 2 * panel_height + panel_gap;
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
        << "' height='" << height
        << "' font-family='sans-serif' font-size='12'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n";
    if (!seconds.empty()) {
        draw_latencies(out, seconds);
        draw_counts(out, seconds);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace vanillapost::load
