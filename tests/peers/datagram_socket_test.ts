import test from "ava";
import { withSockets } from "./with_sockets.ts";

test("a datagram to a malformed address is dropped, and others are sent", async (t) => {
  await withSockets(2, async ([sender, receiver]) => {
    const received = new Promise<string>((resolve) =>
      receiver!.socket.handle(
        "host_entries_request",
        (_datagram, address) => resolve(address),
      )
    );
    const datagram = { type: "host_entries_request", names: [1] } as const;
    for (const address of ["x", "127.0.0.1:0", "127.0.0.1:99999", ""]) {
      t.notThrows(() => sender!.socket.send(address, datagram), address);
    }
    sender!.socket.send(receiver!.address, datagram);
    t.is(await received, sender!.address);
  });
});
