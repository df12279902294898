import { configurationSchema } from "../published/configuration_schema.ts";
import type { ConfigurationCheck } from "./finding.ts";

/** Finds values that hosts refuse when they pass the configuration on to each other. */
export const checkSchema: ConfigurationCheck = (configuration) => {
  const { error } = configurationSchema.safeParse(configuration);
  return (error?.issues ?? []).map(({ path, message }) => ({
    severity: "error",
    kind: "document",
    name: "",
    field: path.map(String).join("."),
    message,
  }));
};
