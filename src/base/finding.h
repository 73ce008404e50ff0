#ifndef BURDOCKRING_BASE_FINDING_H
#define BURDOCKRING_BASE_FINDING_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace burdockring {

enum class Severity
{
  kWarning,
  kError,
};

/// Reason for a finding. The printed codes are part of the public interface and
/// must stay stable.
enum class FindingCode
{
  kUnreadableFile,
  kBadSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicateName,
  kIdCollision,
  kUnknownReference,
  kBadAddress,
  kDuplicateAddress,
  kDuplicateToken,
  kBadToken,
  kUnservedService,
  kFallbackCycle,
  kEmptySet,
};

/// The printed code, for example "BR005".
auto CodeName(FindingCode aCode) -> std::string_view;

/// The short name of the code, for example "unknown-key".
auto CodeWord(FindingCode aCode) -> std::string_view;

/// Position in a file. Lines and columns are 1-based; 0 means unknown.
struct SourceLocation
{
  std::string file_;
  int line_ = 0;
  int column_ = 0;
};

struct Finding
{
  SourceLocation location_;
  Severity severity_ = Severity::kError;
  FindingCode code_ = FindingCode::kBadSyntax;
  std::string message_;
};

/// Collects findings so that a single report can list all of them.
class FindingList
{
  std::vector<Finding> findings_;

public:
  auto Add(SourceLocation aLocation, FindingCode aCode, std::string aMessage)
    -> void;
  auto AddWarning(SourceLocation aLocation,
                  FindingCode aCode,
                  std::string aMessage) -> void;
  /// Sorts findings by file, line, column, code and message.
  auto Sort() -> void;
  [[nodiscard]] auto Findings() const -> const std::vector<Finding>&;
  [[nodiscard]] auto ErrorCount() const -> std::size_t;
  [[nodiscard]] auto HasErrors() const -> bool;
  /// One line per finding: `file:line:column: severity: code word: message`.
  [[nodiscard]] auto ToText() const -> std::string;
  [[nodiscard]] auto ToJson() const -> std::string;
};

} // namespace burdockring

#endif
