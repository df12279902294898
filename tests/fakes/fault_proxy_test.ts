import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { FaultProxy } from "../../fakes/fault_proxy.ts";

/** Creates a proxy with one connection through it. */
async function connectThroughProxy() {
  const accepted: Socket[] = [];
  const server = createServer((socket) => accepted.push(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const proxy = await FaultProxy.create(
    (server.address() as AddressInfo).port,
  );
  const client = connect(proxy.port, "127.0.0.1");
  const [serverSocket] = await once(server, "connection") as [Socket];
  const close = () => {
    client.destroy();
    for (const socket of accepted) socket.destroy();
    proxy.close();
    server.close();
  };
  return { proxy, client, serverSocket, close };
}

test("data delayed by a proxy is not overtaken by data sent after the delay was removed", async (t) => {
  const { proxy, client, serverSocket, close } = await connectThroughProxy();
  let text = "";
  const receivedBoth = new Promise<void>((resolve) =>
    client.on("data", (bytes: Buffer) => {
      text += String(bytes);
      if (text.length >= 2) resolve();
    })
  );
  proxy.setMode("pass", 60);
  serverSocket.write("a");
  await new Promise((resolve) => setTimeout(resolve, 20));
  proxy.setMode("pass");
  serverSocket.write("b");
  await receivedBoth;
  t.is(text, "ab");
  close();
});
