import { estimatePrefillMs, type HashedPromptPart } from "./prefix_index.ts";

/** Prefill time of shared prompt parts, in milliseconds, from which hosts tell each other which engines have them cached.
 * An engine reads shorter prompts again sooner than the directory hosts of a large fleet are asked and told. */
const MIN_SHARED_PREFILL_MS = 50;

/** Whether it is worthwhile for hosts to tell each other where the parts of a prompt are cached.
 * @param parts The parts that other requests may share. */
export function isSharingWorthwhile(
  parts: readonly HashedPromptPart[],
): boolean {
  return estimatePrefillMs(parts) >= MIN_SHARED_PREFILL_MS;
}
