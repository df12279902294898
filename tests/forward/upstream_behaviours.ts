import type { IncomingMessage, ServerResponse } from "node:http";

/** Id of the request that is sent in these tests. */
export const REQUEST_ID = "r-1";

/** What an upstream of a test does with a request. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Answers well. */
export const answered: Behaviour = (_request, response) => {
  response.writeHead(200, proven());
  response.end("done");
};

/** Never answers. */
export const silent: Behaviour = () => undefined;

/** Says that it did not run the request. */
export const declined: Behaviour = (_request, response) => {
  response.writeHead(503, { "X-Beechkeel-Not-Executed": "1" }).end();
};

/** Fails after it ran the request. */
export const failed: Behaviour = (_request, response) => {
  response.writeHead(500, proven()).end("no");
};

/** Resets the connection. */
export const cut: Behaviour = (request) => request.socket.resetAndDestroy();

/** Streams some events, then ends or breaks off. */
export function streams(
  ids: readonly number[],
  rest = "",
  breaks = false,
): Behaviour {
  return (_request, response) => {
    response.writeHead(200, {
      ...proven(),
      "Content-Type": "text/event-stream",
    });
    response.write(ids.map((id) => `id: ${id}\ndata: x\n\n`).join("") + rest);
    if (breaks) setTimeout(() => response.socket?.resetAndDestroy(), 20);
    else response.end();
  };
}

/** Headers of an answer that proves whose it is. */
export function proven(): Record<string, string> {
  return {
    "X-Beechkeel-Attempt-Id": REQUEST_ID,
    "X-Beechkeel-Response-Seal": "proof",
  };
}
