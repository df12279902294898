import type { LedgerRun } from "../fakes/ledger.ts";
import type { BookingRecord, LoadResult } from "./load.ts";

/** Compares the responses that callers received with the ledgers of the fake upstreams; returns a line for each
 * violation of an invariant. */
export function findInvariantViolations(
  result: Pick<LoadResult, "mismatchedChats" | "bookings">,
  serviceRuns: readonly LedgerRun[],
): string[] {
  const violations: string[] = [];
  if (result.mismatchedChats > 0) {
    violations.push(
      `${result.mismatchedChats} chat requests got a complete response with an unexpected text`,
    );
  }
  const runsByBody = new Map<string, number>();
  for (const run of serviceRuns) {
    runsByBody.set(run.body, (runsByBody.get(run.body) ?? 0) + 1);
  }
  for (const booking of result.bookings) {
    const reason = checkBooking(booking, runsByBody.get(booking.id) ?? 0);
    if (reason) violations.push(`${booking.id}: ${reason}`);
  }
  return violations;
}

function checkBooking(
  booking: BookingRecord,
  runs: number,
): string | undefined {
  const history = booking.responses.map((response) =>
    `${response.kind || "done"}/${response.ran}@${response.router}`
  ).join(" ");
  const isDone = booking.responses.some((response) => response.isComplete);
  const areAllReportedNotRun = booking.responses.every((response) =>
    response.ran === "no"
  );
  if (runs > 1) return `ran ${runs} times: ${history}`;
  if (isDone && runs === 0) return `reported as done but never ran: ${history}`;
  if (areAllReportedNotRun && booking.responses.length > 0 && runs > 0) {
    return `reported as not run but ran: ${history}`;
  }
  if (
    isDone &&
    !booking.responses.some((response) => response.text.includes(booking.id))
  ) return `wrong response: ${history}`;
  return undefined;
}
