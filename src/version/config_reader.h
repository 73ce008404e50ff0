#ifndef BURDOCKRING_VERSION_CONFIG_READER_H
#define BURDOCKRING_VERSION_CONFIG_READER_H

#include "base/finding.h"
#include "version/config_set.h"

#include <string>
#include <vector>

namespace burdockring {

/// A configuration text and the file name that findings refer to.
struct ConfigSource
{
  std::string file_;
  std::string text_;
};

/// Parses the sources as one set and validates it. Returns null if any finding
/// is an error. aFindings holds all findings, sorted.
auto ReadConfigSet(const std::vector<ConfigSource>& aSources,
                   FindingList* aFindings) -> ConfigSetPointer;

/// Merges several sources into one YAML text with the same objects.
auto JoinConfigSources(const std::vector<ConfigSource>& aSources)
  -> std::string;

} // namespace burdockring

#endif
