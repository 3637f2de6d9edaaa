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

    /** Ends the parse of a document that has broken a bound. */
    struct Refusal {
        Place place;
        std::string message;
    };

    [[nodiscard]] Place toPlace(const YAML::Mark& mark) noexcept { return { mark.line + 1, mark.column + 1 }; }

    [[nodiscard]] Finding toFinding(const std::string& source, Place place, std::string message)
    {
        return { source, place.line, place.column, std::move(message) };
    }

    /** Builds the tree out of the parser's events. */
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
            refuseAnchor(mark, anchor);
            add({ YamlNode::Kind::Null, toPlace(mark), {}, false, {}, {} });
        }

        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw Refusal { toPlace(mark), "aliases are not allowed" };
        }

        void OnScalar(
            const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            add({ YamlNode::Kind::Scalar, toPlace(mark), value, tag == quotedTag, {}, {} });
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
        static constexpr std::string_view plainTag = "?";
        static constexpr std::string_view quotedTag = "!";

        /** A map or list whose end has not come yet. */
        struct OpenNode {
            YamlNode node;
            /** Of a map: the key whose value comes next. */
            std::optional<YamlNode> key;
        };

        void refuseAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) const
        {
            if (anchor != YAML::NullAnchor) {
                throw Refusal { toPlace(mark), "anchors are not allowed" };
            }
        }

        void refuseTag(const YAML::Mark& mark, const std::string& tag) const
        {
            if (!tag.empty() && tag != plainTag && tag != quotedTag) {
                throw Refusal { toPlace(mark), "tags are not allowed" };
            }
        }

        void open(YamlNode::Kind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
        {
            refuseAnchor(mark, anchor);
            refuseTag(mark, tag);
            if (open_.size() >= maxYamlDepth) {
                throw Refusal { toPlace(mark), "nested deeper than " + std::to_string(maxYamlDepth) + " levels" };
            }
            open_.push_back({ { kind, toPlace(mark), {}, false, {}, {} }, std::nullopt });
        }

        void close()
        {
            YamlNode node = std::move(open_.back().node);
            open_.pop_back();
            add(std::move(node));
        }

        void add(YamlNode node)
        {
            if (++nodes_ > maxYamlNodes) {
                throw Refusal { node.place, "more than " + std::to_string(maxYamlNodes) + " values" };
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
                findings_.push_back(toFinding(source_, key.place, "a key has to be a word"));
                return;
            }
            map.node.entries.push_back({ key.scalar, key.place, std::move(value) });
        }

        const std::string& source_;
        Findings& findings_;
        YamlNode root_;
        std::vector<OpenNode> open_;
        std::size_t nodes_ = 0;
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
    const auto before = findings.size();
    if (text.size() > maxBytes) {
        findings.push_back({ source, 0, 0, "longer than " + std::to_string(maxBytes) + " bytes" });
        return std::nullopt;
    }
    if (const auto place = findBadCharacter(text)) {
        findings.push_back(toFinding(source, *place, "not UTF-8 text without control characters"));
        return std::nullopt;
    }
    TreeBuilder builder(source, findings);
    // The parser throws on bad YAML. A document comes from whoever may publish, so an exception that got through would
    // end every router that follows the configuration; nothing may pass.
    try {
        parse(text, builder, source, findings);
    } catch (const Refusal& refusal) {
        findings.push_back(toFinding(source, refusal.place, refusal.message));
    } catch (const YAML::Exception& error) {
        const bool placed = !error.mark.is_null();
        findings.push_back(toFinding(source, placed ? toPlace(error.mark) : Place {}, "not YAML: " + error.msg));
    } catch (const std::exception& error) {
        findings.push_back({ source, 0, 0, std::string("not YAML: ") + error.what() });
    }
    if (findings.size() > before) {
        return std::nullopt;
    }
    return builder.takeRoot();
}

} // namespace swiftlift::settings::internal
