// A machine freezes while heads of requests are on their way. After it wakes: does a request run that was answered 408?
import { createWriteStream } from "node:fs";
import { connect } from "node:net";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Gateways } from "../lib/gateways.mjs";
import { Link } from "../lib/link.mjs";
import { newId, send } from "../lib/requester.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ROUNDS = 4; // one machine each, one at a time
const FREEZE_MS = 3_400; // node_freeze: 4 s at most
const REQUESTS = 6; // of each round
const HEAD_MS = 1_600; // time that a requester takes to send its head; header_timeout_ms is 3,000
const LIMIT_MS = 10_000; // time limit of shift-swap's requesters
const SILENCE_MS = 3_200; // longest of 2 s, 4 x the objective of 500 ms, 8 x the gap of 400 ms
const LINK_MS = 1; // one way, between a requester and a machine
const CLOSE_MS = 60; // from the end of an answer until its requester closes that channel; it retries first, on a new one
const EVENTS = 42;
const TRAFFIC_PER_SECOND = 42; // of all machines together
const WARM_MS = 5_000;

const folder = dirname(fileURLToPath(import.meta.url));
const record = createWriteStream(join(folder, "record.txt"));
const startedAt = Date.now();
const log = (text) => record.write(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}\n`);

/** Ids of the requests that workers started to work on, with the number of runs. */
const runs = new Map();

function run(request, response, _body, worker) {
  const id = request.headers["x-beechkeel-attempt-id"];
  runs.set(id, (runs.get(id) ?? 0) + 1);
  if (isWatched(request)) log(`worker ${worker.id} runs ${id}`);
  response.writeHead(200, worker.sealed(request, { "Content-Type": "text/event-stream" }));
  let next = 0;
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: ${id} ${next}\n\n`);
    if (++next < EVENTS) return;
    clearInterval(timer);
    response.end();
    if (isWatched(request)) log(`worker ${worker.id} has run ${id} to its end`);
  }, 5);
  response.on("close", () => clearInterval(timer));
}

/** Whether a request is one of those whose heads take long. */
const isWatched = (request) => request.headers["x-beechkeel-prefix-hash"].includes("b2:580");

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-swap", host: "ficu95.example", path_prefix: "/pufi791/", route_kind: "streaming", timeout_ms: 10000,
    slo_ms: 500, priority: 0, service: "huvo11a", max_attempts: 1, anonymous: false, sticky: true, resumable: false, gap_target_ms: 400,
  }],
  services: [{ name: "huvo11a", health_path: "/healthz", max_conns: 360, protocol: "h1", tls: false }],
  limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [{ name: "hule930", api_keys: ["n2ctnfzs989anu6wsjnb"], priority: 1 }],
};

/** Sends a request whose head takes HEAD_MS. Resolves with the id and the status of the answer, once the channel is
 * closed.
 * @param retryFront Machine to which it is sent once more, with another id, after a promise that it has not run. */
function sendSlowly(front, retryFront) {
  const id = newId();
  const body = `prompt of ${id}`;
  const head = [
    "POST /pufi791/2f HTTP/1.1", "Host: ficu95.example", `X-Beechkeel-Attempt-Id: ${id}`, "X-Beechkeel-Model: m",
    "X-Beechkeel-Token-Usage: 830,42", `X-Beechkeel-Prefix-Hash: a1:119,b2:580,${id}:131`, `X-Beechkeel-Deadline-Ms: ${LIMIT_MS}`,
    "X-Api-Key: n2ctnfzs989anu6wsjnb", `Content-Length: ${body.length}`,
  ].join("\r\n") + "\r\n\r\n";
  return new Promise((resolve) => {
    const socket = connect({ ...front, allowHalfOpen: true });
    socket.setNoDelay(true);
    let text = "";
    let end = "closed";
    let silence;
    let retry;
    let isAnswered = false;
    socket.on("connect", async () => {
      socket.write(head.slice(0, 60));
      await delay(HEAD_MS);
      socket.write(head.slice(60) + body);
      silence = setTimeout(() => {
        end = "abandoned";
        socket.destroy();
      }, SILENCE_MS);
    });
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      silence?.refresh();
      // The answer is whole: its last chunk, or all of the bytes that its head announces.
      const [answerHead, answerBody] = text.split("\r\n\r\n", 2);
      const length = /content-length: (\d+)/i.exec(answerHead ?? "");
      const isWhole = length ? (answerBody ?? "").length >= Number(length[1]) : text.endsWith("\r\n0\r\n\r\n");
      if (!isWhole || isAnswered) return;
      isAnswered = true;
      if (isPromise(readStatus(text)) && retryFront) retry = sendSlowly(retryFront);
      setTimeout(() => socket.end(), CLOSE_MS);
    });
    socket.on("error", () => end = "reset");
    socket.on("close", async () => {
      clearTimeout(silence);
      const status = readStatus(text);
      const retried = await retry;
      log(`requester of ${id} saw status ${status || "none"}, ${end}${retried ? `; its retry ${retried.id} saw ${retried.status}` : ""}`);
      resolve({ id, status, retried });
    });
  });
}

