#include "report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace fescue::load {

namespace {

using SeriesValue = std::function<double(const SeriesPoint &)>;

struct Panel
{
    std::string_view title;
    std::string_view colour;
    SeriesValue value;
};

std::vector<Panel> panels()
{
    return {
        {"tokens/s", "#1f6fb4", [](const SeriesPoint &p) { return static_cast<double>(p.tokens); }},
        {"running", "#2c8a3f", [](const SeriesPoint &p) { return static_cast<double>(p.running); }},
        {"waiting", "#b8860b", [](const SeriesPoint &p) { return static_cast<double>(p.queued); }},
        {"refusals/s", "#b03030",
         [](const SeriesPoint &p) { return static_cast<double>(p.refused); }},
        {"preemptions/s", "#7a3fa0",
         [](const SeriesPoint &p) { return static_cast<double>(p.preempted); }},
        {"endpoints in service", "#555555",
         [](const SeriesPoint &p) { return static_cast<double>(p.endpointsIn); }},
    };
}

constexpr double plotWidth = 900;
constexpr double panelHeight = 90;
constexpr double panelGap = 30;
constexpr double leftMargin = 60;

void drawPanel(std::ostringstream &out, const Panel &panel, const std::vector<SeriesPoint> &series,
               double top)
{
    double largest = 1;
    for (const SeriesPoint &point : series)
        largest = std::max(largest, panel.value(point));
    out << "<text x=\"" << leftMargin << "\" y=\"" << top - 5 << "\">" << panel.title << " (max "
        << largest << ")</text><rect x=\"" << leftMargin << "\" y=\"" << top << "\" width=\""
        << plotWidth << "\" height=\"" << panelHeight
        << "\" fill=\"none\" stroke=\"#ccc\"/><polyline fill=\"none\" stroke=\"" << panel.colour
        << "\" points=\"";
    const double step = plotWidth / static_cast<double>(std::max<std::size_t>(1, series.size()));
    for (std::size_t i = 0; i < series.size(); ++i) {
        const double y = top + panelHeight * (1 - panel.value(series[i]) / largest);
        out << leftMargin + step * static_cast<double>(i) << ',' << y << ' ';
    }
    out << "\"/>\n";
}

} // namespace

std::string toTable(const std::vector<RunResult> &runs)
{
    std::ostringstream out;
    out << "scenario   policy           load  seed  arrived  done  late  cut  refused  goodput  "
           "stall/1k"
           "  preempt  ft50  ft95   ft99  gap50 gap95 gap99 gap999  crash overcold lost doubled  "
           "fair"
           "  away\n";
    out << std::fixed;
    for (const RunResult &run : runs) {
        const Measures &m = run.measures;
        out << std::left << std::setw(11) << run.scenario << std::setw(17) << run.policy
            << std::right << std::setprecision(2) << std::setw(4) << run.load << std::setw(6)
            << run.seed << std::setw(9) << m.arrived << std::setw(6) << m.completed << std::setw(6)
            << m.late << std::setw(5) << m.cut << std::setw(9) << m.refused()
            << std::setprecision(0) << std::setw(9) << m.goodput() << std::setw(10)
            << m.stallPerThousand() << std::setw(9) << m.preemptions << std::setw(6)
            << m.firstToken.quantile(0.5).count << std::setw(6) << m.firstToken.quantile(0.95).count
            << std::setw(7) << m.firstToken.quantile(0.99).count << std::setw(7)
            << m.gap.quantile(0.5).count << std::setw(6) << m.gap.quantile(0.95).count
            << std::setw(6) << m.gap.quantile(0.99).count << std::setw(7)
            << m.gap.quantile(0.999).count << std::setw(7) << m.crashes << std::setw(9)
            << m.overCold << std::setw(5) << m.lost << std::setw(8) << m.doubled
            << std::setprecision(2) << std::setw(6) << m.leastFairPart() << std::setw(6)
            << m.awayGoodputPart() << '\n';
    }
    return out.str();
}

nlohmann::json toJson(const RunResult &run)
{
    const Measures &m = run.measures;
    nlohmann::json refusals = nlohmann::json::object();
    for (const std::pair<const ResultCode, std::uint64_t> &entry : m.refusals)
        refusals[std::string(toString(entry.first))] = entry.second;
    nlohmann::json accounts = nlohmann::json::array();
    for (const AccountMeasures &account : m.accounts)
        accounts.push_back({{"account", account.name},
                            {"offered_tokens", account.offeredTokens},
                            {"delivered_tokens", account.deliveredTokens}});
    return {
        {"scenario", run.scenario},
        {"policy", run.policy},
        {"profile", run.profile},
        {"zone_outage", run.zoneOutage},
        {"load", run.load},
        {"seed", run.seed},
        {"arrived", m.arrived},
        {"completed", m.completed},
        {"late", m.late},
        {"cut", m.cut},
        {"refused", m.refused()},
        {"refusals", refusals},
        {"accounts", accounts},
        {"goodput_tokens_per_s", m.goodput()},
        {"completed_tokens", m.completedTokens},
        {"measured_ms", m.measuredTime.count},
        {"capacity_tokens_per_s", m.capacityTokensPerSecond},
        {"stall_ms", m.stall.count},
        {"stall_ms_per_1000_tokens", m.stallPerThousand()},
        {"preemptions", m.preemptions},
        {"first_token_ms",
         {{"p50", m.firstToken.quantile(0.5).count},
          {"p95", m.firstToken.quantile(0.95).count},
          {"p99", m.firstToken.quantile(0.99).count}}},
        {"token_gap_ms",
         {{"p50", m.gap.quantile(0.5).count},
          {"p95", m.gap.quantile(0.95).count},
          {"p99", m.gap.quantile(0.99).count},
          {"p999", m.gap.quantile(0.999).count}}},
        {"crashes", m.crashes},
        {"over_cold_limit", m.overCold},
        {"lost", m.lost},
        {"doubled", m.doubled},
        {"least_fair_part", m.leastFairPart()},
        {"away_goodput_part", m.awayGoodputPart()},
    };
}

std::string toSvg(const RunResult &run)
{
    const std::vector<Panel> all = panels();
    const double height = static_cast<double>(all.size()) * (panelHeight + panelGap) + panelGap;
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plotWidth + 2 * leftMargin
        << "\" height=\"" << height + panelGap
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"" << leftMargin
        << "\" y=\"14\">" << run.scenario << ", " << run.policy << ", load " << run.load
        << ", seed " << run.seed << "</text>\n";
    double top = 2 * panelGap;
    for (const Panel &panel : all) {
        drawPanel(out, panel, run.measures.series, top);
        top += panelHeight + panelGap;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace fescue::load
