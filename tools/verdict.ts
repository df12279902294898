import type { LedgerRun } from "../fakes/ledger.ts";
import type { BookingRecord, LoadResult } from "./load.ts";

/** Promises that were not kept, from the stand-ins' ledgers and what callers received; one line each. */
export function findBrokenPromises(
  result: Pick<LoadResult, "wrongChats" | "bookings">,
  serviceRuns: readonly LedgerRun[],
): string[] {
  const broken: string[] = [];
  if (result.wrongChats > 0) {
    broken.push(
      `${result.wrongChats} chats were given a whole answer that was not theirs`,
    );
  }
  const runsByBody = new Map<string, number>();
  for (const run of serviceRuns) {
    runsByBody.set(run.body, (runsByBody.get(run.body) ?? 0) + 1);
  }
  for (const booking of result.bookings) {
    const reason = judgeBooking(booking, runsByBody.get(booking.id) ?? 0);
    if (reason) broken.push(`${booking.id}: ${reason}`);
  }
  return broken;
}

function judgeBooking(
  booking: BookingRecord,
  runs: number,
): string | undefined {
  const history = booking.answers.map((answer) =>
    `${answer.kind || "done"}/${answer.ran}@${answer.router}`
  ).join(" ");
  const isDone = booking.answers.some((answer) => answer.whole);
  const areAllNotRun = booking.answers.every((answer) => answer.ran === "no");
  if (runs > 1) return `ran ${runs} times: ${history}`;
  if (isDone && runs === 0) return `answered as done but never ran: ${history}`;
  if (areAllNotRun && booking.answers.length > 0 && runs > 0) {
    return `answered as not run but ran: ${history}`;
  }
  if (
    isDone &&
    !booking.answers.some((answer) => answer.text.includes(booking.id))
  ) return `wrong answer: ${history}`;
  return undefined;
}
