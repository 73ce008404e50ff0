#include "process/peers/active_config.h"

#include <algorithm>
#include <utility>

namespace burdockring {

auto ActiveConfig::UpdateFromStore(RouteTablePointer aTable,
                                   std::string aText,
                                   Instant aConfirmedAt) -> bool
{
  storeVersion_ = aTable->Version();
  const bool isNewer = UpdateFromPeer(std::move(aTable), std::move(aText));
  ConfirmFromStore(aConfirmedAt);
  return isNewer;
}

auto ActiveConfig::UpdateFromPeer(RouteTablePointer aTable, std::string aText)
  -> bool
{
  if (aTable->Version() <= table_->Version()) {
    return false;
  }
  table_ = std::move(aTable);
  text_ = std::move(aText);
  return true;
}

auto ActiveConfig::ConfirmFromStore(Instant aConfirmedAt) -> void
{
  if (storeVersion_ >= table_->Version() && aConfirmedAt >= storeTrustedFrom_) {
    Confirm(aConfirmedAt);
  }
}

auto ActiveConfig::Confirm(Instant aConfirmedAt) -> void
{
  confirmedAt_ = std::max(confirmedAt_, aConfirmedAt);
}

auto ActiveConfig::OnStoreRestored() -> void
{
  storeVersion_ = 0;
}

auto ActiveConfig::DistrustStoreUntil(Instant aUntil) -> void
{
  storeTrustedFrom_ = std::max(storeTrustedFrom_, aUntil);
}

auto ActiveConfig::Table() const -> const RouteTablePointer&
{
  return table_;
}

auto ActiveConfig::Text() const -> const std::string&
{
  return text_;
}

auto ActiveConfig::ConfirmedAt() const -> Instant
{
  return confirmedAt_;
}

auto ActiveConfig::IsKnown() const -> bool
{
  return table_->Version() > 0;
}

auto ActiveConfig::IsFresh(Instant aReceived, Duration aMaxAge) const -> bool
{
  return aReceived - confirmedAt_ < aMaxAge;
}

} // namespace burdockring
