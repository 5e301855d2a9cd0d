#pragma once

#include "fescue/config/inifile.h"
#include "fescue/core/snapshot.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

// An item with the section that declares it.
template <typename Item>
struct Declared
{
    Item item;
    IniSection section;
};

// [zone NAME]. Without the key "out" the published state of the zone is kept.
struct ZoneDeclaration
{
    ZoneName name;
    std::string region;
    std::optional<bool> out;
};

// [vm NAME]. Without the key "out" the published state of the VM is kept.
struct VmDeclaration
{
    VmName name;
    std::optional<bool> out;
};

// [call SERVICE /path].
struct CallDeclaration
{
    ServiceName service;
    CallContract contract;
};

// [system].
struct SystemDeclaration
{
    std::string streamSecret;
    Millis directoryTtl = 10_s;
};

// What one of the short files beside the services declares.
struct ServiceFile
{
    std::string name;
    std::vector<Declared<ZoneDeclaration>> zones;
    std::vector<Declared<VmDeclaration>> vms;
    std::vector<Declared<Service>> services;
    std::vector<Declared<CallDeclaration>> calls;
    std::vector<Declared<Endpoint>> endpoints;
    std::vector<Declared<Account>> accounts;
    std::vector<Declared<SystemDeclaration>> systems;
};

// Reads one file. Items with errors are returned too, so that references to them hold.
[[nodiscard]] ServiceFile parseServiceFile(std::string_view text, std::string fileName,
                                           ErrorList &errors);

} // namespace fescue
