import process from "node:process";
import { binary, run, subcommands } from "cmd-ts";
import {
  checkGatewayCommand,
  gatewayCommand,
} from "../platform/gateway_command.ts";
import { checkCommand } from "./cli/check_command.ts";
import {
  auditCommand,
  explainCommand,
  locateCommand,
  statusCommand,
} from "./cli/query_commands.ts";
import { serveCommand } from "./cli/serve_command.ts";
import { VERSION } from "./router/version.ts";

const program = subcommands({
  name: "beechkeel",
  version: VERSION,
  description:
    "A router fleet for returning chats. Exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable.",
  cmds: {
    serve: serveCommand,
    check: checkCommand,
    gateway: gatewayCommand,
    "check-gateway": checkGatewayCommand,
    status: statusCommand,
    explain: explainCommand,
    audit: auditCommand,
    locate: locateCommand,
  },
});

void run(binary(program), process.argv);
