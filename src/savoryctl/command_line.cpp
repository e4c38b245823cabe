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
using Options = std::shared_ptr<CommandOptions>;

constexpr const char *ExitCodes =
    "Exit codes:\n"
    "  0  done\n"
    "  1  wrong usage, or findings in a file\n"
    "  2  conflict: another change was first, nothing was written\n"
    "  3  the store or daemon did not answer, nothing was written\n"
    "  4  outcome unknown: the change may have taken effect\n"
    "  5  not found";

/// The command line under construction.
struct Builder {
  CLI::App &App;
  CommandLine &Out;
  Options Values;
};

void onRun(const Builder &builder, CLI::App *command, Command run) {
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

// Runs a command on the text of the file that the options name.
Command onFile(
    const Options &values,
    std::function<CommandResult(const ToolContext &, const std::string &text)>
        run) {
  return [values, run = std::move(run)](const ToolContext &context) {
    std::optional<std::string> text = readFile(values->File);
    return text ? run(context, *text)
                : makeResult(ExitCode::Usage, "cannot read " + values->File);
  };
}

void addDaemons(const Builder &builder, CLI::App *command) {
  command->add_option("--daemon", builder.Values->Daemons,
                      "admin endpoints host:port of daemons whose revisions "
                      "count");
}

void addFile(const Builder &builder, CLI::App *command) {
  command->add_option("FILE", builder.Values->File, "JSON with comments")
      ->required();
}

void addConfigCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *validate =
      builder.App.add_subcommand("validate", "check a configuration file");
  addFile(builder, validate);
  onRun(builder, validate,
        onFile(it, [it](const ToolContext &, const std::string &text) {
          return validateConfig(it->File, text);
        }));
  CLI::App *apply =
      builder.App.add_subcommand("apply", "put a configuration in force");
  addFile(builder, apply);
  addDaemons(builder, apply);
  apply->add_option("--expect-revision", it->ExpectedRevision,
                    "refuse unless the store holds this revision");
  onRun(builder, apply,
        onFile(it, [it](const ToolContext &context, const std::string &text) {
          return applyConfig(
              context, {it->File, text, it->Daemons, it->ExpectedRevision});
        }));
  CLI::App *diff =
      builder.App.add_subcommand("diff", "show what apply would change");
  addFile(builder, diff);
  onRun(builder, diff,
        onFile(it, [it](const ToolContext &context, const std::string &text) {
          return diffConfig(context, it->File, text);
        }));
  onRun(builder,
        builder.App.add_subcommand("history", "the last applied revisions"),
        showHistory);
}

void addBlockCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *blocks =
      builder.App.add_subcommand("blocks", "client blocks of their own");
  blocks->require_subcommand(1);
  CLI::App *apply =
      blocks->add_subcommand("apply", "put a list of blocks in force");
  apply->add_option("FILE", it->File, "a line CIDR SITE for each block")
      ->required();
  addDaemons(builder, apply);
  onRun(builder, apply,
        onFile(it, [it](const ToolContext &context, const std::string &text) {
          return applyBlocks(context, it->File, text, it->Daemons);
        }));
}

void addKeyCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *keys = builder.App.add_subcommand("keys", "keys of teams");
  keys->require_subcommand(1);
  CLI::App *grant =
      keys->add_subcommand("grant", "make a key and print it once");
  grant->add_option("--team", it->Team)->required();
  grant->add_option("--label", it->Label)->required();
  addDaemons(builder, grant);
  onRun(builder, grant, [it](const ToolContext &context) {
    return grantKey(context, it->Team, it->Label, it->Daemons);
  });
  CLI::App *import =
      keys->add_subcommand("import", "grant the keys of a file, for demos");
  addFile(builder, import);
  addDaemons(builder, import);
  onRun(builder, import,
        onFile(it, [it](const ToolContext &context, const std::string &text) {
          return importKeys(context, it->File, text, it->Daemons);
        }));
  CLI::App *withdraw = keys->add_subcommand("withdraw", "revoke a key");
  withdraw->add_option("--label", it->Label)->required();
  addDaemons(builder, withdraw);
  onRun(builder, withdraw, [it](const ToolContext &context) {
    return withdrawKey(context, it->Label, it->Daemons);
  });
  onRun(builder, keys->add_subcommand("list", "granted keys"), listKeys);
}

