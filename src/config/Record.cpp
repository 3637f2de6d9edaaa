#include "swiftlift/config/Record.h"

#include "config.pb.h"

namespace swiftlift::config {

std::string encode(const PublishRequest& request)
{
    proto::config::Record record;
    record.set_rules_version(rulesVersion);
    proto::config::Publish& publish = *record.mutable_publish();
    publish.set_service(request.service.value());
    publish.set_document(request.document);
    publish.set_replaces(request.replaces ? request.replaces->value() + 1 : 0);
    publish.set_author(request.author);
    publish.set_id(request.id);
    return record.SerializeAsString();
}

} // namespace swiftlift::config
