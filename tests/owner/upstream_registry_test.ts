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
  OTHERS,
} from "./build_fleet.ts";
import { buildOffer, createPort } from "./build_offer.ts";

/** Nothing listens at its port. */
const UPSTREAM = buildService(1);

/** A router beside which the router of these tests is the first for the upstream. */
const FORMER = "r-3";

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
  const see = (others: readonly string[]) => {
    view = buildView(view.version + 1, UPSTREAM, others);
    registry.refresh();
  };
  return { registry, see };
}

test("a router that stops owning an upstream for a moment still knows what it asked for", async (t) => {
  const { registry, see } = createRegistry();
  see([]);
  const notice = { backoffMs: 60_000, isLeaving: false };
  registry.getUpstream(UPSTREAM.id)!.client.availability.note(
    notice,
    performance.now(),
  );
  see(OTHERS);
  t.false(registry.getUpstream(UPSTREAM.id)!.isOwned);
  registry.refresh();
  see([]);
  t.true(registry.getUpstream(UPSTREAM.id)!.isOwned);
  t.true(registry.getUpstream(UPSTREAM.id)!.backoffMs > 0);
  await registry.close();
});

/** Counts one more request as running on the upstream. */
function startOne(registry: UpstreamRegistry): void {
  const port = createPort("entry", () => undefined);
  const job = Job.create(port, buildOffer({}), 0, 1_000);
  registry.getUpstream(UPSTREAM.id)!.add(job, performance.now());
}

// A router that came back started up to its bound beside the requests of the router that had owned the engine meanwhile.
test("a router that joins starts one request at a time until the former owner has told its load", async (t) => {
  const { registry, see } = createRegistry();
  const upstreamOf = () => registry.getUpstream(UPSTREAM.id)!;
  see([FORMER]);
  t.true(upstreamOf().isOwned);
  t.true(registry.hasRoom(upstreamOf()));
  startOne(registry);
  t.false(registry.hasRoom(upstreamOf()));
  registry.takePeerLoads(FORMER, [[hashText(UPSTREAM.id), 0]]);
  t.true(registry.hasRoom(upstreamOf()));
  await registry.close();
});

test("the load that a former owner tells counts as foreign until reports show it", async (t) => {
  const { registry, see } = createRegistry();
  see([FORMER]);
  registry.takePeerLoads(FORMER, [[hashText(UPSTREAM.id), 3]]);
  const upstream = registry.getUpstream(UPSTREAM.id)!;
  t.true(upstream.foreign.load >= 3);
  t.false(registry.hasRoom(upstream));
  await registry.close();
});
