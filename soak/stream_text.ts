import { hashText } from "../src/hashing/hasher.ts";

/** Least events of a stream. */
const LEAST_EVENTS = 2;
/** Different numbers of events that streams have. */
const EVENT_SPREAD = 24;

/** Number of events in the stream for a path.
 * @param path Path of the request. */
export function countEvents(path: string): number {
  return LEAST_EVENTS + hashText(path) % EVENT_SPREAD;
}

/** Data of one event.
 * @param requestId Id of the request.
 * @param event Number of the event, from 1.
 * @param path Path of the request. */
export function getEventData(
  requestId: string,
  event: number,
  path: string,
): string {
  return `${requestId} ${event}/${countEvents(path)}`;
}

/** One event as it is written.
 * @param requestId Id of the request.
 * @param event Number of the event, from 1.
 * @param path Path of the request. */
export function writeEvent(
  requestId: string,
  event: number,
  path: string,
): string {
  return `id: ${event}\ndata: ${getEventData(requestId, event, path)}\n\n`;
}

/** Whole answer of a request that is no stream.
 * @param requestId Id of the request.
 * @param worker Worker that ran it. */
export function writeWholeAnswer(requestId: string, worker: string): string {
  return JSON.stringify({ requestId, worker, padding: "x".repeat(400) });
}
