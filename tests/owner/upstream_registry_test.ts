import { pino } from "pino";
import test from "ava";
import { hashText } from "../../src/hashing/hasher.ts";
import { Job } from "../../src/owner/job.ts";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import { LoadTable } from "../../src/owner/load_table.ts";
import { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import {
  buildService,
  buildSettings,
  buildView,
  OTHER_ROUTERS,
} from "./build_fleet.ts";
import { buildOffer, createPort } from "./build_offer.ts";

/** An upstream on whose port nothing listens. */
const UPSTREAM = buildService(1);

/** A router next to which the router under test is the owner of the upstream. */
const FORMER_OWNER_ID = "r-3";

/** Creates a registry whose fleet view is set by the test. Its router owns the upstream if the view contains no
 * other. */
function createRegistry() {
  const logger = pino({ level: "silent" });
  let view = buildView(1, UPSTREAM, []);
  const registry = UpstreamRegistry.create({
    settings: buildSettings(),
    logger,
    audit: AuditTrail.create(10, logger),
    loads: LoadTable.create(),
    getView: () => view,
    getPlacement: () => PlacementTable.create(view, "dar"),
    requestReport: () => undefined,
  });
  const setOtherRouters = (others: readonly string[]) => {
    view = buildView(view.version + 1, UPSTREAM, others);
    registry.refresh();
  };
  return { registry, setOtherRouters };
}

test("a router that briefly loses the ownership of an upstream keeps its backoff", async (t) => {
  const { registry, setOtherRouters } = createRegistry();
  setOtherRouters([]);
  const notice = { backoffMs: 60_000, isLeaving: false };
  registry.getUpstream(UPSTREAM.id)!.client.availability.recordNotice(
    notice,
    performance.now(),
  );
  setOtherRouters(OTHER_ROUTERS);
  t.false(registry.getUpstream(UPSTREAM.id)!.isOwned);
  registry.refresh();
  setOtherRouters([]);
  t.true(registry.getUpstream(UPSTREAM.id)!.isOwned);
  t.true(registry.getUpstream(UPSTREAM.id)!.backoffMs > 0);
  await registry.close();
});

/** Adds one more running job to the upstream. */
function addRunningJob(registry: UpstreamRegistry): void {
  const port = createPort("entry", () => undefined);
  const job = Job.create(port, buildOffer({}), 0, 1_000);
  registry.getUpstream(UPSTREAM.id)!.addRunning(job, performance.now());
}

// A router that rejoined started requests up to its bound, in addition to those of the router that had owned the engine
// meanwhile.
test("a router that joins starts one request at a time until the former owner has advertised its load", async (t) => {
  const { registry, setOtherRouters } = createRegistry();
  const getUpstream = () => registry.getUpstream(UPSTREAM.id)!;
  setOtherRouters([FORMER_OWNER_ID]);
  t.true(getUpstream().isOwned);
  t.true(registry.hasRoom(getUpstream()));
  addRunningJob(registry);
  t.false(registry.hasRoom(getUpstream()));
  registry.recordPeerLoads(FORMER_OWNER_ID, [[hashText(UPSTREAM.id), 0]]);
  t.true(registry.hasRoom(getUpstream()));
  await registry.close();
});

test("the load that a former owner advertises counts as foreign until reports include it", async (t) => {
  const { registry, setOtherRouters } = createRegistry();
  setOtherRouters([FORMER_OWNER_ID]);
  registry.recordPeerLoads(FORMER_OWNER_ID, [[hashText(UPSTREAM.id), 3]]);
  const upstream = registry.getUpstream(UPSTREAM.id)!;
  t.true(upstream.foreign.load >= 3);
  t.false(registry.hasRoom(upstream));
  await registry.close();
});
