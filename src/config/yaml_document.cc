#include "src/config/yaml_document.h"

#include <sstream>
#include <string>

#include <yaml-cpp/eventhandler.h>

namespace cactuscross {
namespace {

// Thrown through yaml-cpp's parser, which offers no other way to stop it early.
struct DocumentRejection {
  Error error;
};

// Rejects a document that is too large or uses anchors or aliases before a node
// tree is built from it.
class DocumentValidator : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    this->CountNode(mark, anchor);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Reject(mark, ResultCode::kYamlSyntax,
           "aliases are not accepted; write the value out");
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& /*tag*/,
                YAML::anchor_t anchor,
                const std::string& /*value*/) override {
    this->CountNode(mark, anchor);
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& /*tag*/,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    this->EnterCollection(mark, anchor);
  }
  void OnSequenceEnd() override { --this->depth; }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string& /*tag*/,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    this->EnterCollection(mark, anchor);
  }
  void OnMapEnd() override { --this->depth; }

 private:
  [[noreturn]] static void Reject(const YAML::Mark& mark,
                                  ResultCode code,
                                  std::string detail) {
    throw DocumentRejection{Error{code, std::move(detail), "", mark.line + 1}};
  }

  void CountNode(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      Reject(mark, ResultCode::kYamlSyntax,
             "anchors are not accepted; write the value out");
    }
    if (++this->nodes > kMaxYamlNodes) {
      Reject(mark, ResultCode::kOutOfBounds,
             "more than " + std::to_string(kMaxYamlNodes) + " values");
    }
  }

  void EnterCollection(const YAML::Mark& mark, YAML::anchor_t anchor) {
    this->CountNode(mark, anchor);
    if (++this->depth > kMaxYamlDepth) {
      Reject(mark, ResultCode::kOutOfBounds,
             "nested deeper than " + std::to_string(kMaxYamlDepth) + " levels");
    }
  }

  int depth = 0;
  int nodes = 0;
};

// Throws DocumentRejection or YAML::Exception.
YAML::Node LoadValidated(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  DocumentValidator validator;
  if (!parser.HandleNextDocument(validator)) {
    throw DocumentRejection{
        Error{ResultCode::kYamlSyntax, "the text is empty", "", 1}};
  }
  DocumentValidator second_validator;
  if (parser.HandleNextDocument(second_validator)) {
    throw DocumentRejection{
        Error{ResultCode::kYamlSyntax,
              "a second document follows; write one per file", "", 1}};
  }
  return YAML::Load(text);
}

}  // namespace

tl::expected<YAML::Node, Error> LoadYaml(std::string_view text) {
  if (text.size() > kMaxYamlBytes) {
    return tl::unexpected(Error{
        ResultCode::kOutOfBounds,
        "the text has " + std::to_string(text.size()) + " bytes; at most " +
            std::to_string(kMaxYamlBytes) + " are accepted",
        "", 1});
  }
  try {
    return LoadValidated(std::string(text));
  } catch (const DocumentRejection& rejection) {
    return tl::unexpected(rejection.error);
  } catch (const YAML::Exception& exception) {
    return tl::unexpected(Error{ResultCode::kYamlSyntax, exception.msg, "",
                                exception.mark.line + 1});
  }
}

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

}  // namespace cactuscross
