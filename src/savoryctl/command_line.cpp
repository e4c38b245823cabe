#include "command_line.h"

#include "block_commands.h"
#include "command_options.h"
#include "config_commands.h"
#include "daemon_status.h"
#include "drain_commands.h"
#include "explain_command.h"
#include "history.h"
#include "key_commands.h"
#include "ownership_commands.h"
#include "rollout_commands.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

namespace savorylb {

namespace {

using Command = std::function<CommandResult(const ToolContext &)>;
using OptionsPtr = std::shared_ptr<CommandOptions>;

constexpr const char *ExitCodesHelp =
    "Exit codes:\n"
    "  0  done\n"
    "  1  invalid command line, or findings in a file or stored document\n"
    "  2  conflict with the current state, the change is not in force\n"
    "  3  the store or daemon did not respond, the change is not in force\n"
    "  4  outcome unknown: the change may have taken effect\n"
    "  5  not found";

/// The parser under construction, and where it stores its results.
struct CommandLineBuilder {
  CLI::App &App;
  CommandLine &Out;
  OptionsPtr Values;
};

void setCommand(const CommandLineBuilder &builder, CLI::App *command,
                Command run) {
  command->callback(
      [&out = builder.Out, run = std::move(run)]() { out.Command = run; });
}

std::optional<std::string> readFile(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  std::stringstream text;
  if (!in || !(text << in.rdbuf()))
    return std::nullopt;
  return text.str();
}

// \returns a command that reads the file of the options and runs on its text.
Command withFileText(
    const OptionsPtr &values,
    std::function<CommandResult(const ToolContext &, const std::string &text)>
        run) {
  return [values, run = std::move(run)](const ToolContext &context) {
    std::optional<std::string> text = readFile(values->File);
    return text ? run(context, *text)
                : makeResult(ExitCode::Usage, "cannot read " + values->File);
  };
}

void addDaemonOption(const CommandLineBuilder &builder, CLI::App *command) {
  command->add_option("--daemon", builder.Values->Daemons,
                      "admin endpoints host:port of daemons to query for "
                      "their revisions");
}

void addFileArgument(const CommandLineBuilder &builder, CLI::App *command) {
  command->add_option("FILE", builder.Values->File, "JSON with comments")
      ->required();
}

void addConfigCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *validate =
      builder.App.add_subcommand("validate", "check a configuration file");
  addFileArgument(builder, validate);
  setCommand(
      builder, validate,
      withFileText(opts, [opts](const ToolContext &, const std::string &text) {
        return validateConfig(opts->File, text);
      }));
  CLI::App *apply =
      builder.App.add_subcommand("apply", "put a configuration in force");
  addFileArgument(builder, apply);
  addDaemonOption(builder, apply);
  apply->add_option("--expect-revision", opts->ExpectedRevision,
                    "refuse unless the store holds this revision");
  setCommand(builder, apply,
             withFileText(opts, [opts](const ToolContext &context,
                                       const std::string &text) {
               return applyConfig(context, {opts->File, text, opts->Daemons,
                                            opts->ExpectedRevision});
             }));
  CLI::App *diff =
      builder.App.add_subcommand("diff", "show what apply would change");
  addFileArgument(builder, diff);
  setCommand(builder, diff,
             withFileText(opts, [opts](const ToolContext &context,
                                       const std::string &text) {
               return diffConfig(context, opts->File, text);
             }));
  setCommand(
      builder,
      builder.App.add_subcommand("history", "show the last applied revisions"),
      showHistory);
}

void addBlockCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *blocks = builder.App.add_subcommand(
      "blocks", "client address blocks stored outside the configuration");
  blocks->require_subcommand(1);
  CLI::App *apply =
      blocks->add_subcommand("apply", "put a list of blocks in force");
  apply->add_option("FILE", opts->File, "one line CIDR SITE for each block")
      ->required();
  addDaemonOption(builder, apply);
  setCommand(builder, apply,
             withFileText(opts, [opts](const ToolContext &context,
                                       const std::string &text) {
               return applyBlocks(context, opts->File, text, opts->Daemons);
             }));
}

void addKeyCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *keys =
      builder.App.add_subcommand("keys", "manage the keys of teams");
  keys->require_subcommand(1);
  CLI::App *grant =
      keys->add_subcommand("grant", "generate a key and print it once");
  grant->add_option("--team", opts->Team)->required();
  grant->add_option("--label", opts->Label)->required();
  addDaemonOption(builder, grant);
  setCommand(builder, grant, [opts](const ToolContext &context) {
    return grantKey(context, opts->Team, opts->Label, opts->Daemons);
  });
  CLI::App *import =
      keys->add_subcommand("import", "grant the keys of a file, for demos");
  addFileArgument(builder, import);
  addDaemonOption(builder, import);
  setCommand(builder, import,
             withFileText(opts, [opts](const ToolContext &context,
                                       const std::string &text) {
               return importKeys(context, opts->File, text, opts->Daemons);
             }));
  CLI::App *withdraw = keys->add_subcommand("withdraw", "revoke a key");
  withdraw->add_option("--label", opts->Label)->required();
  addDaemonOption(builder, withdraw);
  setCommand(builder, withdraw, [opts](const ToolContext &context) {
    return withdrawKey(context, opts->Label, opts->Daemons);
  });
  setCommand(builder, keys->add_subcommand("list", "list the granted keys"),
             listKeys);
}

