// Stand-in for requesters: one try on a new channel, with all that it sees and when.
import { request } from "node:http";

let lastId = Math.floor(Math.random() * 2 ** 40);
export const newId = () => (++lastId).toString(16).padStart(16, "0");

/** Sends one try. `silenceMs`: silence after which a stream is abandoned. Resolves with what was seen:
 * `end` is `complete`, `broken`, `abandoned` (silence), `deadline` or `error`. */
export function send(front, { method = "POST", path, host = "ficu95.example", key, body = "", deadlineMs, silenceMs = Infinity, headers = {}, id = newId() }) {
  return new Promise((resolve) => {
    const seen = { id, path, sentAt: Date.now(), events: [], text: "", status: undefined, end: undefined };
    let silence;
    let isDone = false;
    const finish = (end) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(silence);
      clearTimeout(limit);
      seen.end = end;
      seen.endedAt = Date.now();
      asked.destroy();
      resolve(seen);
    };
    const watchSilence = () => {
      clearTimeout(silence);
      if (Number.isFinite(silenceMs)) silence = setTimeout(() => finish("abandoned"), silenceMs);
    };
    const asked = request({
      ...front, method, path, agent: false,
      headers: {
        Host: host, "X-Beechkeel-Attempt-Id": id, "X-Beechkeel-Deadline-Ms": String(deadlineMs),
        ...(key ? { "X-Api-Key": key } : {}), "Content-Length": String(Buffer.byteLength(body)), ...headers,
      },
    });
    const limit = setTimeout(() => finish("deadline"), deadlineMs);
    watchSilence();
    asked.on("error", () => finish("error"));
    asked.on("response", (response) => {
      seen.status = response.statusCode;
      seen.headers = response.headers;
      seen.seal = response.headers["x-beechkeel-response-seal"];
      watchSilence();
      response.setEncoding("latin1");
      response.on("data", (text) => {
        seen.text += text;
        seen.lastAt = Date.now();
        watchSilence();
      });
      response.on("error", () => finish("broken"));
      response.on("end", () => finish("complete"));
      response.on("close", () => finish("broken"));
    });
    asked.end(body);
  });
}
