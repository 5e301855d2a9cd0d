#pragma once

namespace fescue::tools {

class BlockingStore;
struct CurrentConfig;
struct HttpCall;
struct HttpReply;
struct MemberAddress;
struct MemberStatus;
struct PublishFailure;
struct PublishRequest;
struct Published;
struct StoreValue;

} // namespace fescue::tools
