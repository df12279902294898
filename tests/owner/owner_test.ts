/** Guards against a former owner that starts queued requests. After an owner was frozen and resumed, its engine had
 * five requests where four are allowed: three started by that router, which was the owner again, and two by the router
 * that had been the owner meanwhile. The latter started them from its queue, because it checked the ownership only when
 * an offer arrived (its log: `running=2 foreign=0 cap=3 isOwned=false`). */
import { start } from "nact";
import { pino } from "pino";
import test from "ava";
import { FakeService } from "../../fakes/fake_service.ts";
import { AuditTrail } from "../../src/audit/audit_trail.ts";
import { PauseDetector } from "../../src/clock/pause_detector.ts";
import type { Host } from "../../src/configuration_service/host_schema.ts";
import { LoadTable } from "../../src/owner/load_table.ts";
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

/** A time that does not pass during this test. */
const LONGER_THAN_TEST_MS = 60_000;
/** Requests that the upstream processes concurrently. */
const SLOTS = 2;
/** Number of offers; exceeds the slots, so that some are queued. */
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
    remainingMs: LONGER_THAN_TEST_MS,
  });
}

/** Creates a port that records the frames sent by the owner. */
function createRecordingPort() {
  const frames: Frame[] = [];
  const port = createPort("r-9", (frame) => void frames.push(frame));
  const getAll = <T extends Frame["type"]>(type: T) =>
    frames.filter((frame): frame is FrameOf<T> => frame.type === type);
  return { port, getAll };
}

/** Creates an owner whose fleet view is set by the test. */
function createOwner(upstream: Host) {
  const logger = pino({ level: "silent" });
  let view = buildView(1, upstream, []);
  const pauseDetector = PauseDetector.create(
    LONGER_THAN_TEST_MS,
    () => undefined,
  );
  pauseDetector.markFresh();
  const owner = Owner.create({
    settings: buildSettings(),
    system: start(),
    pauseDetector,
    logger,
    audit: AuditTrail.create(10, logger),
    loads: LoadTable.create(),
    getView: () => view,
    getPlacement: () => PlacementTable.create(view, "dar"),
    onLoadGrew: () => undefined,
  });
  const setOtherRouters = (others: readonly string[]) =>
    view = buildView(view.version + 1, upstream, others);
  const close = async () => {
    pauseDetector.close();
    await owner.close();
  };
  return { owner, setOtherRouters, close };
}

test("requests queued at a router that no longer owns the upstream are redirected to the new owner", async (t) => {
  const service = await FakeService.create({ callMs: LONGER_THAN_TEST_MS });
  const { owner, setOtherRouters, close } = createOwner({
    ...buildService(service.port),
    slots: SLOTS,
  });
  const { port, getAll } = createRecordingPort();
  for (let exchange = 0; exchange < OFFER_COUNT; exchange++) {
    owner.offer(port, buildServiceOffer(exchange));
  }
  await waitUntil(
    "all offers are accepted",
    () => getAll("accepted").length === OFFER_COUNT,
  );
  const waiting = getAll("accepted").filter(({ queued }) => queued);
  t.true(waiting.length > 0);
  setOtherRouters(OTHER_ROUTERS);
  await waitUntil(
    "the queued requests are declined",
    () => getAll("declined").length === waiting.length,
  );
  for (const { reason, owner: other } of getAll("declined")) {
    t.is(reason, "moved");
    t.true(OTHER_ROUTERS.includes(other));
  }
  await close();
  await service.close();
});
