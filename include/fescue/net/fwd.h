#pragma once

// Forward declarations of the network library.
namespace fescue::net {

struct Address;
struct CallCounts;
struct Header;
struct HttpRequest;
struct HttpResponse;
struct Problem;
struct StoreError;
struct StoreItem;
struct StoreList;
struct SseEvent;
struct VmList;
class CallCounter;
class ClientStream;
class HttpClient;
class HttpServer;
class ResponseWriter;
class SseParser;
class StoreClient;
class VmListClient;
class WorkerPool;

} // namespace fescue::net
