#ifndef SAVORYLB_VM_PROCESS_H
#define SAVORYLB_VM_PROCESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace savorylb::soak {

/// A daemon that runs as a child process.
class VmProcess {
public:
  /// \param program path of the daemon.
  /// \param settings path of its settings file.
  /// \param log file to which its standard output is appended; its standard
  ///        error is appended to a file of this name with `.err`.
  VmProcess(std::string program, std::string settings, std::string log);
  ~VmProcess();
  VmProcess(const VmProcess &) = delete;
  VmProcess &operator=(const VmProcess &) = delete;

  /// Starts the process unless it is running.
  bool start();
  /// Sends a signal if the process is running.
  void signal(int number);
  /// \returns whether the process is running; reaps it if it has exited.
  bool running();
  /// \returns how the last process ended, in the form of waitpid(); nothing
  ///          before its end is known and after the status was taken.
  std::optional<int> takeStatus();
  /// \returns the largest resident size since the start; 0 if the process has
  ///          exited.
  std::int64_t peakResidentBytes();

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Pid = 0;
  std::optional<int> Status;
};

} // namespace savorylb::soak

#endif // SAVORYLB_VM_PROCESS_H
