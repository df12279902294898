/** Listens on ports without accepting connections: the thread blocks, and the connections that fill the backlogs keep
 * the kernel from answering any other. */
const { createServer } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");

const { ports, released } = workerData;
/** Minimum backlog; the kernel queues one connection more. */
const BACKLOG = 1;

const servers = ports.map((port) =>
  createServer().listen({ port, host: "127.0.0.1", backlog: BACKLOG })
);
const listening = servers.map((server) =>
  new Promise((resolve, reject) => {
    server.once("listening", resolve);
    server.once("error", reject);
  })
);
Promise.all(listening).then(() => {
  parentPort.postMessage("listening");
  setImmediate(() => {
    Atomics.wait(released, 0, 0);
    for (const server of servers) server.close();
    parentPort.close();
  });
});
