#ifndef BURDOCKRING_BASE_YAML_READER_H
#define BURDOCKRING_BASE_YAML_READER_H

#include "base/finding.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace burdockring {

/// Reads the keys of one YAML mapping. Each error is recorded as a finding with
/// its location and reading continues, so that one pass reports all errors.
/// ReportUnknownKeys reports the keys that were never requested.
class YamlReader
{
  YAML::Node node_;
  std::string file_;
  FindingList* findings_;
  std::set<std::string> requestedKeys_;

  auto Find(const std::string& aKey, bool aRequired) -> YAML::Node;

public:
  YamlReader(YAML::Node aNode, std::string aFile, FindingList* aFindings);

  /// The location of a node, or of a key's value. Falls back to the location of
  /// the mapping where the key is absent.
  [[nodiscard]] auto LocationOf(const YAML::Node& aNode) const
    -> SourceLocation;
  [[nodiscard]] auto LocationOf(const std::string& aKey) const
    -> SourceLocation;
  [[nodiscard]] auto HasKey(const std::string& aKey) const -> bool;

  auto Text(const std::string& aKey, std::optional<std::string> aDefault)
    -> std::string;
  /// An integer from `aMin` to `aMax`, inclusive.
  auto Integer(const std::string& aKey,
               std::optional<std::int64_t> aDefault,
               std::int64_t aMin,
               std::int64_t aMax) -> std::int64_t;
  auto Number(const std::string& aKey,
              std::optional<double> aDefault,
              double aMin,
              double aMax) -> double;
  auto Boolean(const std::string& aKey, std::optional<bool> aDefault) -> bool;
  /// The items of a list, or an empty list if the key is absent. A missing
  /// required key is a finding.
  auto Items(const std::string& aKey, bool aRequired)
    -> std::vector<YAML::Node>;
  /// The mapping under a key, or nullopt if the key is absent.
  auto Section(const std::string& aKey) -> std::optional<YAML::Node>;
  /// Adds a finding for each key that was not requested.
  auto ReportUnknownKeys() -> void;
};

/// Parses text into its top-level mapping. Adds a finding on a syntax error or
/// if the top-level value is not a mapping.
auto ParseYaml(const std::string& aText,
               const std::string& aFile,
               FindingList* aFindings) -> std::optional<YAML::Node>;

/// Reads a whole file. Adds a finding if it cannot be opened.
auto ReadTextFile(const std::string& aPath, FindingList* aFindings)
  -> std::optional<std::string>;

} // namespace burdockring

#endif
