#include "tests/clients/clientscripts.h"

#include "platform/names.h"
#include "tests/soak/soakconfig.h"

namespace fescue::test {

namespace names = platform::names;

namespace {

// The limits of the tests' configuration.
constexpr std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
constexpr std::size_t maxHeadBytes = std::size_t {16} * 1024;
// Room that a head's own fields need.
constexpr std::size_t ownHeadBytes = 400;
constexpr std::size_t fillBytes = maxHeadBytes - ownHeadBytes;
constexpr std::size_t pieceBytes = std::size_t {16} * 1024;
constexpr std::size_t smallChunks = std::size_t {16} * 1024;
constexpr std::size_t requestsAhead = 20000;
constexpr Millis slowPause = 20_ms;
constexpr std::size_t slowBytes = 60;

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string out;
    while (out.size() + text.size() <= bytes)
        out += text;
    return out;
}

std::string targetOf(Door door)
{
    switch (door) {
    case Door::Post:
        return "/post/1";
    case Door::Read:
        return "/read/1";
    case Door::Draft:
        return "/draft/1";
    case Door::NoRoute:
        return "/nowhere/1";
    case Door::Ready:
        return std::string(names::readyPath);
    case Door::Directory:
        return std::string(names::resolutionPath) + "?Zone=north";
    case Door::Metrics:
        return "/metrics";
    case Door::Peer:
        break;
    }
    return "/store-copy?after=0";
}

// Returns a request line and the usual fields, without the empty line.
std::string headOf(Door door, std::string_view method, std::string_view query = {})
{
    std::string target = targetOf(door);
    if (!query.empty())
        target += (target.find('?') == std::string::npos ? '?' : '&') + std::string(query);
    std::string head = std::string(method) + ' ' + target + " HTTP/1.1\r\n";
    head += "Host: " + std::string(soak::soakHost) + "\r\n";
    head += std::string(names::requestId) + ": crowd\r\n";
    head += std::string(names::deadline) + ": 1500\r\n";
    if (door == Door::Draft)
        head += std::string(names::tokens) + ": 100,20\r\n";
    return head + "Authorization: " + std::string(names::keyScheme) + "key-kiosk\r\n";
}

std::string withLength(Door door, std::size_t bytes)
{
    return headOf(door, "POST") + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunked(Door door)
{
    return headOf(door, "POST") + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    return "4000\r\n" + std::string(bytes, 'b') + "\r\n";
}

ClientScript bodyScript(Door door, std::size_t announced, std::size_t sent)
{
    ClientScript script;
    script.head = withLength(door, announced);
    script.part = std::string(pieceBytes, 'b');
    script.parts = sent / pieceBytes;
    script.tail = std::string(sent % pieceBytes, 'b');
    return script;
}

ClientScript chunkScript(Door door, std::size_t bytes, std::string_view tail)
{
    ClientScript script;
    script.head = chunked(door);
    script.part = chunkOf(pieceBytes);
    script.parts = bytes / pieceBytes;
    script.tail = tail;
    return script;
}

ClientScript headScript(std::string head)
{
    ClientScript script;
    script.head = std::move(head);
    return script;
}

ClientScript requestsAheadScript(Door door)
{
    ClientScript script;
    script.part = headOf(door, "GET") + "\r\n";
    script.parts = requestsAhead;
    script.reading = ClientReading::Nothing;
    return script;
}

ClientScript slowScript(std::string head, std::string part, std::size_t parts)
{
    ClientScript script;
    script.head = std::move(head);
    script.part = std::move(part);
    script.parts = parts;
    script.pieceBytes = script.part.size();
    script.pause = slowPause;
    return script;
}

ClientScript bodyHalf(Door door, ClientEnd end)
{
    ClientScript script = bodyScript(door, maxBodyBytes, maxBodyBytes / 2);
    script.end = end;
    return script;
}

ClientScript answerScript(Door door, ClientReading reading)
{
    ClientScript script = headScript(headOf(door, "GET") + "\r\n");
    script.reading = reading;
    return script;
}

} // namespace

std::string_view nameOf(Door door) noexcept
{
    switch (door) {
    case Door::Post:
        return "post";
    case Door::Read:
        return "read";
    case Door::Draft:
        return "draft";
    case Door::NoRoute:
        return "no route";
    case Door::Ready:
        return "ready";
    case Door::Directory:
        return "directory";
    case Door::Metrics:
        return "metrics";
    case Door::Peer:
        break;
    }
    return "peer";
}

ClientScript scriptOf(ClientKind kind, Door door)
{
    switch (kind) {
    case ClientKind::WholeBodies:
        return bodyScript(door, maxBodyBytes, maxBodyBytes);
    case ClientKind::BodiesInPieces: {
        ClientScript script = bodyScript(door, maxBodyBytes, maxBodyBytes);
        script.pieceBytes = pieceBytes;
        return script;
    }
    case ClientKind::OneByteChunks: {
        ClientScript script;
        script.head = chunked(door);
        script.part = "1\r\nb\r\n";
        script.parts = smallChunks;
        script.tail = "0\r\n\r\n";
        return script;
    }
    case ClientKind::BodiesThatStopShort:
        return bodyScript(door, maxBodyBytes, maxBodyBytes - 1);
    case ClientKind::ChunksThatStopShort:
        return chunkScript(door, maxBodyBytes, "0\r\n");
    case ClientKind::AnnouncedOverLimit:
        return bodyScript(door, 256 * maxBodyBytes, 2 * maxBodyBytes);
    case ClientKind::ChunksOverLimit:
        return chunkScript(door, 2 * maxBodyBytes, {});
    case ClientKind::ManyFields:
        return headScript(headOf(door, "GET") + repeated("a:\r\n", fillBytes) + "\r\n");
    case ClientKind::ManyQueryFields:
        return headScript(headOf(door, "GET", repeated("a&", fillBytes)) + "\r\n");
    case ClientKind::ManyJsonFields: {
        ClientScript script = bodyScript(door, maxBodyBytes, 0);
        script.part = repeated("{\"a\":[]},", pieceBytes / 2);
        script.part.resize(pieceBytes / 2, ' ');
        script.parts = 2 * maxBodyBytes / pieceBytes;
        return script;
    }
    case ClientKind::ManyPromptParts:
        return headScript(headOf(door, "GET") + std::string(names::promptParts) + ": "
                          + repeated("1:1,", fillBytes) + "\r\n\r\n");
    case ClientKind::ChunkExtensions: {
        ClientScript script;
        script.head = chunked(door);
        script.part = "1;" + repeated("a;", fillBytes) + "a\r\nb\r\n";
        script.parts = 256;
        script.tail = "0\r\n\r\n";
        return script;
    }
    case ClientKind::ManyTrailers:
        return headScript(chunked(door) + "1\r\nb\r\n0\r\n" + repeated("a:\r\n", fillBytes)
                          + "\r\n");
    case ClientKind::RequestsSentAhead:
        return requestsAheadScript(door);
    case ClientKind::UnreadAnswers:
        return answerScript(door, ClientReading::Nothing);
    case ClientKind::SlowHeads:
        return slowScript(headOf(door, "GET"), "a: b\r\n", slowBytes);
    case ClientKind::SlowBodies:
        return slowScript(withLength(door, maxBodyBytes), std::string(pieceBytes, 'b'), slowBytes);
    case ClientKind::SlowReads:
        return answerScript(door, ClientReading::Slow);
    case ClientKind::HalfClosed:
        return bodyHalf(door, ClientEnd::ClosesHalf);
    case ClientKind::Reset:
        return bodyHalf(door, ClientEnd::Resets);
    case ClientKind::Idle:
        break;
    }
    return {};
}

} // namespace fescue::test
