import test from "ava";
import { pino } from "pino";
import { startActorSystem, stopActorSystem } from "../../src/actors/actor.ts";
import { FleetView, type RouterView } from "../../src/membership/fleet_view.ts";
import { Witness, type WitnessOptions } from "../../src/witness/witness.ts";

const RECORD_COUNT = 200;
const ROUTER_IDS = ["r1", "r2", "r3", "r4", "r5"];

// Guards against votes and stops that wait for an unreachable router once for each record.
test("records are handed on with one connection attempt to each router", async (t) => {
  const attempts: string[] = [];
  const system = startActorSystem();
  const witness = Witness.create({
    settings: { id: "r1", keys: { rememberMs: 60_000 } },
    system,
    logger: pino({ level: "silent" }),
    connectionPool: {
      getClient: (id: string) => {
        attempts.push(id);
        return Promise.resolve(undefined);
      },
    },
  } as unknown as WitnessOptions);
  const routers = ROUTER_IDS.map((id) => ({ host: { id } }) as RouterView);
  witness.handleViewChange(FleetView.create("r1", 1, routers, []));
  for (let record = 0; record < RECORD_COUNT; record++) {
    witness.handleRecord({
      type: "record",
      exchange: 0,
      key: `k${record}`,
      fingerprint: "f",
      attempt: "a",
      holder: "r1",
    });
  }
  await witness.drain();
  t.true(attempts.length > 0);
  t.deepEqual([...attempts].sort(), [...new Set(attempts)].sort());
  witness.close();
  stopActorSystem(system);
});