void addConfigDrain(const Builder &builder, CLI::App *drain, DrainKind kind,
                    const char *name, const char *help) {
  const Options &it = builder.Values;
  CLI::App *command = drain->add_subcommand(name, help);
  command->add_option("NAME", it->Name)->required();
  command->add_flag("--undo", it->Undo, "take the mark away");
  addDaemons(builder, command);
  onRun(builder, command, [it, kind](const ToolContext &context) {
    return drainInConfig(context, {kind, it->Name, it->Undo, it->Daemons});
  });
}

void addDrainCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *drain = builder.App.add_subcommand("drain", "take work away");
  drain->require_subcommand(1);
  CLI::App *vm = drain->add_subcommand("vm", "drain and stop a daemon");
  vm->add_option("NAME", it->Name)->required();
  vm->add_option("--admin", it->Admin, "its admin endpoint host:port")
      ->required();
  onRun(builder, vm, [it](const ToolContext &context) {
    return drainVm(context, it->Name, it->Admin);
  });
  addConfigDrain(builder, drain, DrainKind::Target, "target",
                 "mark a target as draining in the configuration");
  addConfigDrain(builder, drain, DrainKind::Region, "region",
                 "mark a region as draining in the configuration");
}

void addRolloutCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *rollout = builder.App.add_subcommand("rollout", "new versions");
  rollout->require_subcommand(1);
  CLI::App *start = rollout->add_subcommand("start", "configure a rollout");
  addFile(builder, start);
  addDaemons(builder, start);
  onRun(builder, start,
        onFile(it, [it](const ToolContext &context, const std::string &text) {
          return startRollout(context, it->File, text, it->Daemons);
        }));
  onRun(builder, rollout->add_subcommand("status", "where rollouts stand"),
        showRollouts);
  CLI::App *back =
      rollout->add_subcommand("take-back", "return to the old version");
  back->add_option("NAME", it->Name)->required();
  addDaemons(builder, back);
  onRun(builder, back, [it](const ToolContext &context) {
    return takeBackRollout(context, it->Name, it->Daemons);
  });
}

void addOwnershipCommands(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *ownership = builder.App.add_subcommand("ownership", "owner maps");
  ownership->require_subcommand(1);
  onRun(builder, ownership->add_subcommand("show", "owner maps of all zones"),
        showOwnership);
  CLI::App *reclaim = ownership->add_subcommand(
      "reclaim", "take what a VM owns that is certainly stopped");
  reclaim->add_option("VM", it->Name)->required();
  reclaim->add_option("--zone", it->Zone)->required();
  reclaim->add_flag("--yes", it->Yes, "the VM is certainly stopped");
  onRun(builder, reclaim, [it](const ToolContext &context) {
    return reclaimOwnership(context, it->Name, it->Zone, it->Yes);
  });
}

void addStatusCommand(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *status =
      builder.App.add_subcommand("status", "what daemons say of themselves");
  status->add_option("--daemon", it->Daemons, "admin endpoints host:port")
      ->required();
  onRun(builder, status, [it](const ToolContext &context) {
    return showStatus(context, it->Daemons);
  });
}

void addExplainCommand(const Builder &builder) {
  const Options &it = builder.Values;
  CLI::App *explain = builder.App.add_subcommand(
      "explain", "tell why a request ended as it did, from the logs of all VMs "
                 "on standard input");
  explain->add_option("ID", it->Name, "the id of the caller's attempt")
      ->required();
  onRun(builder, explain, [it](const ToolContext &) {
    return explainRequest(std::cin, it->Name);
  });
}

} // namespace

std::optional<ExitCode> parseCommandLine(int argc, const char *const *argv,
                                         CommandLine &out) {
  CLI::App app("Operators' tool of savorylb", "savoryctl");
  app.footer(ExitCodes);
  app.fallthrough();
  app.require_subcommand(1);
  const char *user = std::getenv("USER");
  out.Operator = user ? user : "unknown";
  std::int64_t timeoutMs =
      std::chrono::duration_cast<Millis>(out.Timeout).count();
  app.add_option("--store", out.StoreUrl, "base URL of the store")
      ->envname("SAVORY_STORE")
      ->capture_default_str();
  app.add_option("--timeout-ms", timeoutMs, "limit of one call")
      ->check(CLI::Range(1, 600'000))
      ->capture_default_str();
  app.add_option("--operator", out.Operator, "name for the history");
  app.add_flag("--json", out.Json, "print JSON");
  Builder builder{app, out, std::make_shared<CommandOptions>()};
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
