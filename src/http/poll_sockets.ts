import { setImmediate as nextTurn } from "node:timers/promises";

/** Waits until the event loop has polled all sockets once more. The end of a connection is read after its last data, so
 * this host may have read a request while the end of its connection is still pending; on a busy host a poll takes long. */
export async function pollSockets(): Promise<void> {
  // The first turn ends the current poll; the next one follows another poll.
  await nextTurn();
  await nextTurn();
}
