import { pino } from "pino";
import test from "ava";
import { closeHttp, listenHttp } from "../../fakes/http_fake.ts";
import { PublicationExchange } from "../../src/gateway/publication_exchange.ts";
import { PublicationReplica } from "../../src/published/publication_replica.ts";
import {
  buildConfiguration,
  buildUpstream,
} from "../published/build_published.ts";
import { waitUntil } from "../system/with_fleet.ts";

const LOGGER = pino({ level: "silent" });
/** Number of reports that a host gets from others while a fetch is not due. */
const REPORTS = 20;

function createReplica(): PublicationReplica {
  return PublicationReplica.create({
    logger: LOGGER,
    onConfiguration: () => undefined,
    onNewEra: () => undefined,
    onUpstreamChanges: () => undefined,
    onEvacuations: () => undefined,
    onObservationGap: () => undefined,
  });
}

/** Creates a replica of a snapshot.
 * @param revision Revision of the snapshot.
 * @param upstreamIds Ids of the upstreams in it, published one after the other up to that revision. */
function createReplicaOf(
  revision: number,
  ...upstreamIds: string[]
): PublicationReplica {
  const replica = createReplica();
  const snapshot = {
    revision,
    configuration: buildConfiguration(),
    upstreams: upstreamIds.map((id, index) => ({
      id,
      revision: revision - upstreamIds.length + index + 1,
      upstream: buildUpstream({ id }),
    })),
    evacuations: [],
    problems: [],
  };
  replica.applySnapshot(snapshot, performance.now());
  return replica;
}

/** Runs a test body with an exchange and a peer that records its requests.
 * @param replica Publication known to the exchange.
 * @param body The test body; gets the positions after which the peer was asked for changes.
 * @param peerReplica Publication known to the peer. */
async function withPeer(
  replica: PublicationReplica,
  body: (
    fetch: () => Promise<void>,
    askedAfter: readonly string[],
    exchange: PublicationExchange,
  ) => Promise<void>,
  peerReplica = createReplicaOf(1),
): Promise<void> {
  const askedAfter: string[] = [];
  const served = PublicationExchange.create({
    replica: peerReplica,
    logger: LOGGER,
  });
  const { server, port } = await listenHttp((request, response) => {
    const url = new URL(request.url ?? "/", "http://peer");
    askedAfter.push(url.searchParams.get("after") ?? "");
    served.respond(response, url.searchParams);
  });
  const exchange = PublicationExchange.create({ replica, logger: LOGGER });
  try {
    await body(
      () => exchange.fetch("g-1", `127.0.0.1:${port}`),
      askedAfter,
      exchange,
    );
  } finally {
    await exchange.close();
    await served.close();
    await closeHttp(server);
  }
}

test("many reports of changes within the interval cause one more fetch, at its end", async (t) => {
  await withPeer(
    createReplicaOf(1),
    async (fetch, askedAfter) => {
      await fetch();
      for (let report = 0; report < REPORTS; report++) await fetch();
      t.is(askedAfter.length, 1);
      await waitUntil("the deferred fetch", () => askedAfter.length > 1);
      t.is(askedAfter.length, 2);
    },
  );
});

test("a host without a configuration fetches without delay until it has one", async (t) => {
  const replica = createReplica();
  await withPeer(replica, async (fetch, askedAfter) => {
    await fetch();
    t.is(askedAfter.length, 1);
    t.truthy(replica.routes);
  });
});

test("a host that knows more than its peer goes on asking only for changes", async (t) => {
  await withPeer(createReplicaOf(9, "a", "b"), async (fetch, askedAfter) => {
    await fetch();
    await fetch();
    await waitUntil("the second fetch", () => askedAfter.length === 2);
    t.deepEqual(askedAfter, ["9", "9"]);
  }, createReplicaOf(8, "a"));
});

test("a host that lacks what its peer knows up to the same position asks for everything", async (t) => {
  await withPeer(createReplicaOf(9, "b"), async (fetch, askedAfter) => {
    await fetch();
    await fetch();
    await waitUntil("the second fetch", () => askedAfter.length === 2);
    t.deepEqual(askedAfter, ["9", "0"]);
  }, createReplicaOf(9, "a", "b"));
});

// Guards against fetches that take the place of others while one gets no response.
test("a change is learned from one host while another that was asked for it does not respond", async (t) => {
  const silent = await listenHttp(() => undefined);
  const replica = createReplicaOf(1);
  await withPeer(replica, async (fetch, _askedAfter, exchange) => {
    const unanswered = exchange.fetch("g-2", `127.0.0.1:${silent.port}`);
    await fetch();
    await waitUntil("the change is learned", () => replica.revision === 2);
    t.is(replica.revision, 2);
    await unanswered;
  }, createReplicaOf(2, "u"));
  await closeHttp(silent.server);
});
