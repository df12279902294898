import { pino } from "pino";
import test from "ava";
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

/** Nothing listens at its port. */
const UPSTREAM = buildService(1);

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
