#include "version/config_checker.h"

#include <algorithm>
#include <set>

namespace burdockring {
namespace {

constexpr std::size_t kTokenDigits = 64;

template<typename Object, typename Key>
auto InsertUnique(const std::vector<Object>& aObjects,
                  const char* aKind,
                  std::map<Key, Object>* aMap,
                  FindingList* aFindings) -> void
{
  for (const auto& object : aObjects) {
    if (object.name_.empty()) {
      continue;
    }
    const auto key = [&] {
      if constexpr (std::is_same_v<Key, std::string>) {
        return object.name_;
      } else {
        return object.id_;
      }
    }();
    const auto inserted = aMap->emplace(key, object);
    if (inserted.second) {
      continue;
    }
    const auto& other = inserted.first->second;
    const auto code = other.name_ == object.name_ ? FindingCode::kDuplicateName
                                                  : FindingCode::kIdCollision;
    aFindings->Add(object.location_, code,
                   std::string(aKind) + " '" + object.name_ +
                     "' conflicts with '" + other.name_ + "' at " +
                     other.location_.file_ + ':' +
                     std::to_string(other.location_.line_));
  }
}

auto CheckTokens(const ObjectLists& aLists,
                 ConfigSet* aSet,
                 FindingList* aFindings) -> void
{
  for (const auto& account : aLists.accounts_) {
    const auto& token = account.tokenSha256_;
    if (token.empty()) {
      continue;
    }
    if (token.size() != kTokenDigits ||
        token.find_first_not_of("0123456789abcdef") != std::string::npos) {
      aFindings->Add(account.location_, FindingCode::kBadToken,
                     "'token_sha256' of '" + account.name_ +
                       "' must be 64 lower-case hexadecimal digits");
      continue;
    }
    if (!aSet->accountByToken_.emplace(token, account.id_).second) {
      aFindings->Add(account.location_, FindingCode::kDuplicateToken,
                     "'" + account.name_ +
                       "' has the same token as another account");
    }
  }
}

auto CheckServices(const ObjectLists& aLists,
                   const ConfigSet& aSet,
                   FindingList* aFindings) -> void
{
  for (const auto& service : aLists.services_) {
    if (!service.model_.empty() && !aSet.models_.contains(service.model_)) {
      aFindings->Add(service.location_, FindingCode::kUnknownReference,
                     "service '" + service.name_ +
                       "' references unknown model '" + service.model_ + "'");
    }
    const bool hasTarget = std::any_of(
      aLists.targets_.begin(), aLists.targets_.end(),
      [&](const auto& aTarget) { return aTarget.service_ == service.id_; });
    if (!hasTarget) {
      aFindings->AddWarning(service.location_, FindingCode::kUnservedService,
                            "service '" + service.name_ + "' has no target");
    }
  }
}

auto CheckTargets(const ObjectLists& aLists,
                  const ConfigSet& aSet,
                  FindingList* aFindings) -> void
{
  std::map<std::string, std::string> targetByAddress;
  for (const auto& target : aLists.targets_) {
    if (!target.serviceName_.empty() &&
        !aSet.services_.contains(target.service_)) {
      aFindings->Add(target.location_, FindingCode::kUnknownReference,
                     "target '" + target.name_ +
                       "' references unknown service '" + target.serviceName_ +
                       "'");
    }
    if (!target.zoneName_.empty() && !aSet.zones_.contains(target.zone_)) {
      aFindings->Add(target.location_, FindingCode::kUnknownReference,
                     "target '" + target.name_ + "' references unknown zone '" +
                       target.zoneName_ + "'");
    }
    if (target.port_ == 0) {
      continue;
    }
    const auto address = target.host_ + ':' + std::to_string(target.port_);
    const auto inserted = targetByAddress.emplace(address, target.name_);
    if (!inserted.second && inserted.first->second != target.name_) {
      aFindings->Add(target.location_, FindingCode::kDuplicateAddress,
                     "target '" + target.name_ + "' has the same address as '" +
                       inserted.first->second + "'");
    }
  }
}

auto CheckModels(const ObjectLists& aLists,
                 const ConfigSet& aSet,
                 FindingList* aFindings) -> void
{
  for (const auto& model : aLists.models_) {
    std::set<std::string> seen{ model.name_ };
    auto next = model.fallback_;
    while (!next.empty()) {
      const auto found = aSet.models_.find(next);
      if (found == aSet.models_.end()) {
        break;
      }
      if (!seen.insert(next).second) {
        aFindings->Add(model.location_, FindingCode::kFallbackCycle,
                       "fallback chain of model '" + model.name_ +
                         "' has a cycle at '" + next + "'");
        break;
      }
      next = found->second.fallback_;
    }
    if (!model.fallback_.empty() && !aSet.models_.contains(model.fallback_)) {
      aFindings->Add(model.location_, FindingCode::kUnknownReference,
                     "model '" + model.name_ +
                       "' references unknown fallback '" + model.fallback_ +
                       "'");
    }
  }
}

} // namespace

auto CheckObjects(const ObjectLists& aLists, FindingList* aFindings)
  -> ConfigSetPointer
{
  auto set = std::make_shared<ConfigSet>();
  InsertUnique(aLists.zones_, "zone", &set->zones_, aFindings);
  InsertUnique(aLists.accounts_, "client account", &set->accounts_, aFindings);
  InsertUnique(aLists.models_, "model", &set->models_, aFindings);
  InsertUnique(aLists.services_, "service", &set->services_, aFindings);
  InsertUnique(aLists.targets_, "target", &set->targets_, aFindings);
  CheckTokens(aLists, set.get(), aFindings);
  CheckModels(aLists, *set, aFindings);
  CheckServices(aLists, *set, aFindings);
  CheckTargets(aLists, *set, aFindings);
  const bool empty = set->accounts_.empty() || set->services_.empty();
  if (empty && !aFindings->HasErrors()) {
    aFindings->Add({ "", 0, 0 }, FindingCode::kEmptySet,
                   "the configuration needs a client account and a service");
  }
  return set;
}

} // namespace burdockring
