import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { FaultProxy } from "../../fakes/fault_proxy.ts";

/** A proxy with one connection through it. */
async function createLink() {
  const accepted: Socket[] = [];
  const server = createServer((socket) => accepted.push(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const proxy = await FaultProxy.create(
    (server.address() as AddressInfo).port,
  );
  const client = connect(proxy.port, "127.0.0.1");
  const [far] = await once(server, "connection") as [Socket];
  const close = () => {
    client.destroy();
    for (const socket of accepted) socket.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, client, far, close };
}

test("what is held up by a proxy is not overtaken by what comes after the delay has ended", async (t) => {
  const { proxy, client, far, close } = await createLink();
  let text = "";
  const isWhole = new Promise<void>((resolve) =>
    client.on("data", (bytes: Buffer) => {
      text += String(bytes);
      if (text.length >= 2) resolve();
    })
  );
  proxy.setMode("pass", 60);
  far.write("a");
  await new Promise((resolve) => setTimeout(resolve, 20));
  proxy.setMode("pass");
  far.write("b");
  await isWhole;
  t.is(text, "ab");
  close();
});
