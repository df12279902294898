/** Entry point. Loads only the modules that the command needs, since a gateway starts often while callers wait for
 * it. */
import process from "node:process";

/** Command for which only the gateway is loaded. */
const GATEWAY_COMMAND = "gateway";

async function main(): Promise<void> {
  const isHelp = process.argv.includes("--help");
  if (process.argv[2] === GATEWAY_COMMAND && !isHelp) {
    const { runGateway } = await import("../platform/run_gateway.ts");
    await runGateway(process.argv.slice(3));
    return;
  }
  const { runProgram } = await import("./cli/program.ts");
  await runProgram(process.argv);
}

void main();
