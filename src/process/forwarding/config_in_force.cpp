#include "process/forwarding/config_in_force.h"

#include <algorithm>
#include <utility>

namespace burdockring {

auto ConfigInForceState::OfferFromStore(RouteTablePointer aTable,
                                        std::string aText,
                                        Instant aAsOf) -> bool
{
  storeVersion_ = aTable->Version();
  const bool isNewer = OfferFromPeer(std::move(aTable), std::move(aText));
  ConfirmFromStore(aAsOf);
  return isNewer;
}

auto ConfigInForceState::OfferFromPeer(RouteTablePointer aTable,
                                       std::string aText) -> bool
{
  if (aTable->Version() <= table_->Version()) {
    return false;
  }
  table_ = std::move(aTable);
  text_ = std::move(aText);
  return true;
}

auto ConfigInForceState::ConfirmFromStore(Instant aAsOf) -> void
{
  if (storeVersion_ >= table_->Version() && aAsOf >= storeHeldUntil_) {
    Confirm(aAsOf);
  }
}

auto ConfigInForceState::Confirm(Instant aAsOf) -> void
{
  asOf_ = std::max(asOf_, aAsOf);
}

auto ConfigInForceState::OnStoreRestored() -> void
{
  storeVersion_ = 0;
}

auto ConfigInForceState::HoldStore(Instant aUntil) -> void
{
  storeHeldUntil_ = std::max(storeHeldUntil_, aUntil);
}

auto ConfigInForceState::Table() const -> const RouteTablePointer&
{
  return table_;
}

auto ConfigInForceState::Text() const -> const std::string&
{
  return text_;
}

auto ConfigInForceState::AsOf() const -> Instant
{
  return asOf_;
}

auto ConfigInForceState::IsKnown() const -> bool
{
  return table_->Version() > 0;
}

auto ConfigInForceState::IsFresh(Instant aReceived, Duration aBound) const
  -> bool
{
  return aReceived - asOf_ < aBound;
}

} // namespace burdockring
