// Streams whose worker crashes and whose continuation is answered with an error: do their requesters get an end?
import { createWriteStream } from "node:fs";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Gateways } from "../lib/gateways.mjs";
import { send } from "../lib/requester.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const WORKERS = 6; // roster-llm of kilima-rota
const CRASHED = 2; // share 0.25 of 6, rounded as the bench does
const GREY = { forMs: 4_000, fraction: 0.45 }; // srv_grey, errors all
const TIMEOUT_MS = 4_000; // of the route, after a change of time-outs
const LIMIT_MS = 12_000; // time limit of season-roster's requesters
const SILENCE_MS = 4_800; // longest of 2 s, 4 x the objective of 1,200 ms, 8 x the gap of 400 ms
const EVENTS = 45;
const EVENT_MS = 55;
const PER_SECOND = 44;
const SECONDS = 12;

const folder = dirname(fileURLToPath(import.meta.url));
const record = createWriteStream(join(folder, "record.txt"));
const startedAt = Date.now();
const log = (text) => record.write(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}\n`);

let isGrey = false;
let answered = 0;

/** Works as a model worker: streams the events after Last-Event-Id, some ms apart. */
function run(request, response, _body, worker) {
  const id = request.headers["x-beechkeel-attempt-id"];
  const first = Number(request.headers["last-event-id"] ?? -1) + 1;
  answered += 1;
  // 45 of 100 requests fail, evenly spread.
  const fails = isGrey && Math.floor(answered * GREY.fraction) !== Math.floor((answered - 1) * GREY.fraction);
  log(`worker ${worker.id} runs ${id} from event ${first}${fails ? " and answers 500" : ""}`);
  if (fails) return response.writeHead(500, worker.sealed(request, { "Content-Length": "0" })).end();
  response.writeHead(200, worker.sealed(request, { "Content-Type": "text/event-stream" }));
  let next = first;
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: ${id} ${next}\n\n`);
    next += 1;
    if (next < EVENTS) return;
    clearInterval(timer);
    response.end();
  }, EVENT_MS);
  response.on("close", () => clearInterval(timer));
}

function configuration(version, timeoutMs) {
  return {
    version,
    routes: [{
      name: "r-season", host: "ficu95.example", path_prefix: "/lohu930/", route_kind: "streaming", timeout_ms: timeoutMs,
      slo_ms: 1200, priority: 1, service: "huvo11a", max_attempts: 2, anonymous: false, sticky: true, resumable: true, gap_target_ms: 400,
    }],
    services: [{ name: "huvo11a", health_path: "/healthz", max_conns: 360, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: "hule930", api_keys: ["n2ctnfzs989anu6wsjnb"], priority: 1 }],
  };
}

async function main() {
  const store = await Store.create();
  store.put("op/config", configuration(7, LIMIT_MS));
  const workers = [];
  for (let index = 0; index < WORKERS; index++) {
    const worker = await Worker.create(`i-${index}`, "huvo11a", run, { zone: ["kariakoo", "mikocheni", "temeke"][index % 3] });
    workers.push(worker);
    store.put(`servers/${worker.id}`, worker.entry());
  }
  const gateways = await Gateways.start(7, store.address);
  try {
    store.put("op/config", configuration(8, TIMEOUT_MS));
    log(`store acknowledged version 8, timeout_ms ${TIMEOUT_MS}`);
    await delay(3_500);
    const tries = [];
    const total = PER_SECOND * SECONDS;
    for (let number = 0; number < total; number++) {
      const session = number % 29;
      const sent = send(gateways.list[number % gateways.list.length].front, {
        path: "/lohu930/2f", key: "n2ctnfzs989anu6wsjnb", body: `prompt ${number}`, deadlineMs: LIMIT_MS, silenceMs: SILENCE_MS,
        headers: {
          "X-Beechkeel-Model": "m", "X-Beechkeel-Token-Usage": "1460,315",
          "X-Beechkeel-Prefix-Hash": `a${session}:800,b${number}:410`,
        },
      });
      sent.then((seen) => log(`requester of ${seen.id} saw ${seen.status} and ${countEvents(seen)} events, ${seen.end} after ${seen.endedAt - seen.sentAt} ms`));
      tries.push(sent);
      if (HAS_TROUBLE && number === PER_SECOND * 8) void cause(workers, store);
      await delay(1_000 / PER_SECOND);
    }
    return judge(await Promise.all(tries));
  } finally {
    await gateways.close();
    for (const worker of workers) worker.crash();
    store.close();
  }
}

async function cause(workers, store) {
  isGrey = true;
  log(`all workers fail ${GREY.fraction} of their requests from here on`);
  for (const worker of workers.slice(0, CRASHED)) {
    worker.crash();
    log(`worker ${worker.id} crashes`);
  }
  await delay(GREY.forMs);
  isGrey = false;
  log("workers are sound again");
  for (const worker of workers.slice(0, CRASHED)) store.remove(`servers/${worker.id}`);
}

const countEvents = ({ text }) => text.split("\n\n").length - 1;

/** CONFIG: requests past their route's timeout_ms, and those without a final answer 0.5 s after it. */
function judge(seen) {
  const past = seen.filter(({ sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_MS);
  const open = past.filter(({ sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_MS + 500);
  const complete = seen.filter(({ end, status, text }) =>
    end === "complete" && status === 200 && text.split("\n\n").length - 1 === EVENTS
  );
  const summary = `${seen.length} requests, ${complete.length} whole; ${past.length} ran past timeout_ms, ${open.length} of them without a final answer 0.5 s after it`;
  log(summary);
  const isBroken = open.length >= 8 && open.length > past.length / 4;
  const verdict = isBroken ? "BROKEN: CONFIG" : "held";
  log(verdict);
  console.log(`${summary}: ${verdict}`);
  return isBroken ? 1 : 0;
}

main().then((code) => record.end(() => process.exit(code)), (error) => {
  console.error(error);
  record.end(() => process.exit(2));
});
