#include "version/config_set.h"

namespace burdockring {

auto ConfigSet::FindAccountByToken(const std::string& aSha256) const
  -> const AccountObject*
{
  const auto found = accountByToken_.find(aSha256);
  if (found == accountByToken_.end()) {
    return nullptr;
  }
  return &accounts_.at(found->second);
}

auto ConfigSet::FindService(const std::string& aName) const
  -> const ServiceObject*
{
  const auto found = services_.find(MakeId<ServiceId>(aName));
  if (found == services_.end() || found->second.name_ != aName) {
    return nullptr;
  }
  return &found->second;
}

auto ConfigSet::Weight(AccountId aAccount) const -> double
{
  const auto found = accounts_.find(aAccount);
  return found == accounts_.end() ? 1.0 : found->second.weight_;
}

} // namespace burdockring
