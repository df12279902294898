// A model worker as a process of its own: streams events whose answers have neither a length nor chunks.
// Arguments: id, service, port (0: any), events, milliseconds between events. Prints its port, then a line for each run.
import { Worker } from "./worker.mjs";

const [id, service, port, events, eventMs] = process.argv.slice(2);

function run(request, response, _body, worker) {
  const attempt = request.headers["x-beechkeel-attempt-id"];
  let next = Number(request.headers["last-event-id"] ?? -1) + 1;
  console.log(`run ${attempt} ${next}`);
  const { socket } = response;
  const head = worker.sealed(request, { "Content-Type": "text/event-stream", Connection: "close" });
  socket.write("HTTP/1.1 200 OK\r\n" + Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join("") + "\r\n");
  const timer = setInterval(() => {
    socket.write(`id: ${next}\ndata: ${attempt} ${next}\n\n`);
    next += 1;
    if (next < Number(events)) return;
    clearInterval(timer);
    socket.end();
  }, Number(eventMs));
  socket.on("close", () => clearInterval(timer));
}

const worker = await Worker.create(id, service, run, { port: Number(port) });
console.log(`port ${worker.port}`);
