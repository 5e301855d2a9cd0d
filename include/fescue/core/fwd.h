#pragma once

// Forward declarations of the main types of the decision core.
namespace fescue {

struct Millis;
struct Error;
struct SourcePosition;
struct Incarnation;
struct ConfigVersion;
struct FencingNumber;

struct Zone;
struct Service;
struct Endpoint;
struct Account;
struct Snapshot;

struct GenerationId;
struct EventId;
class TokenSequencer;
class GenerationMachine;

class Deadline;
class Backoff;
class RetryBudget;

struct ClaimRecord;
struct ServiceAnswer;
class ClaimMachine;

class ConfigFollower;
class FreshnessJudge;
class VmList;

struct MemberInfo;
struct MemberView;
class MemberTable;

struct DirectoryEntry;
struct DirectoryQuery;

class DrainMachine;
class OwnershipMachine;
class OrderLedger;
class LinkMonitor;
class ReconnectTimer;
class CacheFollower;

} // namespace fescue
