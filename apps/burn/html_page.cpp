#include "html_page.hpp"

#include "chart.hpp"

#include <cstdio>
#include <sstream>

namespace vanillapost::burn_app {

namespace {

constexpr double percent = 100;

constexpr std::string_view style = R"(<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;
padding:0 1em;color:#1d2329;background:#fff}
h1{font-size:1.5em;margin-bottom:.2em}h2{font-size:1.15em;margin:0}
.note{color:#5a6672}table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.3em .7em;border-bottom:1px solid #dfe4e8}
th:first-child,td:first-child{text-align:left}
section{border:1px solid #dfe4e8;border-radius:6px;padding:1em;margin:1em 0}
.charts{display:flex;flex-wrap:wrap;gap:1.5em;margin-top:.6em}
figure{margin:0}figcaption{color:#5a6672;font-size:.85em}
svg text{font:12px system-ui,sans-serif;fill:#1d2329}
svg .scale{fill:#5a6672;font-size:10px}
svg .before{text-anchor:end}
.threshold{stroke:#9aa5af;stroke-dasharray:3 3}
.allowed{stroke:#c77700;stroke-dasharray:4 3}
.line{fill:none;stroke:#1f6fb2;stroke-width:1.5}
rect.none{fill:#3b8f5a}rect.over{fill:#d6b300}rect.ticket{fill:#d97b00}
rect.page{fill:#c0392b}
.badge{border-radius:4px;padding:.1em .5em;color:#fff;font-size:.85em}
.badge.none{background:#3b8f5a}.badge.ticket{background:#d97b00}
.badge.page{background:#c0392b}
</style>)";

std::string format(const char* pattern, double value)
{
    char text[48];
    std::snprintf(text, sizeof text, pattern, value);
    return text;
}

std::string percent_text(double share)
{
    return format("%.3f%%", share * percent);
}

double good_share(const answer_count& answers)
{
    if (answers.total == 0)
        return 1;
    return static_cast<double>(answers.good) /
           static_cast<double>(answers.total);
}

std::string badge(burn_severity severity)
{
    const std::string name(name_of(severity));
    const std::string text =
        severity == burn_severity::none ? "within budget" : name;
    return "<span class=\"badge " + name + "\">" + text + "</span>";
}

void write_summary_row(std::ostream& out, const service_burn& service)
{
    out << "<tr><td>" << escape_html(service.name.value) << "</td><td>"
        << badge(service.severity) << "</td><td>"
        << percent_text(service.objective) << "</td><td>"
        << percent_text(good_share(service.answers)) << "</td><td>"
        << service.answers.total << "</td><td>"
        << service.answers.total - service.answers.good << "</td><td>"
        << format("%.1f%%", service.budget_left * percent) << "</td></tr>\n";
}

void write_summary(std::ostream& out, const burn_report& report)
{
    out << "<table><thead><tr><th>service</th><th>alarm</th>"
           "<th>objective</th><th>good</th><th>answers</th><th>bad</th>"
           "<th>budget left</th></tr></thead><tbody>\n";
    for (const auto& service : report.services)
        write_summary_row(out, service);
    out << "</tbody></table>\n";
}

void write_windows(std::ostream& out, const service_burn& service)
{
    out << "<table><thead><tr><th>window</th><th>covered</th><th>answers</th>"
           "<th>bad</th><th>burn rate</th></tr></thead><tbody>\n";
    for (const auto& window : service.windows) {
        const auto& answers = window.answers;
        out << "<tr><td>" << length_text(window.length) << "</td><td>"
            << format("%.0f s",
                      std::chrono::duration<double>(window.covered).count())
            << "</td><td>" << answers.total << "</td><td>"
            << answers.total - answers.good << "</td><td>"
            << format("%.2f", window.burn_rate(service.objective))
            << "</td></tr>\n";
    }
    out << "</tbody></table>\n";
}

void write_figure(std::ostream& out, const std::string& chart,
                  std::string_view caption)
{
    if (chart.empty())
        return;
    out << "<figure>" << chart << "<figcaption>" << caption
        << "</figcaption></figure>\n";
}

void write_service(std::ostream& out, const service_burn& service)
{
    out << "<section><h2>" << escape_html(service.name.value) << " "
        << badge(service.severity) << "</h2>\n<div class=\"charts\">\n";
    write_figure(out, burn_chart(service),
                 "burn rate; 1 uses up the budget at the end of its period");
    write_figure(out, history_chart(service),
                 "bad answers over the time observed; dashed: allowed");
    out << "</div>\n";
    write_windows(out, service);
    out << "</section>\n";
}

void write_failures(std::ostream& out, const burn_report& report)
{
    if (report.failures.empty())
        return;
    out << "<section><h2>Entries that did not answer</h2><ul>\n";
    for (const auto& [what, times] : report.failures)
        out << "<li>" << escape_html(what) << " (" << times << "\u00d7)</li>\n";
    out << "</ul></section>\n";
}

} // namespace

std::string escape_html(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string html_page(const burn_report& report)
{
    std::ostringstream out;
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        << "<title>Service-level burn</title>\n"
        << style << "</head><body>\n<h1>Service-level burn</h1>\n"
        << "<p class=\"note\">" << escape_html(report.written_at) << "; "
        << format("%.0f s",
                  std::chrono::duration<double>(report.observed).count())
        << " observed at " << report.entries
        << " entries. A window longer than that shows the time observed; an "
           "alarm from a short time is a first sign only.</p>\n";
    write_summary(out, report);
    for (const auto& service : report.services)
        write_service(out, service);
    write_failures(out, report);
    out << "</body></html>\n";
    return out.str();
}

} // namespace vanillapost::burn_app
