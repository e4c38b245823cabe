// Easylogging++ requires its one source file to be compiled into the program.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
