/** Guards against routers that ignore the backoff that an upstream asks for when it declines a request, a fault that
 * gateways had too: each owner kept sending requests, polled the upstream's report every half second, and followed each
 * declined request with one to cancel work that had not begun. */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { Fleet } from "../../tools/fleet.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const CUSTOMER = "rodar/dispatch";
/** Backoff that upstreams ask for, in seconds; longer than a test runs. */
const BACKOFF_S = 60;
const REQUEST_COUNT = 60;
/** Maximum number of requests that a router may send to an upstream in backoff: the one that is declined, and a report
 * request in flight. The limit is per router because on a busy machine a router may briefly take another one for the
 * owner, and each router keeps its own backoff. */
const MAX_REQUESTS_PER_ROUTER = 2;
/** Report interval that is longer than a test runs, in milliseconds: only responses carry the upstream's state. */
const REPORTS_DISABLED_MS = 60_000;

test.serial("services that ask for a backoff get no requests until it ends, and the other services serve the callers", async (t) => {
  await withFleet({ services: 4 }, async (fleet, caller) => {
    const decliningServices = fleet.services.slice(0, 2);
    const send = (index: number) => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.book({ customer: CUSTOMER, router }, `shift ${index}`);
    };
    await waitUntil("bookings run", async () => (await send(0)).isComplete);
    for (const service of decliningServices) service.backoffSeconds = BACKOFF_S;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const response = await send(index);
      t.true(response.isComplete, response.kind);
    }
    const declineCounts = decliningServices.map((service) =>
      service.ledger.declinedAt.length
    );
    const maxRequests = MAX_REQUESTS_PER_ROUTER * fleet.routers.length;
    t.true(
      declineCounts.every((count) => count <= maxRequests),
      declineCounts.join(),
    );
  });
});

test.serial("if all services asked for a backoff, a booking is refused at once as not run, to retry when the first backoff ends", async (t) => {
  await withFleet({ services: 2 }, async (fleet, caller) => {
    const send = () => {
      const router = fleet.routers[0]!.address;
      return caller.book({ customer: CUSTOMER, router }, "shift");
    };
    await waitUntil("bookings run", async () => (await send()).isComplete);
    const [longer, shorter] = fleet.services;
    longer!.backoffSeconds = 2 * BACKOFF_S;
    shorter!.backoffSeconds = BACKOFF_S;
    const countDeclines = () =>
      longer!.ledger.declinedAt.length + shorter!.ledger.declinedAt.length;
    await waitUntil("both services have declined a request", async () => {
      await send();
      return countDeclines() >= 2;
    });
    const before = countDeclines();
    const refused = await send();
    const seconds = Number(refused.retryAfter);
    t.is(refused.ran, "no");
    t.true(seconds > BACKOFF_S / 2 && seconds <= BACKOFF_S, `${seconds} s`);
    t.is(countDeclines(), before);
  });
});

test.serial("an engine that asked for a backoff gets no cancel or report requests either", async (t) => {
  const options = {
    engines: 2,
    settings: { routing: { reportIntervalMs: 50 } },
  };
  await withFleet(options, async (fleet, caller) => {
    const [decliningEngine, other] = fleet.engines;
    const send = (chat: string) => {
      const router = fleet.routers[0]!.address;
      return caller.chat({ customer: "kilima/rosters", router }, chat, ["a"]);
    };
    await waitUntil("chats run", async () => (await send("c")).isComplete);
    decliningEngine!.backoffSeconds = BACKOFF_S;
    let chats = 0;
    await waitUntil("the engine has declined a request", async () => {
      await send(`c-${chats++}`);
      return decliningEngine!.ledger.declinedAt.length > 0;
    });
    await delay(100);
    const before = decliningEngine!.requests;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      t.true((await send(`d-${index}`)).isComplete);
    }
    t.is(decliningEngine!.requests, before);
    t.true(other!.ledger.runs.length >= REQUEST_COUNT);
  });
});

/** Counts the routers that have learned from a response that a service is leaving. */
function countInformedRouters({ routers }: Fleet, serviceId: string): number {
  const line = `upstream=${serviceId} change=leaves`;
  return routers.filter(({ logLines }) =>
    logLines.some((logged) => logged.includes(line))
  ).length;
}

// On a busy machine a router may take the owner for lost and own the service for a moment. It learns from its own request
// that the service is leaving, because reports are disabled.
test.serial("a service that announces in its responses that it is leaving gets no more requests from the routers that received one, even before its next report", async (t) => {
  const settings = { routing: { reportIntervalMs: REPORTS_DISABLED_MS } };
  await withFleet({ services: 2, settings }, async (fleet, caller) => {
    const send = (index: number) => {
      const router = fleet.routers[index % fleet.routers.length]!.address;
      return caller.book({ customer: CUSTOMER, router }, `shift ${index}`);
    };
    const [leaving, staying] = fleet.services;
    await waitUntil("bookings run", async () => (await send(0)).isComplete);
    leaving!.announcesLeaving = true;
    const before = leaving!.ledger.runs.length;
    const stayingBefore = staying!.ledger.runs.length;
    for (let index = 0; index < REQUEST_COUNT; index++) {
      t.true((await send(index)).isComplete);
    }
    const runs = leaving!.ledger.runs.length - before;
    await waitUntil(
      "each request to the leaving service came from another router",
      () => runs <= countInformedRouters(fleet, leaving!.options.id),
    );
    const stayingRuns = staying!.ledger.runs.length - stayingBefore;
    t.true(stayingRuns >= REQUEST_COUNT - runs);
  });
});
