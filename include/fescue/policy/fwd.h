#pragma once

namespace fescue {

class CreditAuthority;
class CreditBalance;
class EntryAdmission;
class FairQueue;
class LengthForecast;
class LengthHistogram;
class SlowStart;
class StartRate;
struct Candidate;
struct CreditGrant;
struct EntryDemand;
struct LoadReport;
struct Request;

} // namespace fescue
