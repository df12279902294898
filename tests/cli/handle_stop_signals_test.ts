import test from "ava";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { handleStopSignals } from "../../src/cli/handle_stop_signals.ts";
import { readClock } from "../../src/clock/clock.ts";

// Guards against a process that is killed within its stop, because it was still starting when it was told to stop.
test.serial("the time of a stop counts from a signal that arrives while the program starts", async (t) => {
  let finishStart: () => void = () => undefined;
  const started = new Promise<void>((resolve) => finishStart = resolve);
  const drained = new Promise<number>((resolve) => {
    const starting = started.then(() => ({
      drain: (signaledAt: number) => {
        resolve(signaledAt);
        return new Promise<void>(() => undefined);
      },
      close: () => Promise.resolve(),
    }));
    handleStopSignals(starting);
  });
  process.emit("SIGTERM");
  const emittedAt = readClock();
  await delay(50);
  finishStart();
  t.true(await drained <= emittedAt);
  process.removeAllListeners("SIGTERM");
  process.removeAllListeners("SIGINT");
});
