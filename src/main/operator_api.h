#ifndef BURDOCKRING_MAIN_OPERATOR_API_H
#define BURDOCKRING_MAIN_OPERATOR_API_H

#include "connection/http_server.h"

namespace burdockring {

class RouterProcess;

/// The handler of the operators' listener: /health, /ready, /status, /history
/// and /metrics.
auto MakeOperatorHandler(const RouterProcess* aProcess) -> HttpHandler;

} // namespace burdockring

#endif
