#pragma once

#include <functional>
#include <string>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::standins {

/** Command line flags of the form `--name value`, read by getopt_long. */
class Options {
public:
    Options();

    void add(std::string name, std::string help, std::function<void(const std::string&)> setter);
    void addNumber(std::string name, std::string help, double& target);
    void addNumber(std::string name, std::string help, std::uint64_t& target);
    void addText(std::string name, std::string help, std::string& target);

    /** @return What is wrong with the arguments, empty when all is well. */
    [[nodiscard]] Findings parse(int argc, char** argv) const;
    /** @return The flags, one a line. */
    [[nodiscard]] std::string usage() const;
    /** @return The value of `--listen`, which every stand-in has. */
    [[nodiscard]] const std::string& listen() const noexcept { return listen_; }

private:
    struct Flag {
        std::string name;
        std::string help;
        std::function<void(const std::string&)> setter;
    };

    std::vector<Flag> flags_;
    std::string listen_ = "127.0.0.1:0";
};

} // namespace swiftlift::standins
