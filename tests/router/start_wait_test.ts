import test from "ava";
import { StartWait } from "../../src/router/start_wait.ts";

function createWait(isStarting: () => boolean = () => true) {
  let now = 0;
  const logged: Record<string, unknown>[] = [];
  const wait = StartWait.create({
    logger: { warn: (fields: object) => logged.push({ ...fields }) } as never,
    isStarting,
    now: () => now,
    sleep: (milliseconds) => Promise.resolve(now += milliseconds),
  });
  return { wait, logged, getNow: () => now };
}

test("a short wait is not logged", async (t) => {
  const { wait, logged, getNow } = createWait();
  await wait.waitFor("host_list", () => getNow() >= 1_000);
  t.deepEqual(logged, []);
});

// Guards against starts that take long without a line that says why.
test("a long wait is logged with its reason, once in two seconds", async (t) => {
  const { wait, logged, getNow } = createWait();
  await wait.waitFor(
    "documents",
    () => getNow() >= 60_000,
    () => ({ peers: 2 }),
  );
  t.is(logged.length, 29);
  t.like(logged[0], { reason: "documents", waitedMs: 2_000, peers: 2 });
});

test("a router that is stopped while it starts waits no longer", async (t) => {
  let isStarting = true;
  const { wait } = createWait(() => isStarting);
  await wait.waitFor("documents", () => {
    isStarting = false;
    return false;
  });
  t.pass();
});
