#ifndef BURDOCKRING_MAIN_FLAGS_H
#define BURDOCKRING_MAIN_FLAGS_H

#include "absl/status/statusor.h"
#include "base/time.h"

#include <gflags/gflags_declare.h>
#include <string>
#include <string_view>
#include <vector>

DECLARE_string(settings);
DECLARE_string(policy);
DECLARE_bool(json);
DECLARE_string(log);
DECLARE_string(vms);
DECLARE_int64(base);
DECLARE_double(wait);
DECLARE_string(operator_name);
DECLARE_string(listen);
DECLARE_int32(batch);
DECLARE_double(token_ms);
DECLARE_double(call_ms);
DECLARE_int32(records);
DECLARE_string(list);
DECLARE_string(routers);
DECLARE_string(config);
DECLARE_string(service);
DECLARE_string(token_prefix);
DECLARE_double(rate);
DECLARE_double(seconds);
DECLARE_int32(tokens);
DECLARE_int64(seed);
DECLARE_bool(keyed);
DECLARE_string(plot);
DECLARE_string(deployment);
DECLARE_int32(base_port);
DECLARE_bool(platform);
DECLARE_bool(keep);
DECLARE_string(write);
DECLARE_string(scenario);
DECLARE_string(method);
DECLARE_int32(routers_count);
DECLARE_bool(scenarios);
DECLARE_string(lengths);
DECLARE_int64(slack);
DECLARE_int32(lazy_ms);
DECLARE_int32(exchange_ms);

namespace burdockring {

/// Sets flags from arguments and returns the other arguments. A flag that is
/// not among aAllowed, or a bad value, gives InvalidArgument.
auto ParseFlags(const std::vector<std::string>& aArguments,
                const std::vector<std::string_view>& aAllowed)
  -> absl::StatusOr<std::vector<std::string>>;

/// One line of help for each of the flags.
auto DescribeFlags(const std::vector<std::string_view>& aFlags) -> std::string;

} // namespace burdockring

#endif
