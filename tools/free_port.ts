import { createSocket } from "node:dgram";
import { createServer, type Server } from "node:net";

/** First lock port; lock ports and blocks lie below the range of ephemeral ports. */
const FIRST_LOCK_PORT = 9_000;
const FIRST_BLOCK_PORT = 10_000;
const BLOCK_SIZE = 400;
const BLOCK_COUNT = 50;

let block: Promise<{ first: number; used: number }> | undefined;

/** Returns a loopback port that is free for TCP and UDP. Each process takes ports from a block that it has locked, so
 * that no two processes that use this function get the same port. */
export async function getFreePort(): Promise<number> {
  block ??= claimBlock();
  const claimed = await block;
  for (let tries = 0; tries < BLOCK_SIZE; tries++) {
    const port = claimed.first + claimed.used++ % BLOCK_SIZE;
    if (await isFree(port)) return port;
  }
  throw new Error(
    "no free port is left in the block that this process has locked",
  );
}

/** Locks a block of ports for this process by listening on the block's lock port until the process exits. */
async function claimBlock(): Promise<{ first: number; used: number }> {
  for (let index = 0; index < BLOCK_COUNT; index++) {
    const lock = await tryListen(FIRST_LOCK_PORT + index);
    if (!lock) continue;
    lock.unref();
    return { first: FIRST_BLOCK_PORT + index * BLOCK_SIZE, used: 0 };
  }
  throw new Error("all port blocks are locked by other processes");
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (!server) return false;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return await isFreeForUdp(port);
}

async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

async function isFreeForUdp(port: number): Promise<boolean> {
  const socket = createSocket("udp4");
  return await new Promise((resolve) => {
    socket.once("error", () => resolve(false));
    socket.bind(port, "127.0.0.1", () => socket.close(() => resolve(true)));
  });
}
