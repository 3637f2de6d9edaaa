#pragma once

#include <cstdint>
#include <string>

namespace swiftlift::standins {

/** Writes the lines of one attempt's stream. */
class Lines {
public:
    Lines(std::string key, std::string attempt);

    [[nodiscard]] std::string token(std::uint64_t index, const std::string& token) const;
    [[nodiscard]] std::string done(
        std::uint64_t promptTokens, std::uint64_t answerTokens, std::uint64_t cachedPromptTokens) const;
    /**
     * @return Lines that don't belong to the stream: a token and a done line of another key, and a token of another
     * attempt of the same key.
     */
    [[nodiscard]] std::string strays(std::uint64_t index) const;

private:
    std::string key_;
    std::string attempt_;
};

} // namespace swiftlift::standins
