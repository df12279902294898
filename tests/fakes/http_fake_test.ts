import test from "ava";
import { readFileSync } from "node:fs";
import { FakeWorker } from "../../fakes/fake_worker.ts";
import { FaultProxy } from "../../fakes/fault_proxy.ts";
import { closeHttp, listenHttp } from "../../fakes/http_fake.ts";

/** First port that the system gives to a socket that names none. */
const FIRST_EPHEMERAL_PORT = Number(
  readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8").split(/\s/)[0],
);

test("the system gives the port of a closed fake to no other process", async (t) => {
  const { server, port } = await listenHttp((_request, response) =>
    void response.end()
  );
  await closeHttp(server);
  t.true(port < FIRST_EPHEMERAL_PORT, `port ${port}`);
});

test("the system gives the port of a proxy that does not listen to no other process", async (t) => {
  const worker = await FakeWorker.create("w-1");
  const proxy = await FaultProxy.create(Number(worker.address.split(":")[1]));
  t.true(proxy.port < FIRST_EPHEMERAL_PORT, `port ${proxy.port}`);
  proxy.close();
  await worker.close();
});
