/** An engine carried five requests where four are allowed, after a router that had owned it was frozen and woke: three were
 * started by the router that owned it again, and two by the one that had owned it meanwhile, from its queue, for it asked
 * who the owner is only as an offer came. Its lines say `running=2 foreign=0 cap=3 isOwned=false`. */
import { start } from "nact";
import { pino } from "pino";
import test from "ava";
import { FakeService } from "../../fakes/fake_service.ts";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import { PauseGuard } from "../../src/clock/pause_guard.ts";
import type { Host } from "../../src/configuration_service/host_schema.ts";
import { LoadBook } from "../../src/owner/load_book.ts";
import { Owner } from "../../src/owner/owner.ts";
import type { Frame, FrameOf } from "../../src/peer/frame_schema.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import { waitUntil } from "../system/with_fleet.ts";
import {
  buildService,
  buildSettings,
  buildView,
  OTHER_ROUTERS,
} from "./build_fleet.ts";
import { buildOffer, createPort } from "./build_offer.ts";

/** Longer than this test takes, in milliseconds. */
const TEST_TIMEOUT_MS = 60_000;
/** Requests that the upstream takes at once. */
const SLOTS = 2;
/** Offers; more than that. */
const OFFER_COUNT = 6;

function buildServiceOffer(exchange: number): FrameOf<"offer"> {
  return buildOffer({
    exchange,
    requestId: `request-${exchange}`,
    upstreamId: "s-0",
    work: "call",
    method: "GET",
    path: "/",
    customer: `c-${exchange}`,
    remainingMs: TEST_TIMEOUT_MS,
  });
}

/** The entry's end of a connection; keeps what the owner sends. */
function createRecordingPort() {
  const frames: Frame[] = [];
  const port = createPort("r-9", (frame) => void frames.push(frame));
  const getAll = <T extends Frame["type"]>(type: T) =>
    frames.filter((frame): frame is FrameOf<T> => frame.type === type);
  return { port, getAll };
}

/** An owner that sees the routers it is told. */
function createOwner(upstream: Host) {
  const logger = pino({ level: "silent" });
  let view = buildView(1, upstream, []);
  const guard = PauseGuard.create(TEST_TIMEOUT_MS, () => undefined);
  guard.markHeard();
  const owner = Owner.create({
    settings: buildSettings(),
    system: start(),
    guard,
    logger,
    audit: AuditTrail.create(10, logger),
    loads: LoadBook.create(),
    getView: () => view,
    getPlacement: () => PlacementTable.create(view, "dar"),
    onLoadGrew: () => undefined,
  });
  const setOtherRouters = (others: readonly string[]) =>
    view = buildView(view.version + 1, upstream, others);
  const close = async () => {
    guard.close();
    await owner.close();
  };
  return { owner, see: setOtherRouters, close };
}

test("what waits at a router that owns the upstream no more goes to the one that does", async (t) => {
  const service = await FakeService.create({ callMs: TEST_TIMEOUT_MS });
  const { owner, see, close } = createOwner({
    ...buildService(service.port),
    slots: SLOTS,
  });
  const { port, getAll } = createRecordingPort();
  for (let exchange = 0; exchange < OFFER_COUNT; exchange++) {
    owner.offer(port, buildServiceOffer(exchange));
  }
  await waitUntil(
    "all are accepted",
    () => getAll("accepted").length === OFFER_COUNT,
  );
  const waiting = getAll("accepted").filter(({ queued }) => queued);
  t.true(waiting.length > 0);
  see(OTHER_ROUTERS);
  await waitUntil(
    "they are told",
    () => getAll("declined").length === waiting.length,
  );
  for (const { reason, owner: other } of getAll("declined")) {
    t.is(reason, "moved");
    t.true(OTHER_ROUTERS.includes(other));
  }
  await close();
  await service.close();
});
