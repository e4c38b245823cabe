// The logging library ships one source file that is compiled into the program.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
