import { z } from "zod";

/** What hosts tell each other of one request that was under way on upstreams when they crashed. */
export const crashWordSchema = z.object({
  /** Fingerprint of the request. */
  fingerprint: z.number().int(),
  /** Milliseconds since the last crash. */
  agoMs: z.number().min(0),
  /** Each a `CrashPoints`. */
  crashes: z.array(z.tuple([z.number().int(), z.number().positive()])),
  /** Short names of the starts whose crash no longer counts, for the request was served to its end after it. */
  excused: z.array(z.number().int()),
});

/** What hosts tell each other of one request and the crashes it was part of. */
export type CrashWord = z.infer<typeof crashWordSchema>;

/** That a request was under way on a start of an upstream when that crashed: short name of the start, and the points that
 * this counts. */
export type CrashPoints = CrashWord["crashes"][number];

const { fingerprint, agoMs, crashes, excused } = crashWordSchema.shape;

/** The same as a list, for field names would be half of a datagram. */
export const crashWordListSchema = z.tuple([
  fingerprint,
  agoMs,
  crashes,
  excused,
]).transform((list): CrashWord => ({
  fingerprint: list[0],
  agoMs: list[1],
  crashes: list[2],
  excused: list[3],
}));

/** Writes a word as the list that `crashWordListSchema` reads.
 * @param word The word. */
export function packCrashWord(
  word: CrashWord,
): z.input<typeof crashWordListSchema> {
  return [word.fingerprint, Math.round(word.agoMs), word.crashes, word.excused];
}
