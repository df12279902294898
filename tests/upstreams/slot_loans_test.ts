import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pino } from "pino";
import { Random } from "../../src/random/random.ts";
import { FleetSlots } from "../../src/upstreams/fleet_slots.ts";
import { LOAN_MS } from "../../src/upstreams/lent_slots.ts";
import { SlotLoans } from "../../src/upstreams/slot_loans.ts";
import type { SlotMessage } from "../../src/upstreams/slot_message.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { VirtualTimeline } from "../clock/virtual_timeline.ts";
import { buildUpstream } from "../published/build_published.ts";

/** Delay of a message, in milliseconds. */
const DELAY_MS = 2;

interface TestHost {
  /** Id and gossip address. */
  id: string;
  upstream: Upstream;
  loans: SlotLoans;
}

/** Creates three hosts that share one upstream with a single slot, which `owner` owns.
 * @param passes Whether a message is delivered. */
function createHosts(
  passes: (type: SlotMessage["type"]) => boolean = () => true,
) {
  const timeline = VirtualTimeline.create();
  const ids = ["g-0", "g-1", "g-2"];
  const hosts = new Map(ids.map((id) => [id, createHost(id)]));
  function createHost(id: string): TestHost {
    const upstream = Upstream.create(buildUpstream({ id: "u", slots: 1 }));
    const loans = SlotLoans.create({
      logger: pino({ level: "silent" }),
      slots: FleetSlots.create({
        hostId: id,
        getOtherHostIds: () => ids.filter((other) => other !== id),
        knowsFleet: () => true,
      }),
      timeline,
      random: Random.create(1),
      ownAddress: id,
      getAddress: (hostId) => hostId,
      findUpstream: () => upstream,
      send: (address, message) => {
        if (!passes(message.type)) return;
        timeline.after(
          DELAY_MS,
          () => hosts.get(address)!.loans.handle(message, id),
        );
      },
    });
    return { id, upstream, loans };
  }
  const owner = [...hosts.values()].find(({ loans, upstream }) =>
    loans.hasFreeSlot(upstream, 0)
  )!;
  const [borrower, other] = [...hosts.values()].filter((host) =>
    host !== owner
  ) as [TestHost, TestHost];
  const pass = async (durationMs: number) => {
    const end = timeline.read() + durationMs;
    while (timeline.read() < end) {
      timeline.runUntil(timeline.read() + 1);
      await nextTurn();
    }
  };
  const hasFreeSlot = ({ loans, upstream }: TestHost) =>
    loans.hasFreeSlot(upstream, timeline.read());
  /** Borrows a slot and begins a request on it if it is granted. */
  const borrow = async ({ loans, upstream }: TestHost) => {
    const isGranted = loans.borrow([upstream]).then((granted) => {
      if (granted) upstream.ownRequests += 1;
      return granted;
    });
    await pass(400);
    return await isGranted;
  };
  return { timeline, owner, borrower, other, pass, hasFreeSlot, borrow };
}

test("a host that owns no slot borrows one, and nobody else has it until the request has ended", async (t) => {
  const { owner, borrower, other, pass, hasFreeSlot, borrow } = createHosts();
  t.true(await borrow(borrower));
  t.false(hasFreeSlot(owner));
  t.false(await borrow(other));
  await pass(2 * LOAN_MS);
  t.false(hasFreeSlot(owner));
  borrower.upstream.ownRequests -= 1;
  await pass(50);
  t.true(hasFreeSlot(owner));
  t.false(hasFreeSlot(borrower));
  t.true(await borrow(other));
});

test("a slot that its owner uses is not lent", async (t) => {
  const { owner, borrower, borrow } = createHosts();
  owner.upstream.ownRequests = 1;
  t.false(await borrow(borrower));
});

test("a slot that is granted but not used is returned", async (t) => {
  const { owner, borrower, pass, hasFreeSlot } = createHosts();
  const isGranted = borrower.loans.borrow([borrower.upstream]);
  await pass(50);
  t.true(await isGranted);
  t.true(hasFreeSlot(owner));
});

test("a loan whose borrower is not heard from any more ends", async (t) => {
  let isCut = false;
  const { owner, borrower, pass, hasFreeSlot, borrow } = createHosts(() =>
    !isCut
  );
  t.true(await borrow(borrower));
  isCut = true;
  await pass(LOAN_MS / 2);
  t.false(hasFreeSlot(owner));
  await pass(LOAN_MS);
  t.true(hasFreeSlot(owner));
});

test("a loan of which the borrower never heard ends sooner", async (t) => {
  const { owner, borrower, hasFreeSlot, borrow } = createHosts((type) =>
    type !== "slot_response"
  );
  t.false(await borrow(borrower));
  t.true(hasFreeSlot(owner));
});

test("a host that asks one that owns no slot gets it from the owner", async (t) => {
  const { borrower, other, owner, pass, hasFreeSlot } = createHosts();
  const { instanceHash } = borrower.upstream;
  other.loans.handle({
    type: "slot_request",
    loanId: 5,
    instanceHash,
    borrower: borrower.id,
    isForwarded: false,
  }, borrower.id);
  await pass(2 * DELAY_MS);
  t.false(hasFreeSlot(owner));
  t.true(hasFreeSlot(borrower));
});
