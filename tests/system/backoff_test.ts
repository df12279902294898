/** Routers had the fault that gateways had: nothing in them read how long an upstream that turns a request away wants none.
 * Each owner went on sending, asked the upstream for its report every half second, and followed each refusal with a request
 * to cancel what had not begun. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "rodar/dispatch";
/** Backoff that upstreams ask for, in seconds; longer than a test takes. */
const BACKOFF_S = 60;
const REQUEST_COUNT = 60;
/** Requests that a router may send an upstream in a backoff: the one that is turned away, and a report under way. A router
 * that takes another for the owner for a moment, on a busy machine, has a backoff of its own. */
const MAX_REQUESTS_PER_ROUTER = 2;
/** Interval of reports that is longer than a test takes, in milliseconds: the word of answers alone is heard. */
const REPORTS_DISABLED_MS = 60_000;

test.serial("services that ask for a backoff get nothing in it, and callers are served by the others", async (t) => {
  await withFleet({ services: 4 }, async (fleet, caller) => {
    const full = fleet.services.slice(0, 2);
    const send = (index: number) => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.book({ customer: CUSTOMER, router }, `shift ${index}`);
    };
    await waitUntil("bookings run", async () => (await send(0)).isComplete);
    for (const service of full) service.backoffSeconds = BACKOFF_S;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const response = await send(index);
      t.true(response.isComplete, response.kind);
    }
    const asked = full.map((service) => service.ledger.refusedAt.length);
    const most = MAX_REQUESTS_PER_ROUTER * fleet.routers.length;
    t.true(asked.every((count) => count <= most), asked.join());
  });
});

test.serial("where all services asked for a backoff a booking is refused at once as not run, until the first of them ends", async (t) => {
  await withFleet({ services: 2 }, async (fleet, caller) => {
    const send = () => {
      const router = fleet.routers[0]!.address;
      return caller.book({ customer: CUSTOMER, router }, "shift");
    };
    await waitUntil("bookings run", async () => (await send()).isComplete);
    const [longer, shorter] = fleet.services;
    longer!.backoffSeconds = 2 * BACKOFF_S;
    shorter!.backoffSeconds = BACKOFF_S;
    const countRefusals = () =>
      longer!.ledger.refusedAt.length + shorter!.ledger.refusedAt.length;
    await waitUntil("both have turned one away", async () => {
      await send();
      return countRefusals() >= 2;
    });
    const before = countRefusals();
    const refused = await send();
    const seconds = Number(refused.retryAfter);
    t.is(refused.ran, "no");
    t.true(seconds > BACKOFF_S / 2 && seconds <= BACKOFF_S, `${seconds} s`);
    t.is(countRefusals(), before);
  });
});

test.serial("an engine that asked for a backoff gets no request to cancel or report either", async (t) => {
  const options = {
    engines: 2,
    settings: { routing: { reportIntervalMs: 50 } },
  };
  await withFleet(options, async (fleet, caller) => {
    const [full, other] = fleet.engines;
    const send = (chat: string) => {
      const router = fleet.routers[0]!.address;
      return caller.chat({ customer: "kilima/rosters", router }, chat, ["a"]);
    };
    await waitUntil("chats run", async () => (await send("c")).isComplete);
    full!.backoffSeconds = BACKOFF_S;
    let chats = 0;
    await waitUntil("it has turned one away", async () => {
      await send(`c-${chats++}`);
      return full!.ledger.refusedAt.length > 0;
    });
    await delay(100);
    const before = full!.requests;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      t.true((await send(`d-${index}`)).isComplete);
    }
    t.is(full!.requests, before);
    t.true(other!.ledger.runs.length >= REQUEST_COUNT);
  });
});

test.serial("a service that says in its answers that it leaves gets nothing more, before its next report", async (t) => {
  const settings = { routing: { reportIntervalMs: REPORTS_DISABLED_MS } };
  await withFleet({ services: 2, settings }, async (fleet, caller) => {
    const send = (index: number) => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.book({ customer: CUSTOMER, router }, `shift ${index}`);
    };
    const [leaving, staying] = fleet.services;
    await waitUntil("bookings run", async () => (await send(0)).isComplete);
    leaving!.saysLeaving = true;
    const before = leaving!.ledger.runs.length;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      t.true((await send(index)).isComplete);
    }
    t.true(leaving!.ledger.runs.length <= before + 1);
    t.true(staying!.ledger.runs.length >= REQUEST_COUNT - 1);
  });
});
