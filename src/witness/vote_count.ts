import type { FrameOf } from "../peer/frame_schema.ts";
import type { KeyRecord } from "./key_record.ts";

/** What the votes on an attempt say. */
export type VoteVerdict =
  | { type: "claimed" }
  | { type: "held"; record: KeyRecord }
  | { type: "unconfirmed" };

/** Decides from the votes whether an attempt may run.
 * It may where a majority of witnesses that would know of any earlier attempt recorded it, or all witnesses did;
 * with a key that tells its time, one of all must know, which a fleet that just started does.
 * Two attempts with one key can never both have that, for each witness records one of them.
 * @param attempt The attempt.
 * @param witnessCount Number of witnesses asked.
 * @param votes The votes that came.
 * @param tellsTime Whether the key tells when it was made. */
export function countVotes(
  attempt: string,
  witnessCount: number,
  votes: readonly FrameOf<"voted">[],
  tellsTime: boolean,
): VoteVerdict {
  const majority = Math.floor(witnessCount / 2) + 1;
  const mine = votes.filter((vote) => vote.attempt === attempt);
  const settled = mine.filter((vote) => vote.settled).length;
  const isUnanimous = mine.length === witnessCount &&
    (settled > 0 || !tellsTime);
  if (witnessCount > 0 && (settled >= majority || isUnanimous)) {
    return { type: "claimed" };
  }
  const other = votes.find((vote) => vote.attempt !== attempt);
  return other ? { type: "held", record: other } : { type: "unconfirmed" };
}
