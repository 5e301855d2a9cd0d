#include "tests/config/support.h"

namespace fescue::testing {

Snapshot sampleSnapshot()
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion {4};
    snapshot.zones = {{ZoneName("north"), "alpha", false}, {ZoneName("south"), "alpha", true}};
    snapshot.vmsOut = {{VmName("vm-oak")}};
    Service draft;
    draft.name = ServiceName("draft");
    Service ledger;
    ledger.name = ServiceName("ledger");
    ledger.kind = ServiceKind::Plain;
    ledger.profile = Profile::Latency;
    ledger.calls = {{"/adjust", false, 2_s}, {"/balance", true, 1_s}};
    snapshot.services = {draft, ledger};
    Endpoint ash;
    ash.name = EndpointName("ash-1");
    ash.service = ServiceName("draft");
    ash.zone = ZoneName("north");
    ash.vm = VmName("vm-ash");
    ash.address = "127.0.0.1:7101";
    ash.memoryTokens = 65536;
    ash.fencing = FencingSupport::Checks;
    snapshot.endpoints = {ash};
    Account diner;
    diner.name = AccountName("diner");
    diner.keyHash = hashKey("demo-key");
    diner.weight = 1.25;
    diner.services = {ServiceName("draft")};
    snapshot.accounts = {diner};
    snapshot.streamSecret = "00112233445566778899aabbccddeeff";
    return snapshot;
}

} // namespace fescue::testing