void addConfigDrain(const CommandLineBuilder &builder, CLI::App *drain,
                    DrainKind kind, const char *name, const char *help) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *command = drain->add_subcommand(name, help);
  command->add_option("NAME", opts->Name)->required();
  command->add_flag("--undo", opts->Undo, "remove the draining mark");
  addDaemonOption(builder, command);
  setCommand(builder, command, [opts, kind](const ToolContext &context) {
    return drainInConfig(context,
                         {kind, opts->Name, opts->Undo, opts->Daemons});
  });
}

void addDrainCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *drain =
      builder.App.add_subcommand("drain", "drain a VM, target or region");
  drain->require_subcommand(1);
  CLI::App *vm = drain->add_subcommand("vm", "drain and stop a daemon");
  vm->add_option("NAME", opts->Name)->required();
  vm->add_option("--admin", opts->Admin, "its admin endpoint host:port")
      ->required();
  setCommand(builder, vm, [opts](const ToolContext &context) {
    return drainVm(context, opts->Name, opts->Admin);
  });
  addConfigDrain(builder, drain, DrainKind::Target, "target",
                 "mark a target as draining in the configuration");
  addConfigDrain(builder, drain, DrainKind::Region, "region",
                 "mark a region as draining in the configuration");
}

void addRolloutCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *rollout = builder.App.add_subcommand(
      "rollout", "roll out new versions of services");
  rollout->require_subcommand(1);
  CLI::App *start = rollout->add_subcommand("start", "configure a rollout");
  addFileArgument(builder, start);
  addDaemonOption(builder, start);
  setCommand(builder, start,
             withFileText(opts, [opts](const ToolContext &context,
                                       const std::string &text) {
               return startRollout(context, opts->File, text, opts->Daemons);
             }));
  setCommand(
      builder,
      rollout->add_subcommand("status", "show the state of each rollout"),
      showRollouts);
  CLI::App *takeBack =
      rollout->add_subcommand("take-back", "roll back to the old version");
  takeBack->add_option("NAME", opts->Name)->required();
  addDaemonOption(builder, takeBack);
  setCommand(builder, takeBack, [opts](const ToolContext &context) {
    return rollBackRollout(context, opts->Name, opts->Daemons);
  });
}

void addOwnershipCommands(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *ownership =
      builder.App.add_subcommand("ownership", "show or change the owner maps");
  ownership->require_subcommand(1);
  setCommand(
      builder,
      ownership->add_subcommand("show", "show the owner maps of all zones"),
      showOwnership);
  CLI::App *reclaim = ownership->add_subcommand(
      "reclaim", "release what a VM that has certainly stopped owns");
  reclaim->add_option("VM", opts->Name)->required();
  reclaim->add_option("--zone", opts->Zone)->required();
  reclaim->add_flag("--yes", opts->Confirmed,
                    "confirm that the VM has certainly stopped");
  setCommand(builder, reclaim, [opts](const ToolContext &context) {
    return reclaimOwnership(context, opts->Name, opts->Zone, opts->Confirmed);
  });
}

void addStatusCommand(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *status =
      builder.App.add_subcommand("status", "show the status of daemons");
  status->add_option("--daemon", opts->Daemons, "admin endpoints host:port")
      ->required();
  setCommand(builder, status, [opts](const ToolContext &context) {
    return showStatus(context, opts->Daemons);
  });
}

void addExplainCommand(const CommandLineBuilder &builder) {
  const OptionsPtr &opts = builder.Values;
  CLI::App *explain = builder.App.add_subcommand(
      "explain", "explain the outcome of a request from the logs of all VMs "
                 "on standard input");
  explain
      ->add_option("ID", opts->Name,
                   "attempt id of the caller, logged as `trace`")
      ->required();
  setCommand(builder, explain, [opts](const ToolContext &) {
    return explainRequest(std::cin, opts->Name);
  });
}

} // namespace

std::optional<ExitCode> parseCommandLine(int argc, const char *const *argv,
                                         CommandLine &out) {
  CLI::App app("Operators' tool of savorylb", "savoryctl");
  app.footer(ExitCodesHelp);
  app.fallthrough();
  app.require_subcommand(1);
  const char *user = std::getenv("USER");
  out.Operator = user ? user : "unknown";
  std::int64_t timeoutMs =
      std::chrono::duration_cast<Millis>(out.Timeout).count();
  app.add_option("--store", out.StoreUrl, "base URL of the store")
      ->envname("SAVORY_STORE")
      ->capture_default_str();
  app.add_option("--timeout-ms", timeoutMs,
                 "timeout of one call in milliseconds")
      ->check(CLI::Range(1, 600'000))
      ->capture_default_str();
  app.add_option("--operator", out.Operator, "name recorded in the history");
  app.add_flag("--json", out.Json, "print JSON");
  CommandLineBuilder builder{app, out, std::make_shared<CommandOptions>()};
  addConfigCommands(builder);
  addBlockCommands(builder);
  addKeyCommands(builder);
  addDrainCommands(builder);
  addRolloutCommands(builder);
  addOwnershipCommands(builder);
  addStatusCommand(builder);
  addExplainCommand(builder);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? ExitCode::Ok : ExitCode::Usage;
  }
  out.Timeout = Millis(timeoutMs);
  return std::nullopt;
}

} // namespace savorylb
