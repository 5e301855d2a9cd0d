#pragma once

namespace fescue::node {

struct MemberInfo;
struct NodeOptions;
struct NodeView;
struct ReceivedGrant;
class CreditClient;
class NodeControl;

} // namespace fescue::node
