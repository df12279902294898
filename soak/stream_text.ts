import { hashText } from "../src/hashing/hasher.ts";

/** Smallest number of events in a stream. */
const MIN_EVENTS = 2;
/** Number of different event counts that streams have. */
const EVENT_COUNT_RANGE = 24;

/** Number of events in the stream of a path.
 * @param path Path of the request. */
export function countEvents(path: string): number {
  return MIN_EVENTS + hashText(path) % EVENT_COUNT_RANGE;
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

/** Formats one event as it is sent.
 * @param requestId Id of the request.
 * @param event Number of the event, from 1.
 * @param path Path of the request.
 * @param version Software version of the worker. */
export function formatEvent(
  requestId: string,
  event: number,
  path: string,
  version: string,
): string {
  const data = getEventData(requestId, event, path);
  return `id: ${event}\nevent: ${version}\ndata: ${data}\n\n`;
}

/** Returns the software versions in the events of a response, in order.
 * @param text Text of the response. */
export function getEventVersions(text: string): string[] {
  return [...text.matchAll(/^event: (.+)$/gm)].map(([, version]) => version!);
}

/** Formats the complete response to a request that is not streamed.
 * @param requestId Id of the request.
 * @param worker Id of the worker that ran it. */
export function formatResponse(requestId: string, worker: string): string {
  return JSON.stringify({ requestId, worker, padding: "x".repeat(400) });
}
