#include "base/yaml_reader.h"

#include <fstream>
#include <iterator>

namespace burdockring {
namespace {

template<typename Value>
auto Convert(const YAML::Node& aNode) -> std::optional<Value>
{
  if (!aNode.IsScalar()) {
    return std::nullopt;
  }
  try {
    return aNode.as<Value>();
  } catch (const YAML::Exception&) {
    return std::nullopt;
  }
}

} // namespace

auto YamlReader::Find(const std::string& aKey, bool aRequired) -> YAML::Node
{
  requestedKeys_.insert(aKey);
  const auto& node = node_;
  auto value = node[aKey];
  if (!value.IsDefined() || value.IsNull()) {
    if (aRequired) {
      findings_->Add(LocationOf(node_), FindingCode::kMissingKey,
                     "missing key '" + aKey + "'");
    }
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return value;
}

YamlReader::YamlReader(YAML::Node aNode,
                       std::string aFile,
                       FindingList* aFindings)
  : node_(std::move(aNode))
  , file_(std::move(aFile))
  , findings_(aFindings)
{
}

auto YamlReader::LocationOf(const YAML::Node& aNode) const -> SourceLocation
{
  const auto mark = aNode.Mark();
  if (mark.is_null()) {
    return { file_, 0, 0 };
  }
  return { file_, mark.line + 1, mark.column + 1 };
}

auto YamlReader::LocationOf(const std::string& aKey) const -> SourceLocation
{
  return HasKey(aKey) ? LocationOf(node_[aKey]) : LocationOf(node_);
}

auto YamlReader::HasKey(const std::string& aKey) const -> bool
{
  return node_[aKey].IsDefined();
}

auto YamlReader::Text(const std::string& aKey,
                      std::optional<std::string> aDefault) -> std::string
{
  const auto fallback = aDefault.value_or("");
  const auto value = Find(aKey, !aDefault.has_value());
  if (!value.IsDefined()) {
    return fallback;
  }
  if (!value.IsScalar()) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be a string");
    return fallback;
  }
  return value.Scalar();
}

auto YamlReader::Integer(const std::string& aKey,
                         std::optional<std::int64_t> aDefault,
                         std::int64_t aMin,
                         std::int64_t aMax) -> std::int64_t
{
  const auto fallback = aDefault.value_or(aMin);
  const auto value = Find(aKey, !aDefault.has_value());
  if (!value.IsDefined()) {
    return fallback;
  }
  const auto number = Convert<std::int64_t>(value);
  if (!number) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be an integer");
    return fallback;
  }
  if (*number < aMin || *number > aMax) {
    findings_->Add(LocationOf(value), FindingCode::kOutOfRange,
                   "'" + aKey + "' must be from " + std::to_string(aMin) +
                     " to " + std::to_string(aMax));
    return fallback;
  }
  return *number;
}

auto YamlReader::Number(const std::string& aKey,
                        std::optional<double> aDefault,
                        double aMin,
                        double aMax) -> double
{
  const auto fallback = aDefault.value_or(aMin);
  const auto value = Find(aKey, !aDefault.has_value());
  if (!value.IsDefined()) {
    return fallback;
  }
  const auto number = Convert<double>(value);
  if (!number) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be a number");
    return fallback;
  }
  if (!(*number >= aMin && *number <= aMax)) {
    findings_->Add(LocationOf(value), FindingCode::kOutOfRange,
                   "'" + aKey + "' must be from " + std::to_string(aMin) +
                     " to " + std::to_string(aMax));
    return fallback;
  }
  return *number;
}

auto YamlReader::Boolean(const std::string& aKey, std::optional<bool> aDefault)
  -> bool
{
  const auto fallback = aDefault.value_or(false);
  const auto value = Find(aKey, !aDefault.has_value());
  if (!value.IsDefined()) {
    return fallback;
  }
  const auto flag = Convert<bool>(value);
  if (!flag) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be true or false");
    return fallback;
  }
  return *flag;
}

auto YamlReader::Items(const std::string& aKey, bool aRequired)
  -> std::vector<YAML::Node>
{
  const auto value = Find(aKey, aRequired);
  if (!value.IsDefined()) {
    return {};
  }
  if (!value.IsSequence()) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be a list");
    return {};
  }
  return { value.begin(), value.end() };
}

auto YamlReader::Section(const std::string& aKey) -> std::optional<YAML::Node>
{
  auto value = Find(aKey, false);
  if (!value.IsDefined()) {
    return std::nullopt;
  }
  if (!value.IsMap()) {
    findings_->Add(LocationOf(value), FindingCode::kWrongType,
                   "'" + aKey + "' must be a mapping");
    return std::nullopt;
  }
  return value;
}

auto YamlReader::ReportUnknownKeys() -> void
{
  for (const auto& entry : node_) {
    if (!entry.first.IsScalar() ||
        !requestedKeys_.contains(entry.first.Scalar())) {
      findings_->Add(LocationOf(entry.first), FindingCode::kUnknownKey,
                     "unknown key '" + YAML::Dump(entry.first) + "'");
    }
  }
}

auto ParseYaml(const std::string& aText,
               const std::string& aFile,
               FindingList* aFindings) -> std::optional<YAML::Node>
{
  try {
    auto node = YAML::Load(aText);
    if (node.IsMap()) {
      return node;
    }
    aFindings->Add({ aFile, 1, 1 }, FindingCode::kWrongType,
                   "the top-level value must be a mapping");
  } catch (const YAML::Exception& error) {
    aFindings->Add({ aFile, error.mark.line + 1, error.mark.column + 1 },
                   FindingCode::kBadSyntax, error.msg);
  }
  return std::nullopt;
}

auto ReadTextFile(const std::string& aPath, FindingList* aFindings)
  -> std::optional<std::string>
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    aFindings->Add({ aPath, 0, 0 }, FindingCode::kUnreadableFile,
                   "cannot open the file");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace burdockring
