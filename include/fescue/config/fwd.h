#pragma once

namespace fescue {

class AccountDirectory;
class SectionReader;
struct DaemonSettings;
struct Fault;
struct HostPort;
struct IniDocument;
struct IniEntry;
struct IniSection;
struct StoredSnapshot;

} // namespace fescue
