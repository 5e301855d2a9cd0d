#include "fescue/node/daemonsupport.h"

namespace fescue::node {

net::Address toAddress(const HostPort &hostPort)
{
    return {hostPort.ip, hostPort.port};
}

net::ServerLimits serverLimits(const LimitSettings &settings)
{
    net::ServerLimits limits;
    limits.maxHeadBytes = static_cast<std::uint32_t>(settings.maxHeadBytes);
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxConnections = settings.maxConnections;
    limits.idleTimeout = settings.idleTimeout;
    limits.writeTimeout = settings.callerWriteTimeout;
    return limits;
}

NodeOptions nodeOptions(const DaemonSettings &settings, peer::Role role, Incarnation incarnation)
{
    NodeOptions options;
    options.member = settings.name;
    options.role = role;
    options.zone = settings.zone;
    options.vm = settings.vm;
    options.incarnation = incarnation;
    options.peerListen = settings.peerListen.toString();
    options.store = toAddress(settings.store);
    options.storeTimeout = settings.storeTimeout;
    if (settings.vmList)
        options.vmList = toAddress(*settings.vmList);
    for (const HostPort &seed : settings.seedPeers)
        options.seedPeers.push_back(seed.toString());
    return options;
}

} // namespace fescue::node
