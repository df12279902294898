import type { PublishedConfiguration } from "../published/configuration_schema.ts";
import { checkKeys } from "./check_keys.ts";
import { checkLimits } from "./check_limits.ts";
import { checkMatches } from "./check_matches.ts";
import { checkNames } from "./check_names.ts";
import { checkSchema } from "./check_schema.ts";
import { checkShares } from "./check_shares.ts";
import {
  type CheckContext,
  type ConfigurationCheck,
  type Finding,
  SEVERITIES,
} from "./finding.ts";

const CHECKS: readonly ConfigurationCheck[] = [
  checkSchema,
  checkNames,
  checkMatches,
  checkShares,
  checkLimits,
  checkKeys,
];

/** Runs all checks on a configuration; returns what they found, the worst first.
 * @param configuration The configuration.
 * @param context What the checks know beside it. */
export function checkConfiguration(
  configuration: PublishedConfiguration,
  context: CheckContext,
): Finding[] {
  return sortFindings(
    CHECKS.flatMap((check) => check(configuration, context)),
  );
}

/** Sorts findings by their severity, the worst first.
 * @param findings The findings. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
  return findings.toSorted((one, other) =>
    SEVERITIES.indexOf(one.severity) - SEVERITIES.indexOf(other.severity)
  );
}
