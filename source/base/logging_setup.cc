#include <easylogging++.h>

// Defines the library's global storage; exactly one translation unit must.
INITIALIZE_EASYLOGGINGPP
