/** Owners, their entries and an engine in virtual time, with beliefs that come late or are wrong for a time. Before routers
 * that are not the owner were limited to one request, an engine that may carry four got five after its owner was frozen:
 * `r-4 starts q51: own 2 foreign 0 not owner avoids r-1` beside three starts of the owner. */
import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { REPORT_CATCH_UP_MS } from "../../src/owner/foreign_load.ts";
import { buildOffer, createPort } from "./build_offer.ts";
import { VirtualChats } from "./virtual_chats.ts";
import { VirtualOwners } from "./virtual_owners.ts";
import { ENGINE_ID } from "./virtual_pool.ts";

/** Requests that an engine may carry while the others of its pool are idle. */
const ENGINE_LIMIT = 4;
const ROUTER_COUNT = 5;
const CHAT_COUNT = 10;
const SEED_COUNT = 150;
/** Least and most time at which the fault begins, in milliseconds. */
const FAULT_AT_MS = [2_000, 3_000] as const;
/** Time at which the run ends, in milliseconds. */
const END_MS = 12_000;
/** Load that a lost owner had told, and requests of it that are resumed. */
const ADVERTISED_LOAD = 6;
/** Time after which each router has noticed that the owner is silent, in milliseconds. */
const DETECTION_MS = 2_200;
/** Events that a failed test prints. */
const PRINTED_EVENT_COUNT = 40;

const FAULTS: Record<string, (fleet: VirtualOwners) => void> = {
  "its owner is frozen and wakes": (fleet) => {
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
  "its owner is killed and comes back": (fleet) => {
    const [owner] = fleet.ownersInOrder;
    fleet.restart(owner!, fleet.random.integer(200, 5_000));
  },
  "some routers miss its owner for a moment": (fleet) => {
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
  test(`no engine of the model carries more than it may while ${name}`, (t) => {
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

// A router counted eight requests as left running by a lost owner, of which none ran any more, and started seven resumed ones for
// them: `resumes=true running=7 foreign=2 cap=5` on an engine that may carry four.
test("requests of a lost owner are resumed within the bound where the engine carries them no more", (t) => {
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

// Routers that waited for what others told told nothing themselves, so that all engines were held for the longest time and then
// used at once: five starts within 50 ms on an engine that may carry four.
test("a fleet that starts does not hold its engines back until their reports", (t) => {
  for (let seed = 0; seed < SEED_COUNT; seed++) {
    const fleet = VirtualOwners.create(seed, ROUTER_COUNT, ENGINE_LIMIT, 0);
    VirtualChats.create(fleet, CHAT_COUNT);
    fleet.timeline.runUntil(REPORT_CATCH_UP_MS);
    const first = fleet.history.find((line) => line.includes("starts q"));
    t.truthy(first, `seed ${seed}`);
  }
});
