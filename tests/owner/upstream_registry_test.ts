import { pino } from "pino";
import test from "ava";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import type { Host } from "../../src/configuration_service/host_schema.ts";
import { FleetView, type RouterView } from "../../src/membership/fleet_view.ts";
import { LoadBook } from "../../src/owner/load_book.ts";
import { UpstreamRegistry } from "../../src/owner/upstream_registry.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import { settingsSchema } from "../../src/settings/settings_schema.ts";

const UPSTREAM: Host = {
  id: "s-0",
  role: "service",
  service: "bookings",
  partner: "kilima",
  region: "dar",
  hall: "temeke",
  address: "127.0.0.1",
  // Nothing listens there.
  port: 1,
  state: "live",
  models: [],
  slots: 8,
  checksFence: false,
};

const OWN_ID = "r-0";

function viewRouter(id: string): RouterView {
  const host: Host = { ...UPSTREAM, id, role: "router", service: undefined };
  return { host, heard: true, lost: false, unavailable: false };
}

/** A registry of a router that sees the routers it is told, and owns the upstream where it sees none but itself. */
function createRegistry() {
  const logger = pino({ level: "silent" });
  let view = FleetView.create(OWN_ID, 1, [viewRouter(OWN_ID)], [UPSTREAM]);
  const registry = UpstreamRegistry.create({
    settings: settingsSchema.parse({
      id: OWN_ID,
      partner: "kilima",
      region: "dar",
      hall: "temeke",
      http: { port: 1 },
      peer: { port: 2 },
      platform: { url: "http://127.0.0.1:3" },
      fleetSecret: "a secret of some length, for tests only",
    }),
    logger,
    audit: AuditTrail.create(10, logger),
    loads: LoadBook.create(),
    getView: () => view,
    getPlacement: () => PlacementTable.create(view, "dar"),
    onReport: () => undefined,
  });
  const see = (...others: string[]) => {
    const routers = [OWN_ID, ...others].map(viewRouter);
    view = FleetView.create(OWN_ID, view.version + 1, routers, [UPSTREAM]);
    registry.refresh();
  };
  return { registry, see };
}

test("a router that stops owning an upstream for a moment still knows what it asked for", async (t) => {
  const { registry, see } = createRegistry();
  const others = Array.from({ length: 20 }, (_, index) => `r-${index + 1}`);
  see();
  const notice = { backoffMs: 60_000, isLeaving: false };
  registry.getUpstream(UPSTREAM.id)!.client.availability.note(
    notice,
    performance.now(),
  );
  see(...others);
  t.false(registry.getUpstream(UPSTREAM.id)!.isOwned);
  registry.refresh();
  see();
  t.true(registry.getUpstream(UPSTREAM.id)!.isOwned);
  t.true(registry.getUpstream(UPSTREAM.id)!.backoffMs > 0);
  await registry.close();
});
