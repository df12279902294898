import { binary, run, subcommands } from "cmd-ts";
import {
  checkGatewayCommand,
  gatewayCommand,
} from "../../platform/gateway_commands.ts";
import { checkConfigurationCommand } from "../../platform/check_configuration_command.ts";
import { VERSION } from "../router/version.ts";
import { checkCommand } from "./check_command.ts";
import {
  auditCommand,
  explainCommand,
  locateCommand,
  statusCommand,
} from "./query_commands.ts";
import { serveCommand } from "./serve_command.ts";

const program = subcommands({
  name: "beechkeel",
  version: VERSION,
  description:
    "A router fleet for multi-turn chats. Exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 warnings.",
  cmds: {
    serve: serveCommand,
    check: checkCommand,
    gateway: gatewayCommand,
    "check-gateway": checkGatewayCommand,
    "check-configuration": checkConfigurationCommand,
    status: statusCommand,
    explain: explainCommand,
    audit: auditCommand,
    locate: locateCommand,
  },
});

/** Runs the command given by the arguments.
 * @param argv The arguments of the process, starting with the interpreter and the program. */
export async function runProgram(argv: string[]): Promise<void> {
  await run(binary(program), argv);
}
