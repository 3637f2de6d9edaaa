#pragma once

#include "peer.pb.h"
#include "swiftlift/node/PeerMessage.h"

namespace swiftlift::wire::internal {

// Each overload stores a message of its kind in the envelope.
void write(const node::Heartbeat& message, proto::peer::Envelope& out);
void write(const node::RaiseCeilings& message, proto::peer::Envelope& out);
void write(const node::CeilingsAcked& message, proto::peer::Envelope& out);
void write(const node::CeilingsRefused& message, proto::peer::Envelope& out);
void write(const node::LoanAsk& message, proto::peer::Envelope& out);
void write(const node::LoanGiven& message, proto::peer::Envelope& out);
void write(const node::LoanDenied& message, proto::peer::Envelope& out);
void write(const node::LoanDone& message, proto::peer::Envelope& out);
void write(const node::LoanDoneAcked& message, proto::peer::Envelope& out);
void write(const node::ReadAsk& message, proto::peer::Envelope& out);
void write(const node::Records& message, proto::peer::Envelope& out);
void write(const node::StreamState& message, proto::peer::Envelope& out);
void write(const node::RelayAppend& message, proto::peer::Envelope& out);
void write(const node::CopyItems& message, proto::peer::Envelope& out);
void write(const node::ItemsCopied& message, proto::peer::Envelope& out);
void write(const node::StreamsBegan& message, proto::peer::Envelope& out);
void write(const node::StreamVersionAsk& message, proto::peer::Envelope& out);
void write(const node::StreamVersionAnswer& message, proto::peer::Envelope& out);
void write(const node::LoadReport& message, proto::peer::Envelope& out);
void write(const node::LoadDigest& message, proto::peer::Envelope& out);

} // namespace swiftlift::wire::internal
