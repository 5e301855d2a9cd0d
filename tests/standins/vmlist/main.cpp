// Stand-in for the platform's list of virtual machines.
#include "tests/standins/standin.h"

#include <deque>

namespace fescue::standins {

namespace {

// Serves the list as it was some time ago.
class VmListStandIn
{
public:
    explicit VmListStandIn(Millis lag) : m_lag(lag) { m_versions.push_back({Millis {0}, 1, {}}); }

    // A state other than live or leaving removes the VM.
    void set(const std::string &vm, const std::string &zone, const std::string &state, Millis at)
    {
        Version next = m_versions.back();
        next.at = at;
        ++next.revision;
        next.vms.erase(vm);
        if (state == "live" || state == "leaving")
            next.vms[vm] = {{"vm", vm}, {"zone", zone}, {"state", state}};
        m_versions.push_back(std::move(next));
    }

    void handle(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        if (request.target == "/control") {
            const Json json = Json::parse(request.body);
            if (json.contains("lag_ms"))
                m_lag = {json["lag_ms"].get<std::int64_t>()};
            if (json.contains("vm"))
                set(json["vm"], json.value("zone", ""), json.value("state", "live"),
                    SteadyClock {}.now());
            sendJson(writer, {{"revision", m_versions.back().revision}});
            return;
        }
        const Version &version = current();
        Json vms = Json::array();
        for (const std::pair<const std::string, Json> &entry : version.vms)
            vms.push_back(entry.second);
        sendJson(writer, {{"revision", version.revision}, {"vms", vms}});
    }

private:
    struct Version
    {
        Millis at;
        std::uint64_t revision = 0;
        std::map<std::string, Json> vms;
    };

    const Version &current()
    {
        const Millis shownUntil = SteadyClock {}.now() - m_lag;
        while (m_versions.size() > 1 && m_versions[1].at <= shownUntil)
            m_versions.pop_front();
        return m_versions.front();
    }

    Millis m_lag;
    std::deque<Version> m_versions;
};

} // namespace

} // namespace fescue::standins

int main(int argc, char **argv)
{
    fescue::standins::StandInOptions options;
    std::int64_t lagMs = 0;
    std::vector<std::string> vms;
    CLI::App app("Stand-in for the VM list, see docs/PROTOCOLS.md", "fescue-standin-vmlist");
    options.addTo(app);
    app.add_option("--lag-ms", lagMs, "age of the list");
    app.add_option("--vm", vms, "VM that is live from the start, as name:zone");
    CLI11_PARSE(app, argc, argv);
    fescue::standins::VmListStandIn list(fescue::Millis {lagMs});
    for (const std::string &vm : vms) {
        const std::size_t colon = std::min(vm.find(':'), vm.size() - 1);
        list.set(vm.substr(0, colon), vm.substr(colon + 1), "live", fescue::Millis {0});
    }
    return fescue::standins::serve(
        options,
        [&list](const fescue::net::HttpRequest &request, fescue::net::ResponseWriter &writer) {
            list.handle(request, writer);
        });
}
