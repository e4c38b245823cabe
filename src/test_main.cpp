#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv) {
  // The leak detector counts lazily initialised library state as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
