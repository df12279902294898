import { readFileSync } from "node:fs";
import process from "node:process";
import { command, option, optional, positional, string } from "cmd-ts";
import { validateDocument } from "../configuration/validate_document.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** `beechkeel check`: validates a settings file or a configuration document. */
export const checkCommand = command({
  name: "check",
  description:
    "Validate a settings file, or with --key a configuration document; prints every error with its path.",
  args: {
    file: positional({
      type: string,
      displayName: "file",
      description: "Path of the JSON file",
    }),
    key: option({
      long: "key",
      type: optional(string),
      description:
        "Key under which the document is to be published, such as PARTNER/customers/NAME",
    }),
  },
  handler: ({ file, key }) => {
    const errors = key === undefined
      ? checkSettings(file)
      : checkDocument(file, key);
    for (const line of errors) console.error(line);
    if (errors.length === 0) console.log(`${file}: ok`);
    process.exitCode = errors.length === 0 ? EXIT_CODE.ok : EXIT_CODE.refused;
  },
});

function checkSettings(file: string): string[] {
  const settings = loadSettings(file);
  return settings.isErr() ? settings.error : [];
}

function checkDocument(file: string, key: string): string[] {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    return [`document: ${(error as Error).message}`];
  }
  const decision = validateDocument({ key, revision: 1, value });
  return decision.isErr() ? decision.error : [];
}
