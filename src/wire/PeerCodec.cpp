#include "swiftlift/wire/PeerCodec.h"

#include "wire/PeerReader.h"
#include "wire/PeerWriter.h"

namespace swiftlift::wire {

std::string encodePeerEnvelope(const PeerEnvelope& envelope)
{
    proto::peer::Envelope out;
    out.set_sender(envelope.sender.value());
    out.set_sender_address(envelope.senderAddress.value());
    out.set_receiver(envelope.receiver.value());
    out.set_shard(envelope.shard);
    std::visit([&out](const auto& message) { internal::write(message, out); }, envelope.message);
    return out.SerializeAsString();
}

std::optional<PeerEnvelope> decodePeerEnvelope(std::string_view bytes)
{
    proto::peer::Envelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    auto message = internal::readMessage(in);
    if (!message || in.sender() == 0) {
        return std::nullopt;
    }
    return PeerEnvelope { Incarnation(in.sender()), PeerAddress(in.sender_address()), Incarnation(in.receiver()),
        std::move(*message), in.shard() };
}

} // namespace swiftlift::wire
