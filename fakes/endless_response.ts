import type { Socket } from "node:net";

/** Size of the pieces in which the bytes are written, in bytes. */
const PIECE_BYTES = 64 * 1024;
const OK = "HTTP/1.1 200 OK\r\n";
const EVENTS = "Content-Type: text/event-stream\r\n\r\n";
const CHUNKS = "Transfer-Encoding: chunked\r\n\r\n";

/** A response of which one part never ends. */
interface EndlessResponse {
  /** What precedes the headers that seal the response. */
  start: string;
  /** Whether those headers follow. */
  isSealed: boolean;
  /** What follows them, once. */
  beginning: string;
  /** What is repeated for ever. */
  repeated: string;
}

/** Responses by the part that never ends. */
export const ENDLESS_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  "a body without a length": build("\r\n", "x"),
  "a body of a huge length": build("Content-Length: 99999999999\r\n\r\n", "x"),
  "a body in chunks of one byte": build(CHUNKS, "1\r\nx\r\n"),
  "the body of an error": buildUnsealed("HTTP/1.1 500 No\r\n\r\n", "x"),
  "one event": build(EVENTS, "x"),
  "one event of many lines": build(EVENTS, "data: x\n"),
  "a series of tiny events": build(EVENTS, ":a\n\n"),
  "a series of empty lines": build(EVENTS, "\n"),
  "a head of many lines": build("", "A: b\r\n"),
  "a head of one line": build("A: ", "x"),
  "a status line": buildUnsealed("HTTP/1.1 200 ", "x"),
  "a series of interim responses": buildUnsealed(
    "",
    "HTTP/1.1 103 Early Hints\r\n\r\n",
  ),
  "one chunk extension": build(`${CHUNKS}1;`, "x"),
  "a trailer": build(`${CHUNKS}0\r\n`, "A: b\r\n"),
};

/** Names of those that a stream of a sound upstream could begin with. */
export const ENDLESS_STREAMS: ReadonlySet<string> = new Set([
  "a series of tiny events",
  "a series of empty lines",
]);

/** Writes a response until its connection is closed.
 * @param socket The connection.
 * @param kind Name of the part that never ends.
 * @param sealHeaders Headers that seal the response. */
export function writeEndlessResponse(
  socket: Socket,
  kind: string,
  sealHeaders: Readonly<Record<string, string>>,
): void {
  const { start, isSealed, beginning, repeated } = ENDLESS_RESPONSES[kind]!;
  const seal = Object.entries(sealHeaders).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  const piece = repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length));
  socket.on("error", () => undefined);
  socket.write(start + (isSealed ? seal.join("") : "") + beginning);
  const write = () => {
    while (!socket.destroyed && socket.write(piece)) continue;
  };
  socket.on("drain", write);
  write();
}

function build(beginning: string, repeated: string): EndlessResponse {
  return { start: OK, isSealed: true, beginning, repeated };
}

function buildUnsealed(start: string, repeated: string): EndlessResponse {
  return { start, isSealed: false, beginning: "", repeated };
}
