#ifndef SAVORYLB_VM_PROCESS_H
#define SAVORYLB_VM_PROCESS_H

#include <string>
#include <sys/types.h>

namespace savorylb::soak {

/// One daemon that the soak has started, by its process id.
class VmProcess {
public:
  /// \param program path of the daemon.
  /// \param settings path of its settings.
  /// \param log file that its output is added to.
  VmProcess(std::string program, std::string settings, std::string log);
  ~VmProcess();
  VmProcess(const VmProcess &) = delete;
  VmProcess &operator=(const VmProcess &) = delete;

  /// Starts the process unless it runs.
  bool start();
  /// Sends a signal, if it runs.
  void signal(int number);
  /// \returns whether it runs; takes in its end.
  bool running();

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Pid = 0;
};

} // namespace savorylb::soak

#endif // SAVORYLB_VM_PROCESS_H
