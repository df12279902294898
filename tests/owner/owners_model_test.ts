/** Simulates owners, entry routers and an engine in virtual time, with fleet views that are outdated or wrong for a
 * time. Guards against load above the bound. Before routers that are not the owner were limited to one request, an
 * engine that may have four in flight got five after its owner was frozen: three started by the owner, and two by a
 * router that was not the owner (`r-4 starts q51: own 2 foreign 0 not owner avoids r-1`). */
import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { REPORT_CATCH_UP_MS } from "../../src/owner/foreign_load_estimator.ts";
import { buildOffer, createPort } from "./build_offer.ts";
import { VirtualChats } from "./virtual_chats.ts";
import { VirtualOwners } from "./virtual_owners.ts";
import { ENGINE_ID } from "./virtual_pool.ts";

/** Requests that an engine may have in flight while the other engines of its pool are idle. */
const ENGINE_LIMIT = 4;
const ROUTER_COUNT = 5;
const CHAT_COUNT = 10;
const SEED_COUNT = 150;
/** Range of the time at which the fault is injected. */
const FAULT_AT_MS = [2_000, 3_000] as const;
/** Time at which the simulation ends. */
const END_MS = 12_000;
/** Load that a failed owner had advertised; as many of its requests are resumed. */
const ADVERTISED_LOAD = 6;
/** Time after which every router has detected that the owner is silent. */
const DETECTION_MS = 2_200;
/** Number of last events that a failed test prints. */
const PRINTED_EVENT_COUNT = 40;

const FAULTS: Record<string, (fleet: VirtualOwners) => void> = {
  "its owner is frozen and resumes": (fleet) => {
    const [owner] = fleet.ownersInOrder;
    fleet.pause(owner!, fleet.random.integer(200, 6_000));
  },
  "its owner and the next in order are frozen or killed": (fleet) => {
    const { random, timeline } = fleet;
    const [owner, next] = fleet.ownersInOrder;
    fleet.pause(owner!, random.integer(200, 5_000));
    const fault = random.pick(["pause", "restart"] as const);
    timeline.after(
      random.integer(0, 3_000),
      () => fleet[fault](next!, random.integer(200, 3_000)),
    );
  },
  "its owner is killed and restarts": (fleet) => {
    const [owner] = fleet.ownersInOrder;
    fleet.restart(owner!, fleet.random.integer(200, 5_000));
  },
  "some routers briefly lose contact with its owner": (fleet) => {
    const { random, timeline, routers } = fleet;
    const [owner] = fleet.ownersInOrder;
    for (let count = 0; count < 3; count++) {
      timeline.after(
        random.integer(0, 3_000),
        () =>
          fleet.loseContact(
            random.pick(routers),
            owner!,
            random.integer(5, 800),
          ),
      );
    }
  },
};

for (const [name, inject] of Object.entries(FAULTS)) {
  test(`no simulated engine exceeds its load bound while ${name}`, (t) => {
    for (let seed = 0; seed < SEED_COUNT; seed++) {
      const fleet = VirtualOwners.create(seed, ROUTER_COUNT, ENGINE_LIMIT);
      const chats = VirtualChats.create(fleet, CHAT_COUNT);
      fleet.timeline.runUntil(fleet.random.integer(...FAULT_AT_MS));
      inject(fleet);
      fleet.timeline.runUntil(END_MS);
      t.true(chats.answered > 0);
      const events = fleet.history.slice(-PRINTED_EVENT_COUNT).join("\n");
      t.deepEqual(fleet.violations, [], `seed ${seed}:\n${events}`);
    }
  });
}

// A router assumed that a failed owner had left eight requests running, although none of them ran any more, and started
// seven resumed requests in their place: `resumes=true running=7 foreign=2 cap=5` on an engine that may have four in
// flight.
test("requests of a failed owner are resumed within the bound if the engine no longer runs them", (t) => {
  for (let seed = 0; seed < SEED_COUNT; seed++) {
    const fleet = VirtualOwners.create(seed, ROUTER_COUNT, ENGINE_LIMIT);
    const [owner, next] = fleet.ownersInOrder;
    fleet.timeline.runUntil(FAULT_AT_MS[0]);
    fleet.pause(owner!, END_MS);
    next!.loads.record(
      [[hashText(ENGINE_ID), ADVERTISED_LOAD]],
      fleet.timeline.read(),
    );
    fleet.timeline.runUntil(FAULT_AT_MS[0] + DETECTION_MS);
    for (let exchange = 0; exchange < ADVERTISED_LOAD; exchange++) {
      const port = createPort(owner!.id, () => undefined);
      const offer = buildOffer({
        exchange,
        requestId: `q${exchange}`,
        avoids: [owner!.id],
        resumes: true,
      });
      next!.scheduler.handleOffer(port, offer);
    }
    fleet.timeline.runUntil(END_MS);
    t.deepEqual(fleet.violations, [], `seed ${seed}`);
  }
});

// Routers that waited for the loads advertised by others advertised none themselves, so that all engines were held back
// for the maximum time and then used at once: five starts within 50 ms on an engine that may have four in flight.
test("a starting fleet uses its engines before reports are complete", (t) => {
  for (let seed = 0; seed < SEED_COUNT; seed++) {
    const fleet = VirtualOwners.create(seed, ROUTER_COUNT, ENGINE_LIMIT, 0);
    VirtualChats.create(fleet, CHAT_COUNT);
    fleet.timeline.runUntil(REPORT_CATCH_UP_MS);
    const first = fleet.history.find((line) => line.includes("starts q"));
    t.truthy(first, `seed ${seed}`);
  }
});
