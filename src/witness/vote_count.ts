import type { FrameOf } from "../peer/frame_schema.ts";
import type { KeyRecord } from "./key_record.ts";

/** Result of a vote on an attempt: it may run, another attempt holds the key, or too few witnesses confirmed it. */
export type VoteResult =
  | { type: "claimed" }
  | { type: "held"; record: KeyRecord }
  | { type: "unconfirmed" };

/** Decides from the votes whether an attempt may run.
 * A settled witness is one that would know of any earlier attempt with the key. An attempt may run if a majority of
 * the witnesses recorded it and are settled, or if all witnesses recorded it. In the second case, a key with a
 * timestamp needs one settled witness too, which it has in a fleet that has just started.
 * Two attempts with one key cannot both satisfy this, because each witness records only one of them.
 * @param attempt Id of the attempt.
 * @param witnessCount Number of witnesses that were asked.
 * @param votes The votes received.
 * @param hasTimestamp Whether the key contains its time of creation. */
export function countVotes(
  attempt: string,
  witnessCount: number,
  votes: readonly FrameOf<"voted">[],
  hasTimestamp: boolean,
): VoteResult {
  const majority = Math.floor(witnessCount / 2) + 1;
  const ownVotes = votes.filter((vote) => vote.attempt === attempt);
  const settledCount = ownVotes.filter((vote) => vote.settled).length;
  const isUnanimous = ownVotes.length === witnessCount &&
    (settledCount > 0 || !hasTimestamp);
  if (witnessCount > 0 && (settledCount >= majority || isUnanimous)) {
    return { type: "claimed" };
  }
  const otherVote = votes.find((vote) => vote.attempt !== attempt);
  return otherVote
    ? { type: "held", record: otherVote }
    : { type: "unconfirmed" };
}
