#include "standin/standin_faults.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <array>

namespace burdockring {
namespace {

struct FaultRow
{
  std::string_view name_;
  Fault fault_;
};

constexpr std::array kFaultTable{
  FaultRow{ "slow", Fault::kSlow },
  FaultRow{ "silent", Fault::kSilent },
  FaultRow{ "refuse", Fault::kRefuse },
  FaultRow{ "lose_reply", Fault::kLoseReply },
  FaultRow{ "lag", Fault::kLag },
  FaultRow{ "leaving", Fault::kLeaving },
  FaultRow{ "down", Fault::kDown },
  FaultRow{ "cut", Fault::kCut },
};

struct QueryItem
{
  std::string name_;
  std::int64_t value_ = 0;
  bool valid_ = false;
};

auto QueryOf(const HttpRequest& aRequest) -> std::string
{
  const std::string target(aRequest.target());
  const auto mark = target.find('?');
  return mark == std::string::npos ? "" : target.substr(mark + 1);
}

auto SplitQuery(const std::string& aQuery) -> std::vector<QueryItem>
{
  const std::vector<std::string> parts =
    absl::StrSplit(aQuery, '&', absl::SkipEmpty());
  std::vector<QueryItem> items;
  for (const auto& part : parts) {
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    QueryItem item{ pair.first, 0, false };
    item.valid_ = absl::SimpleAtoi(pair.second, &item.value_);
    items.push_back(std::move(item));
  }
  return items;
}

} // namespace

auto StandinFaults::Set(Fault aFault, int aValue) -> void
{
  values_[aFault] = aValue;
}

auto StandinFaults::Get(Fault aFault) const -> int
{
  const auto found = values_.find(aFault);
  return found == values_.end() ? 0 : found->second;
}

auto StandinFaults::Take(Fault aFault) -> bool
{
  auto& left = values_[aFault];
  if (left <= 0) {
    return false;
  }
  --left;
  return true;
}

auto StandinFaults::Apply(const std::string& aQuery) -> absl::Status
{
  for (const auto& item : SplitQuery(aQuery)) {
    bool known = false;
    for (const auto& row : kFaultTable) {
      if (row.name_ == item.name_ && item.valid_) {
        Set(row.fault_, static_cast<int>(item.value_));
        known = true;
      }
    }
    if (!known) {
      return absl::InvalidArgumentError("unknown fault '" + item.name_ + "'");
    }
  }
  return absl::OkStatus();
}

auto HandleFault(const HttpRequest& aRequest, StandinFaults* aFaults)
  -> std::optional<absl::Status>
{
  if (PathOf(aRequest) != "/fault") {
    return std::nullopt;
  }
  return aFaults->Apply(QueryOf(aRequest));
}

auto PathOf(const HttpRequest& aRequest) -> std::string
{
  const std::string target(aRequest.target());
  return target.substr(0, target.find('?'));
}

auto QueryNumber(const HttpRequest& aRequest,
                 std::string_view aName,
                 std::int64_t aDefault) -> std::int64_t
{
  for (const auto& item : SplitQuery(QueryOf(aRequest))) {
    if (item.name_ == aName && item.valid_) {
      return item.value_;
    }
  }
  return aDefault;
}

} // namespace burdockring
