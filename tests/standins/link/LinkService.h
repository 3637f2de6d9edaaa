#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/Service.h"
#include "link/Link.h"

namespace swiftlift::standins {

/** Stands in for the network between processes: links that can be cut and delayed. */
class LinkService : public Service {
public:
    LinkService();

    /** Nothing besides control and audit. */
    [[nodiscard]] Awaitable<void> serve(Exchange& exchange) override;
    [[nodiscard]] Json audit(const Exchange& exchange) const override;
    void start(asio::io_context& context) override { context_ = &context; }

private:
    void addControls();
    void addLinks(const Json& links, Json& reply);
    [[nodiscard]] Link& link(const std::string& name) const;
    void forEach(const Json& names, const std::function<void(Link&)>& change) const;

    asio::io_context* context_ = nullptr;
    CutMode mode_ = CutMode::Drop;
    std::map<std::string, std::unique_ptr<Link>> links_;
};

} // namespace swiftlift::standins
