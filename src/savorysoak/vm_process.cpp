#include "vm_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace savorylb::soak {

VmProcess::VmProcess(std::string program, std::string settings, std::string log)
    : Program(std::move(program)), Settings(std::move(settings)),
      Log(std::move(log)) {}

VmProcess::~VmProcess() {
  if (!running())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

bool VmProcess::start() {
  if (running())
    return true;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string errors = Log + ".err";
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string option = "--settings";
  char *args[] = {Program.data(), option.data(), Settings.data(), nullptr};
  int failed =
      posix_spawn(&Pid, Program.c_str(), &actions, nullptr, args, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed)
    Pid = 0;
  return !failed;
}

void VmProcess::signal(int number) {
  if (running())
    kill(Pid, number);
}

bool VmProcess::running() {
  if (Pid == 0)
    return false;
  int status = 0;
  pid_t ended = waitpid(Pid, &status, WNOHANG);
  if (ended == 0)
    return true;
  if (ended == Pid)
    Status = status;
  Pid = 0;
  return false;
}

std::optional<int> VmProcess::takeStatus() {
  return std::exchange(Status, std::nullopt);
}

std::int64_t VmProcess::peakResidentBytes() {
  if (!running())
    return 0;
  std::ifstream in("/proc/" + std::to_string(Pid) + "/status");
  std::string name;
  while (in >> name)
    if (name == "VmHWM:") {
      std::int64_t kilobytes = 0;
      in >> kilobytes;
      return kilobytes * 1024;
    }
  return 0;
}

} // namespace savorylb::soak
