#include "base/finding.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <tuple>

namespace burdockring {
namespace {

struct CodeRow
{
  FindingCode code_;
  std::string_view name_;
  std::string_view word_;
};

constexpr std::array kCodeTable{
  CodeRow{ FindingCode::kUnreadableFile, "BR001", "unreadable-file" },
  CodeRow{ FindingCode::kBadSyntax, "BR002", "bad-syntax" },
  CodeRow{ FindingCode::kUnknownKey, "BR003", "unknown-key" },
  CodeRow{ FindingCode::kMissingKey, "BR004", "missing-key" },
  CodeRow{ FindingCode::kWrongType, "BR005", "wrong-type" },
  CodeRow{ FindingCode::kOutOfRange, "BR006", "out-of-range" },
  CodeRow{ FindingCode::kDuplicateName, "BR007", "duplicate-name" },
  CodeRow{ FindingCode::kIdCollision, "BR008", "id-collision" },
  CodeRow{ FindingCode::kUnknownReference, "BR009", "unknown-reference" },
  CodeRow{ FindingCode::kBadAddress, "BR010", "bad-address" },
  CodeRow{ FindingCode::kDuplicateAddress, "BR011", "duplicate-address" },
  CodeRow{ FindingCode::kDuplicateToken, "BR012", "duplicate-token" },
  CodeRow{ FindingCode::kBadToken, "BR013", "bad-token" },
  CodeRow{ FindingCode::kUnservedService, "BR014", "unserved-service" },
  CodeRow{ FindingCode::kFallbackCycle, "BR015", "fallback-cycle" },
  CodeRow{ FindingCode::kEmptySet, "BR016", "empty-set" },
};

auto FindRow(FindingCode aCode) -> const CodeRow&
{
  return *std::find_if(
    kCodeTable.begin(), kCodeTable.end(),
    [&](const CodeRow& aRow) { return aRow.code_ == aCode; });
}

auto SeverityName(Severity aSeverity) -> std::string_view
{
  return aSeverity == Severity::kError ? "error" : "warning";
}

} // namespace

auto CodeName(FindingCode aCode) -> std::string_view
{
  return FindRow(aCode).name_;
}

auto CodeWord(FindingCode aCode) -> std::string_view
{
  return FindRow(aCode).word_;
}

auto FindingList::Add(SourceLocation aLocation,
                      FindingCode aCode,
                      std::string aMessage) -> void
{
  findings_.push_back(
    { std::move(aLocation), Severity::kError, aCode, std::move(aMessage) });
}

auto FindingList::AddWarning(SourceLocation aLocation,
                             FindingCode aCode,
                             std::string aMessage) -> void
{
  findings_.push_back(
    { std::move(aLocation), Severity::kWarning, aCode, std::move(aMessage) });
}

auto FindingList::Sort() -> void
{
  const auto key = [](const Finding& aFinding) {
    return std::tie(aFinding.location_.file_, aFinding.location_.line_,
                    aFinding.location_.column_, aFinding.code_,
                    aFinding.message_);
  };
  std::stable_sort(findings_.begin(), findings_.end(),
                   [&](const Finding& aLeft, const Finding& aRight) {
                     return key(aLeft) < key(aRight);
                   });
}

auto FindingList::Findings() const -> const std::vector<Finding>&
{
  return findings_;
}

auto FindingList::ErrorCount() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(findings_.begin(), findings_.end(), [](const auto& aFinding) {
      return aFinding.severity_ == Severity::kError;
    }));
}

auto FindingList::HasErrors() const -> bool
{
  return ErrorCount() != 0;
}

auto FindingList::ToText() const -> std::string
{
  std::string text;
  for (const auto& finding : findings_) {
    text += finding.location_.file_ + ':' +
            std::to_string(finding.location_.line_) + ':' +
            std::to_string(finding.location_.column_) + ": ";
    text += std::string(SeverityName(finding.severity_)) + ": ";
    text += std::string(CodeName(finding.code_)) + ' ' +
            std::string(CodeWord(finding.code_)) + ": ";
    text += finding.message_ + '\n';
  }
  return text;
}

auto FindingList::ToJson() const -> std::string
{
  auto rows = nlohmann::json::array();
  for (const auto& finding : findings_) {
    rows.push_back({ { "file", finding.location_.file_ },
                     { "line", finding.location_.line_ },
                     { "column", finding.location_.column_ },
                     { "severity", SeverityName(finding.severity_) },
                     { "code", CodeName(finding.code_) },
                     { "word", CodeWord(finding.code_) },
                     { "message", finding.message_ } });
  }
  return rows.dump(2);
}

} // namespace burdockring
