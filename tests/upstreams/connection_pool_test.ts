import test from "ava";
import { ConnectionPool } from "../../src/upstreams/connection_pool.ts";

function createPool(isTrusted: () => boolean): ConnectionPool {
  return ConnectionPool.create({
    address: "127.0.0.1:1",
    connect: () => Promise.reject(new Error("not connected")),
    isTrusted,
  });
}

test("a connection that was released is reused while it can be expected to be alive", (t) => {
  let isTrusted = true;
  const pool = createPool(() => isTrusted);
  const connection = pool.acquire();
  pool.release(connection);
  t.is(pool.acquire(), connection);
  pool.release(connection);
  isTrusted = false;
  t.not(pool.acquire(), connection);
  t.false(connection.isUsable);
});

// Guards against tunnels that stay open unused, so that the relaying host waits for them when it stops.
test("a connection that is not trusted any more is closed when it is released", (t) => {
  let isTrusted = true;
  const pool = createPool(() => isTrusted);
  const connection = pool.acquire();
  isTrusted = false;
  pool.release(connection);
  t.false(connection.isUsable);
});
