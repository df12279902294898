import type { IncomingMessage, ServerResponse } from "node:http";

/** Id of the request in these tests. */
export const REQUEST_ID = "r-1";

/** How an upstream in a test handles a request. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Responds successfully. */
export const respondsOk: Behaviour = (_request, response) => {
  response.writeHead(200, validHeaders());
  response.end("done");
};

/** Never responds. */
export const neverResponds: Behaviour = () => undefined;

/** Declines: states that it did not run the request. */
export const declines: Behaviour = (_request, response) => {
  response.writeHead(503, { "X-Beechkeel-Not-Executed": "1" }).end();
};

/** Responds with an error after running the request. */
export const failsAfterRun: Behaviour = (_request, response) => {
  response.writeHead(500, validHeaders()).end("no");
};

/** Resets the connection. */
export const resetsConnection: Behaviour = (request) =>
  request.socket.resetAndDestroy();

/** Streams some events, then ends the response or resets the connection. */
export function streams(
  ids: readonly number[],
  rest = "",
  isReset = false,
): Behaviour {
  return (_request, response) => {
    response.writeHead(200, {
      ...validHeaders(),
      "Content-Type": "text/event-stream",
    });
    response.write(ids.map((id) => `id: ${id}\ndata: x\n\n`).join("") + rest);
    if (isReset) setTimeout(() => response.socket?.resetAndDestroy(), 20);
    else response.end();
  };
}

/** Headers of a valid response: the request id and the response seal. */
export function validHeaders(): Record<string, string> {
  return {
    "X-Beechkeel-Attempt-Id": REQUEST_ID,
    "X-Beechkeel-Response-Seal": "proof",
  };
}
