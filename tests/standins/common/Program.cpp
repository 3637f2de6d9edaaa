#include "common/Program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "common/HttpServer.h"

namespace swiftlift::standins {

namespace internal {

    constexpr int usageError = 2;

    int serveUntilSignal(const Options& options, Service& service, asio::io_context& context)
    {
        HttpServer server(context, parseEndpoint(options.listen()), service);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        server.start();
        std::cout << "listening " << server.endpoint() << std::endl;
        context.run();
        return 0;
    }

} // namespace internal

int runProgram(
    int argc, char** argv, const Options& options, const std::function<std::unique_ptr<Service>()>& makeService)
{
    if (const auto findings = options.parse(argc, argv); !findings.empty()) {
        for (const auto& finding : findings) {
            std::cerr << toText(finding) << '\n';
        }
        std::cerr << options.usage();
        return internal::usageError;
    }
    try {
        asio::io_context context(1);
        const auto service = makeService();
        return internal::serveUntilSignal(options, *service, context);
    } catch (const std::exception& error) {
        std::cerr << argv[0] << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace swiftlift::standins
