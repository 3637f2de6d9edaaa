#include "settings/Yaml.h"

#include <exception>
#include <sstream>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include "settings/Text.h"

namespace swiftlift::settings::internal {

namespace {

    /**
     * Exception that ends the parsing of a document which exceeds a limit or uses a YAML feature that is not allowed.
     */
    struct RejectedDocument {
        Position position;
        std::string message;
    };

    [[nodiscard]] Position toPosition(const YAML::Mark& mark) noexcept { return { mark.line + 1, mark.column + 1 }; }

    [[nodiscard]] Finding toFinding(const std::string& source, Position position, std::string message)
    {
        return { source, position.line, position.column, std::move(message) };
    }

    /** Builds the tree of nodes from the parser's events. */
    class TreeBuilder final : public YAML::EventHandler {
    public:
        TreeBuilder(const std::string& source, Findings& findings)
            : source_(source)
            , findings_(findings)
        {
        }

        [[nodiscard]] YamlNode takeRoot() { return std::move(root_); }

        void OnDocumentStart(const YAML::Mark&) override { }
        void OnDocumentEnd() override { }

        void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
        {
            rejectAnchor(mark, anchor);
            add({ YamlNode::Kind::Null, toPosition(mark), {}, false, {}, {} });
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw RejectedDocument { toPosition(mark), "aliases are not allowed" };
        }

        void OnScalar(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            rejectAnchor(mark, anchor);
            rejectTag(mark, tag);
            add({ YamlNode::Kind::Scalar, toPosition(mark), value, tag == quotedTag, {}, {} });
        }

        void OnSequenceStart(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(YamlNode::Kind::Sequence, mark, tag, anchor);
        }

        void OnSequenceEnd() override { close(); }

        void OnMapStart(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
        {
            open(YamlNode::Kind::Map, mark, tag, anchor);
        }

        void OnMapEnd() override { close(); }

    private:
        // Tags that the parser reports for scalars without an explicit tag: unquoted and quoted.
        static constexpr std::string_view plainTag = "?";
        static constexpr std::string_view quotedTag = "!";

        /** A map or list whose end has not been parsed yet. */
        struct OpenNode {
            YamlNode node;
            /** Only for maps: the parsed key whose value has not been parsed yet. */
            std::optional<YamlNode> key;
        };

        void rejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) const
        {
            if (anchor != YAML::NullAnchor) {
                throw RejectedDocument { toPosition(mark), "anchors are not allowed" };
            }
        }

        void rejectTag(const YAML::Mark& mark, const std::string& tag) const
        {
            if (!tag.empty() && tag != plainTag && tag != quotedTag) {
                throw RejectedDocument { toPosition(mark), "tags are not allowed" };
            }
        }

        /** @brief Starts a map or list. */
        void open(YamlNode::Kind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
        {
            rejectAnchor(mark, anchor);
            rejectTag(mark, tag);
            if (open_.size() >= maxYamlDepth) {
                throw RejectedDocument { toPosition(mark),
                    "nested deeper than " + std::to_string(maxYamlDepth) + " levels" };
            }
            open_.push_back({ { kind, toPosition(mark), {}, false, {}, {} }, std::nullopt });
        }

        /** @brief Ends the innermost open map or list and adds it to its parent. */
        void close()
        {
            YamlNode node = std::move(open_.back().node);
            open_.pop_back();
            add(std::move(node));
        }

        /** @brief Adds a complete node to the innermost open map or list, or makes it the root. */
        void add(YamlNode node)
        {
            if (++nodeCount_ > maxYamlNodes) {
                throw RejectedDocument { node.position, "more than " + std::to_string(maxYamlNodes) + " values" };
            }
            if (open_.empty()) {
                root_ = std::move(node);
                return;
            }
            auto& parent = open_.back();
            if (parent.node.kind == YamlNode::Kind::Sequence) {
                parent.node.items.push_back(std::move(node));
            } else if (!parent.key) {
                parent.key = std::move(node);
            } else {
                addEntry(parent, std::move(node));
            }
        }

        void addEntry(OpenNode& map, YamlNode value)
        {
            const YamlNode key = std::move(*map.key);
            map.key.reset();
            if (key.kind != YamlNode::Kind::Scalar) {
                findings_.push_back(toFinding(source_, key.position, "a key has to be a word"));
                return;
            }
            map.node.entries.push_back({ key.scalar, key.position, std::move(value) });
        }

        const std::string& source_;
        Findings& findings_;
        YamlNode root_;
        std::vector<OpenNode> open_;
        std::size_t nodeCount_ = 0;
    };

    void parse(std::string_view text, TreeBuilder& builder, const std::string& source, Findings& findings)
    {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            findings.push_back({ source, 0, 0, "the document is empty" });
            return;
        }
        if (parser) {
            findings.push_back({ source, 0, 0, "only one document is allowed in a file" });
        }
    }

} // namespace

std::optional<YamlNode> loadYaml(
    std::string_view text, const std::string& source, std::size_t maxBytes, Findings& findings)
{
    const auto findingsBefore = findings.size();
    if (text.size() > maxBytes) {
        findings.push_back({ source, 0, 0, "longer than " + std::to_string(maxBytes) + " bytes" });
        return std::nullopt;
    }
    if (const auto position = findInvalidCharacter(text)) {
        findings.push_back(toFinding(source, *position, "not UTF-8 text without control characters"));
        return std::nullopt;
    }
    TreeBuilder builder(source, findings);
    // The parser throws exceptions on malformed YAML. Every router parses every published document, so an exception
    // that is not caught here would end all routers that follow the configuration.
    try {
        parse(text, builder, source, findings);
    } catch (const RejectedDocument& rejected) {
        findings.push_back(toFinding(source, rejected.position, rejected.message));
    } catch (const YAML::Exception& error) {
        const bool hasPosition = !error.mark.is_null();
        findings.push_back(
            toFinding(source, hasPosition ? toPosition(error.mark) : Position {}, "not YAML: " + error.msg));
    } catch (const std::exception& error) {
        findings.push_back({ source, 0, 0, std::string("not YAML: ") + error.what() });
    }
    if (findings.size() > findingsBefore) {
        return std::nullopt;
    }
    return builder.takeRoot();
}

} // namespace swiftlift::settings::internal
