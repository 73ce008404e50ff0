#ifndef BURDOCKRING_MAIN_POLICY_READER_H
#define BURDOCKRING_MAIN_POLICY_READER_H

#include "base/finding.h"
#include "process/placement/policy.h"

#include <optional>
#include <string>

namespace burdockring {

/// Reads a policy: `without`, a list of mechanisms to leave out, `engines`,
/// limits as parts of the shortest aim, and `waits`, parts of aims and of the
/// callers' patience. What is absent is as usual. Null when a finding is an
/// error.
auto ReadPolicy(const std::string& aText,
                const std::string& aFile,
                FindingList* aFindings) -> std::optional<ForwardingPolicy>;

} // namespace burdockring

#endif
