import { pino } from "pino";
import test from "ava";
import { PublicationExchange } from "../../src/gateway/publication_exchange.ts";
import { PublicationReconciler } from "../../src/gateway/publication_reconciler.ts";
import type { PublicationStatus } from "../../src/peers/publication_status.ts";
import { PublicationReplica } from "../../src/published/publication_replica.ts";
import { buildEntry } from "../peers/build_entry.ts";
import { buildConfiguration } from "../published/build_published.ts";

const LOGGER = pino({ level: "silent" });
const LATE_AGE_MS = 1_500;

/** Creates a host's reconciler, with a publication of an age. */
function createHost(ageMs: number) {
  const replica = PublicationReplica.create({
    logger: LOGGER,
    onConfiguration: () => undefined,
    onNewEra: () => undefined,
    onUpstreamChanges: () => undefined,
    onEvacuations: () => undefined,
    onObservationGap: () => undefined,
  });
  replica.applySnapshot({
    revision: 1,
    configuration: buildConfiguration(),
    upstreams: [],
    evacuations: [],
    problems: [],
  }, performance.now() - ageMs);
  const reconciler = PublicationReconciler.create({
    replica,
    publicationExchange: PublicationExchange.create({
      replica,
      logger: LOGGER,
    }),
    lateAgeMs: LATE_AGE_MS,
    isSource: () => true,
  });
  return { replica, reconciler };
}

function buildStatus(
  replica: PublicationReplica,
  publicationAgeMs: number,
  isPlatformUnavailable: boolean,
): PublicationStatus {
  const { digest, revision } = replica;
  return { digest, revision, publicationAgeMs, isPlatformUnavailable };
}

// Guards against hosts that confirm an outage of the platform to each other after its end.
test("a host with a recent publication neither believes nor states that the platform does not respond", (t) => {
  const { replica, reconciler } = createHost(100);
  const status = buildStatus(replica, 5_000, true);
  reconciler.reconcile(buildEntry(), status, performance.now());
  t.false(reconciler.getStatus().isPlatformUnavailable);
  replica.recordOutage(performance.now());
  t.false(reconciler.getStatus().isPlatformUnavailable);
});

test("a host with a late publication believes and states that the platform does not respond", (t) => {
  const { replica, reconciler } = createHost(5_000);
  const status = buildStatus(replica, 5_000, true);
  reconciler.reconcile(buildEntry(), status, performance.now());
  t.true(replica.isPlatformUnavailable);
  t.true(reconciler.getStatus().isPlatformUnavailable);
});

test("an outage of the platform ends for a host that hears from another with a recent publication", (t) => {
  const { replica, reconciler } = createHost(5_000);
  replica.recordOutage(performance.now());
  const status = buildStatus(replica, 100, false);
  reconciler.reconcile(buildEntry(), status, performance.now());
  t.false(reconciler.getStatus().isPlatformUnavailable);
  const fresher = { ...status, digest: replica.digest + 1, revision: 9 };
  const late = createHost(5_000);
  late.replica.recordOutage(performance.now());
  late.reconciler.reconcile(buildEntry(), fresher, performance.now());
  t.false(late.replica.isPlatformUnavailable);
});
