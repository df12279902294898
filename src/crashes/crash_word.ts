import { z } from "zod";

/** That a request was under way on a start of an upstream when that crashed: short name of the start, and the points that
 * this counts. */
export type CrashPoints = [upstream: number, points: number];

/** What hosts tell each other of one request that was under way on upstreams when they crashed, as a list: its fingerprint,
 * the milliseconds since the last crash, the crashes, and the starts whose crash no longer counts, for the request was
 * served to its end after it. */
export const crashWordSchema = z.tuple([
  z.number().int(),
  z.number().min(0),
  z.array(z.tuple([z.number().int(), z.number().positive()])),
  z.array(z.number().int()),
]).transform(([fingerprint, agoMs, crashes, excused]) => ({
  fingerprint,
  agoMs,
  crashes,
  excused,
}));

/** What hosts tell each other of one request and the crashes it was part of. */
export type CrashWord = z.infer<typeof crashWordSchema>;

/** Writes a word as the list that `crashWordSchema` reads.
 * @param word The word. */
export function packCrashWord(
  word: CrashWord,
): z.input<typeof crashWordSchema> {
  const { fingerprint, agoMs, crashes, excused } = word;
  return [fingerprint, Math.round(agoMs), crashes, excused];
}