const readStatus = (text) => Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
const isPromise = (status) => [408, 421, 429, 503].includes(status);

async function main() {
  const store = await Store.create();
  store.put("op/config", CONFIGURATION);
  const workers = [];
  for (let index = 0; index < 6; index++) {
    const worker = await Worker.create(`i-${index}`, "huvo11a", run, { zone: ["kariakoo", "mikocheni", "temeke"][index % 3] });
    workers.push(worker);
    store.put(`servers/${worker.id}`, worker.entry());
  }
  const gateways = await Gateways.start(7, store.address);
  const links = [];
  const stopTraffic = startTraffic(gateways);
  try {
    await delay(WARM_MS);
    const seen = [];
    for (const gateway of gateways.list.slice(0, ROUNDS)) {
      const link = await Link.create(gateway.front, LINK_MS);
      links.push(link);
      const sent = [];
      for (let number = 0; number < REQUESTS; number++) {
        sent.push(sendSlowly(link.front, gateways.list.at(-1).front));
        await delay(20);
      }
      if (HAS_TROUBLE) await freeze(gateway);
      seen.push(...await Promise.all(sent));
      await delay(2_000);
    }
    return judge(seen);
  } finally {
    await stopTraffic();
    await gateways.close();
    for (const link of links) link.close();
    for (const worker of workers) worker.crash();
    store.close();
  }
}

/** Sends ordinary requests to all machines, so that they are at work as on any day; returns what ends that. */
function startTraffic(gateways) {
  const sending = new Set();
  let number = 0;
  const timer = setInterval(() => {
    const { front } = gateways.list[number++ % gateways.list.length];
    const sent = send(front, {
      path: "/pufi791/2f", key: "n2ctnfzs989anu6wsjnb", body: `ordinary prompt ${number}`, deadlineMs: LIMIT_MS, silenceMs: SILENCE_MS,
      headers: { "X-Beechkeel-Model": "m", "X-Beechkeel-Token-Usage": "830,42", "X-Beechkeel-Prefix-Hash": `a1:119,c${number % 29}:580,d${number}:131` },
    });
    sending.add(sent);
    sent.then(() => sending.delete(sent));
  }, 1_000 / TRAFFIC_PER_SECOND);
  return async () => {
    clearInterval(timer);
    await Promise.all(sending);
  };
}

async function freeze(gateway) {
  log(`${gateway.name} freezes`);
  gateway.child.kill("SIGSTOP");
  await delay(FREEZE_MS);
  gateway.child.kill("SIGCONT");
  log(`${gateway.name} wakes`);
}

/** REFUSED: requests that can't be repeated, were answered 408, 421, 429 or 503, and were run. */
function judge(seen) {
  const promised = seen.filter(({ status }) => isPromise(status));
  const broken = promised.filter(({ id }) => runs.has(id));
  for (const { id, status, retried } of broken) {
    const again = retried && runs.has(retried.id) ? `; its retry ${retried.id} ran too` : "";
    log(`${id} was answered ${status} and run ${runs.get(id)} time(s)${again}`);
  }
  const served = seen.filter(({ status }) => status === 200).length;
  const summary = `${seen.length} requests, ${served} answered 200, ${promised.length} promised not to run, ${broken.length} of these run`;
  const verdict = broken.length > 0 ? "BROKEN: REFUSED" : "held";
  log(`${summary}: ${verdict}`);
  console.log(`${summary}: ${verdict}`);
  return broken.length > 0 ? 1 : 0;
}

main().then((code) => record.end(() => process.exit(code)), (error) => {
  console.error(error);
  record.end(() => process.exit(2));
});
