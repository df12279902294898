import test from "ava";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { createServer as createHttpServer } from "node:http";
import type { AddressInfo } from "node:net";
import { pino } from "pino";
import { DialError } from "../../src/network/dial_error.ts";
import { dialTcp } from "../../src/network/dial_tcp.ts";
import { parseRequestTarget } from "../../src/http/parse_request_target.ts";
import type { TunnelSocket } from "../../src/paths/tunnel_socket.ts";
import { openTunnel } from "../../src/paths/open_tunnel.ts";
import type { PathTarget } from "../../src/paths/path_target.ts";
import { RelayServer } from "../../src/paths/relay_server.ts";
import { UpstreamPath } from "../../src/paths/upstream_path.ts";
import { getFreePort } from "../../tools/free_port.ts";
import { resetSocket } from "../../fakes/reset_socket.ts";

/** Hash of the only listed upstream. */
const LISTED = 7;

/** State of a relay in a test. */
interface TestRelay {
  open: (instanceHash?: number) => Promise<TunnelSocket>;
  target: PathTarget;
  relay: RelayServer;
  /** Upstreams to which the relay could not connect. */
  failures: PathTarget[];
  /** Resolves with the relay's next connection to the upstream. */
  acceptConnection: () => Promise<Socket>;
  upstream: Server;
}

/** Runs a test body with an upstream, a relay to it and a client of the relay. */
async function withRelay(
  body: (relay: TestRelay) => Promise<void>,
  isAccepting = true,
): Promise<void> {
  const upstream = createServer().listen(0, "127.0.0.1");
  await once(upstream, "listening");
  const { port } = upstream.address() as AddressInfo;
  const target = buildTarget(LISTED, `127.0.0.1:${port}`);
  const failures: PathTarget[] = [];
  const relay = RelayServer.create({
    logger: pino({ level: "silent" }),
    dial: dialTcp,
    findTarget: (hash) => hash === LISTED ? target : undefined,
    isAuthorized: () => true,
    isAccepting: () => isAccepting,
    onDialFailure: (failed) => failures.push(failed),
  });
  const server = createHttpServer((request, response) => {
    const { searchParams } = parseRequestTarget(request.url);
    relay.handle(request, response, Number(searchParams.get("upstream")));
  });
  const peerPort = await getFreePort();
  server.listen(peerPort, "127.0.0.1");
  await once(server, "listening");
  const host = {
    id: "g-1",
    name: 1,
    peerAddress: `127.0.0.1:${peerPort}`,
    hall: "h",
    isPartitioned: false,
  };
  try {
    await body({
      open: (hash = LISTED) => openTunnel(host, buildTarget(hash, "unused")),
      target,
      relay,
      failures,
      acceptConnection: async () =>
        (await once(upstream, "connection"))[0] as Socket,
      upstream,
    });
  } finally {
    relay.close();
    server.close();
    server.closeAllConnections();
    upstream.close();
  }
}

function buildTarget(instanceHash: number, address: string): PathTarget {
  return {
    id: `u-${instanceHash}`,
    instanceHash,
    address,
    lastReceivedAt: 0,
    isRemoved: false,
    path: UpstreamPath.create(),
  };
}

async function getFailure(opening: Promise<TunnelSocket>): Promise<string> {
  return await opening.then(
    () => "opened",
    (thrown) => DialError.from(thrown).failure,
  );
}

test("bytes pass in both directions, and the upstream learns at once that the other host has closed", async (t) => {
  await withRelay(async ({ open, acceptConnection, relay }) => {
    const accepted = acceptConnection();
    const [tunnel, connection] = await Promise.all([open(), accepted]);
    tunnel.write("request");
    t.is(String((await once(connection, "data"))[0]), "request");
    connection.write("response");
    t.is(String((await once(tunnel, "data"))[0]), "response");
    t.is(relay.openTunnels, 1);
    const closed = once(connection, "close");
    connection.resume();
    tunnel.destroy();
    await closed;
    t.pass();
  });
});

test("a reset by the upstream is not taken for the end of a complete response", async (t) => {
  await withRelay(async ({ open, acceptConnection }) => {
    const accepted = acceptConnection();
    const [tunnel, connection] = await Promise.all([open(), accepted]);
    const failed = once(tunnel, "error");
    resetSocket(connection);
    await failed;
    t.pass();
  });
});

test("an end of the upstream's connection ends the tunnel, the loss of the relay does not", async (t) => {
  await withRelay(async ({ open, acceptConnection, relay }) => {
    const accepted = acceptConnection();
    const [tunnel, connection] = await Promise.all([open(), accepted]);
    const ended = once(tunnel, "end");
    tunnel.resume();
    connection.end("the last bytes");
    await ended;
    const [lost] = await Promise.all([open(), acceptConnection()]);
    const failed = once(lost, "error");
    relay.close();
    await failed;
    t.pass();
  });
});

test("only listed upstreams are connected to, by this host's own paths", async (t) => {
  await withRelay(async ({ open, target, relay }) => {
    t.is(await getFailure(open(LISTED + 1)), "failed");
    target.path.change("relayed");
    t.is(await getFailure(open()), "failed");
    t.is(relay.openTunnels, 0);
  });
});

test("a host that takes no new work relays nothing", async (t) => {
  await withRelay(async ({ open }) => {
    t.is(await getFailure(open()), "failed");
  }, false);
});

test("a refused connection is reported as such, and the path to the upstream is checked", async (t) => {
  await withRelay(async ({ open, upstream, failures, target }) => {
    const closed = once(upstream, "close");
    upstream.close();
    await closed;
    t.is(await getFailure(open()), "refused");
    t.deepEqual(failures, [target]);
  });
});
