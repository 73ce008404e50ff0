#include <easylogging++.h>

// Stands with the library's own source, which needs it wherever it is linked.
INITIALIZE_EASYLOGGINGPP
