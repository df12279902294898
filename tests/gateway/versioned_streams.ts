import type { IncomingMessage, ServerResponse } from "node:http";
import { request } from "undici";
import { resetSocket } from "../../fakes/reset_socket.ts";
import type { WorkerBehaviour } from "../../fakes/fake_worker.ts";
import type { CallResult } from "./call.ts";
import type { TestGateway } from "./with_gateways.ts";

/** Number of events of a whole stream. */
export const EVENTS = 6;
/** Number of events that an interrupted attempt sends. */
const EVENTS_BEFORE_INTERRUPTION = 2;
/** Time for which an interrupted attempt waits after its last event, so that the event is received, in milliseconds. */
const FLUSH_MS = 20;

/** What becomes of a stream after its first events. */
export type Interruption =
  /** The worker resets the connection. */
  | "reset"
  /** The worker sends no more events and keeps the connection open. */
  | "held"
  /** The stream continues to its end. */
  | "none";

/** Builds a behaviour that streams events, each with the worker's version.
 * @param getInterruption Returns what becomes of a request's stream. */
export function streamEvents(
  getInterruption: (requestId: string) => Interruption,
): WorkerBehaviour {
  return (incoming, response, worker) => {
    const requestId = String(incoming.headers["x-beechkeel-attempt-id"]);
    const interruption = getInterruption(requestId);
    const first = Number(incoming.headers["last-event-id"] ?? 0) + 1;
    const last = interruption === "none" ? EVENTS : EVENTS_BEFORE_INTERRUPTION;
    response.writeHead(200, {
      ...worker.buildSealHeaders(incoming),
      "Content-Type": "text/event-stream",
    });
    for (let event = first; event <= last; event++) {
      response.write(`id: ${event}\ndata: ${worker.version}\n\n`);
    }
    END_ATTEMPT[interruption](incoming, response);
  };
}

const END_ATTEMPT: Readonly<
  Record<
    Interruption,
    (incoming: IncomingMessage, response: ServerResponse) => void
  >
> = {
  reset: ({ socket }) => void setTimeout(() => resetSocket(socket), FLUSH_MS),
  held: () => undefined,
  none: (_incoming, response) => void response.end(),
};

/** Events of a stream that a caller has received. */
export interface ReceivedStream {
  requestId: string;
  /** Id of the last event. */
  lastEventId: string;
  /** Version in the first event. */
  version: string;
}

/** Reads the first events of a stream whose connection stays open. The connection is closed with the gateway.
 * @param gateway The gateway.
 * @param headers Headers of the request. */
export async function readInterruptedStream(
  gateway: TestGateway,
  headers: Record<string, string>,
): Promise<ReceivedStream> {
  const response = await request(
    `http://${gateway.settings.callerAddress}/a/b`,
    { method: "POST", headers: { host: "a.example", ...headers } },
  );
  let text = "";
  response.body.on("error", () => undefined);
  await new Promise<void>((resolve) => {
    response.body.on("data", (bytes) => {
      text += String(bytes);
      const { length } = text.split("\n\n");
      if (length > EVENTS_BEFORE_INTERRUPTION) resolve();
    });
  });
  return {
    requestId: headers["x-beechkeel-attempt-id"]!,
    lastEventId: String(EVENTS_BEFORE_INTERRUPTION),
    version: getVersions(text)[0]!,
  };
}

/** Returns the distinct versions in the events of a response.
 * @param text Text of the response. */
export function getVersions(text: string): string[] {
  return [
    ...new Set([...text.matchAll(/^data: (.*)$/gm)].map(([, data]) => data!)),
  ];
}

/** Whether a response contains the rest of a stream up to its last event.
 * @param response The response. */
export function isWholeStream({ status, body }: CallResult): boolean {
  return status === 200 && body.includes(`id: ${EVENTS}\n`);
}
