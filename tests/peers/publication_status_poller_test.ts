import test from "ava";
import {
  PublicationStatusPoller,
  type PublicationStatusPollerOptions,
} from "../../src/peers/publication_status_poller.ts";
import type { PublicationStatus } from "../../src/peers/publication_status.ts";
import { type TestSocket, withSockets } from "./with_sockets.ts";

const STATUS: PublicationStatus = {
  digest: 5,
  revision: 6,
  publicationAgeMs: 321,
  isPlatformUnavailable: false,
};

/** Starts a poller; by default it has no sources, so that it only responds. */
function startPoller(
  { socket }: TestSocket,
  options: Partial<PublicationStatusPollerOptions>,
): PublicationStatusPoller {
  return PublicationStatusPoller.create({
    socket,
    getSources: () => [],
    getStatus: () => STATUS,
    onStatus: () => undefined,
    ...options,
  });
}

test("a poller receives the status of another host with the time of its own request", async (t) => {
  await withSockets(2, async ([source, requester]) => {
    const startedAt = performance.now();
    const responder = startPoller(source!, {});
    await new Promise<void>((resolve) => {
      const poller = startPoller(requester!, {
        getSources: () => [source!.address],
        onStatus: (sender, status, requestedAt) => {
          t.is(sender, source!.address);
          t.deepEqual(status, STATUS);
          t.true(requestedAt >= startedAt && requestedAt <= performance.now());
          poller.close();
          resolve();
        },
      });
    });
    responder.close();
  });
});

test("a response to a request time in the future of the local clock is ignored", async (t) => {
  await withSockets(2, async ([sender, requester]) => {
    const accepted: number[] = [];
    const poller = startPoller(requester!, {
      onStatus: (_sender, _status, requestedAt) => accepted.push(requestedAt),
    });
    const future = performance.now() + 1e9;
    for (const requestedAt of [future, 1]) {
      const response = {
        type: "publication_status_response",
        requestedAt,
        status: STATUS,
      } as const;
      sender!.socket.send(requester!.address, response);
    }
    while (accepted.length === 0) await new Promise(setImmediate);
    t.deepEqual(accepted, [1]);
    poller.close();
  });
});
