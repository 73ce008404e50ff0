#ifndef BURDOCKRING_VERSION_CONFIG_CHECKER_H
#define BURDOCKRING_VERSION_CONFIG_CHECKER_H

#include "base/finding.h"
#include "version/config_set.h"

#include <vector>

namespace burdockring {

/// Parsed configuration objects, before cross-reference validation.
struct ObjectLists
{
  std::vector<ZoneObject> zones_;
  std::vector<AccountObject> accounts_;
  std::vector<ModelObject> models_;
  std::vector<ServiceObject> services_;
  std::vector<TargetObject> targets_;
};

/// Validates names, references, tokens, addresses and fallback chains, and
/// builds the set. Every problem is added to aFindings; the set is usable only
/// if none of them is an error.
auto CheckObjects(const ObjectLists& aLists, FindingList* aFindings)
  -> ConfigSetPointer;

} // namespace burdockring

#endif
