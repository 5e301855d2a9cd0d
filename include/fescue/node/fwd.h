#pragma once

namespace fescue::node {

struct NodeOptions;
struct NodeView;
struct NodeCallbacks;
class CreditClient;
class NodeControl;

} // namespace fescue::node
