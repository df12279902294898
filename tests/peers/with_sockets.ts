import { pino } from "pino";
import { DatagramSocket } from "../../src/peers/datagram_socket.ts";
import { getFreePort } from "../../tools/free_port.ts";

/** A socket for tests and its address. */
export interface TestSocket {
  socket: DatagramSocket;
  address: string;
}

/** Opens sockets on free ports, passes them to a test body and closes them.
 * @param count Number of sockets.
 * @param body The test body. */
export async function withSockets(
  count: number,
  body: (sockets: TestSocket[]) => Promise<void>,
): Promise<void> {
  const sockets: TestSocket[] = [];
  for (let index = 0; index < count; index++) {
    const address = `127.0.0.1:${await getFreePort()}`;
    const logger = pino({ level: "silent" });
    const socket = await DatagramSocket.create(address, logger);
    sockets.push({ socket, address });
  }
  try {
    await body(sockets);
  } finally {
    for (const { socket } of sockets) socket.close();
  }
}
