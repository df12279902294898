import { createSocket } from "node:dgram";
import { type AddressInfo, createServer } from "node:net";

/** Returns a port of the loopback address that is free for TCP and UDP. */
export async function getFreePort(): Promise<number> {
  for (;;) {
    const port = await getFreeTcpPort();
    if (await isFreeForUdp(port)) return port;
  }
}

async function getFreeTcpPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

async function isFreeForUdp(port: number): Promise<boolean> {
  const socket = createSocket("udp4");
  return await new Promise((resolve) => {
    socket.once("error", () => resolve(false));
    socket.bind(port, "127.0.0.1", () => socket.close(() => resolve(true)));
  });
}
