#include "transport/RelayServer.h"

#include <utility>
#include <vector>

#include "transport/RelayConnection.h"

namespace swiftlift::transport::internal {

RelayServer::RelayServer(StreamContext& context, ReadAnnouncement readAnnouncement)
    : context_(context)
    , readAnnouncement_(std::move(readAnnouncement))
{
}

RelayServer::~RelayServer() = default;

void RelayServer::accept(boost::asio::ip::tcp::socket socket)
{
    if (connections_.size() >= maxConnections) {
        ++context_.counts.overloaded;
        return;
    }
    const RelayId id(++lastNumber_);
    const auto connection = std::make_shared<RelayConnection>(context_, *this, id, std::move(socket));
    connections_.emplace(id, connection);
    connection->start();
}

void RelayServer::execute(node::AnswerRelay&& answer)
{
    const auto found = connections_.find(answer.relay);
    if (found == connections_.end()) {
        return;
    }
    const auto connection = found->second;
    if (answer.address) {
        connection->connect(*answer.address);
    } else {
        connection->refuse(answer.reason, answer.concernsServer);
    }
}

void RelayServer::closeAll()
{
    const auto connections = std::exchange(connections_, {});
    for (const auto& [id, connection] : connections) {
        connection->close("stopped");
    }
}

void RelayServer::onEnded(RelayId relay) { connections_.erase(relay); }

} // namespace swiftlift::transport::internal
