import { z } from "zod";
import type { CrashReport } from "./crash_report.ts";

/** Schema of the number of prompts with a part that one process has seen complete: hash of the part, id of the process
 * and the number. */
export const completionCountSchema = z.tuple([
  z.number().int(),
  z.number().int(),
  z.number().int().positive(),
]);

/** Number of prompts with a part that one process has seen complete. */
export type CompletionCount = z.infer<typeof completionCountSchema>;

/** Schema of the parts of the causes that a host holds, one list each. */
export const heldPartsSchema = z.array(z.array(z.number().int()));

/** What one host tells another about crashes. */
export interface CrashNews {
  /** Requests that were in flight on crashed upstreams. */
  readonly reports: readonly CrashReport[];
  /** How often prompts with the parts of such requests have completed. */
  readonly completions: readonly CompletionCount[];
  /** Parts of the causes that the host holds, one list each. */
  readonly heldParts: readonly (readonly number[])[];
}
