#include "scenario.h"

namespace fescue::load {

namespace {

AccountLoad account(const char *name, double share, double median, double sigma, double tailPart)
{
    AccountLoad made;
    made.name = name;
    made.share = share;
    made.medianOutput = median;
    made.sigma = sigma;
    made.tailPart = tailPart;
    return made;
}

} // namespace

Scenario waypointScenario()
{
    Scenario scenario;
    scenario.name = "waypoint";
    scenario.profile = Profile::Finish;
    scenario.zones = 3;
    scenario.accounts = {
        account("diner-group", 0.28, 420, 1.1, 0.030),
        account("fuel-north", 0.22, 350, 1.1, 0.025),
        account("coffee-chain", 0.18, 260, 1.0, 0.020),
        account("inspections", 0.12, 160, 0.8, 0.005),
        account("fuel-south", 0.05, 350, 1.1, 0.020),
        account("diner-east", 0.04, 420, 1.1, 0.030),
        account("diner-west", 0.04, 420, 1.1, 0.030),
        account("kiosk-one", 0.03, 200, 1.0, 0.010),
        account("kiosk-two", 0.02, 200, 1.0, 0.010),
        account("office", 0.02, 300, 1.0, 0.010),
    };
    return scenario;
}

Scenario ferreiraScenario()
{
    Scenario scenario;
    scenario.name = "ferreira";
    scenario.profile = Profile::Latency;
    scenario.zones = 4;
    scenario.patience = 3_s;
    scenario.accounts = {
        account("sales-porto", 0.30, 180, 1.0, 0.015),
        account("sales-lisboa", 0.24, 180, 1.0, 0.015),
        account("planners", 0.16, 110, 0.9, 0.010),
        account("counter", 0.10, 40, 0.7, 0.002),
        account("shears", 0.05, 60, 0.7, 0.002),
        account("sales-braga", 0.04, 180, 1.0, 0.015),
        account("sales-faro", 0.04, 180, 1.0, 0.015),
        account("certificates", 0.03, 500, 1.1, 0.040),
        account("purchasing", 0.02, 220, 1.0, 0.010),
        account("accounts", 0.02, 150, 0.9, 0.010),
    };
    return scenario;
}

void addZoneOutage(Scenario &scenario)
{
    scenario.faults.push_back(
        {scenario.warmup + scenario.duration / 3, FaultKind::ZoneOut, 0, Millis {0}});
    scenario.faults.push_back(
        {scenario.warmup + scenario.duration * 2 / 3, FaultKind::ZoneIn, 0, Millis {0}});
}

} // namespace fescue::load
