import process from "node:process";
import { command, positional, string } from "cmd-ts";
import { Router } from "../router/router.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { handleStopSignals } from "./handle_stop_signals.ts";

/** `beechkeel serve`: runs a router until SIGTERM or SIGINT. */
export const serveCommand = command({
  name: "serve",
  description:
    "Run a router; SIGTERM shuts it down gracefully, SIGINT immediately.",
  args: {
    settings: positional({
      type: string,
      displayName: "settings",
      description: "Path of the settings file",
    }),
  },
  handler: async ({ settings: path }) => {
    const settings = loadSettings(path);
    if (settings.isErr()) {
      for (const line of settings.error) console.error(line);
      process.exitCode = EXIT_CODE.refused;
      return;
    }
    const starting = Router.start(settings.value);
    handleStopSignals(starting);
    await starting;
  },
});
