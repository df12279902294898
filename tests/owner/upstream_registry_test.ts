import { pino } from "pino";
import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { Job } from "../../src/owner/job.ts";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import { LoadBook } from "../../src/owner/load_book.ts";
import { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import {
  buildService,
  buildSettings,
  buildView,
  OTHER_ROUTERS,
} from "./build_fleet.ts";
import { buildOffer, createPort } from "./build_offer.ts";

/** Nothing listens at its port. */
const UPSTREAM = buildService(1);

/** A router beside which the router of these tests is the first for the upstream. */
const FORMER_OWNER_ID = "r-3";

/** A registry of a router that sees the routers it is told, and owns the upstream where it sees none but itself. */
function createRegistry() {
  const logger = pino({ level: "silent" });
  let view = buildView(1, UPSTREAM, []);
  const registry = UpstreamRegistry.create({
    settings: buildSettings(),
    logger,
    audit: AuditTrail.create(10, logger),
    loads: LoadBook.create(),
    getView: () => view,
    getPlacement: () => PlacementTable.create(view, "dar"),
    requestReport: () => undefined,
  });
  const setOtherRouters = (others: readonly string[]) => {
    view = buildView(view.version + 1, UPSTREAM, others);
    registry.refresh();
  };
  return { registry, see: setOtherRouters };
}

test("a router that stops owning an upstream for a moment still knows what it asked for", async (t) => {
  const { registry, see } = createRegistry();
  see([]);
  const notice = { backoffMs: 60_000, isLeaving: false };
  registry.getUpstream(UPSTREAM.id)!.client.availability.note(
    notice,
    performance.now(),
  );
  see(OTHER_ROUTERS);
  t.false(registry.getUpstream(UPSTREAM.id)!.isOwned);
  registry.refresh();
  see([]);
  t.true(registry.getUpstream(UPSTREAM.id)!.isOwned);
  t.true(registry.getUpstream(UPSTREAM.id)!.backoffMs > 0);
  await registry.close();
});

/** Counts one more request as running on the upstream. */
function addRunningJob(registry: UpstreamRegistry): void {
  const port = createPort("entry", () => undefined);
  const job = Job.create(port, buildOffer({}), 0, 1_000);
  registry.getUpstream(UPSTREAM.id)!.addRunning(job, performance.now());
}

// A router that came back started up to its bound beside the requests of the router that had owned the engine meanwhile.
test("a router that joins starts one request at a time until the former owner has told its load", async (t) => {
  const { registry, see } = createRegistry();
  const getUpstream = () => registry.getUpstream(UPSTREAM.id)!;
  see([FORMER_OWNER_ID]);
  t.true(getUpstream().isOwned);
  t.true(registry.hasRoom(getUpstream()));
  addRunningJob(registry);
  t.false(registry.hasRoom(getUpstream()));
  registry.recordPeerLoads(FORMER_OWNER_ID, [[hashText(UPSTREAM.id), 0]]);
  t.true(registry.hasRoom(getUpstream()));
  await registry.close();
});

test("the load that a former owner tells counts as foreign until reports show it", async (t) => {
  const { registry, see } = createRegistry();
  see([FORMER_OWNER_ID]);
  registry.recordPeerLoads(FORMER_OWNER_ID, [[hashText(UPSTREAM.id), 3]]);
  const upstream = registry.getUpstream(UPSTREAM.id)!;
  t.true(upstream.foreign.load >= 3);
  t.false(registry.hasRoom(upstream));
  await registry.close();
});
