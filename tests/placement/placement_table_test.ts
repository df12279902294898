import test from "ava";
import { FleetView } from "../../src/membership/fleet_view.ts";
import { PlacementTable } from "../../src/placement/placement_table.ts";
import type { Host } from "../../src/configuration_service/host_schema.ts";

function buildHost(id: string, role: Host["role"], hall = "a"): Host {
  const fields = {
    partner: "kilima",
    region: "dar",
    address: "127.0.0.1",
    port: 1,
    slots: 8,
    checksFence: false,
  };
  return { id, role, hall, state: "live", models: ["m1"], ...fields };
}

function createTable(
  engines: readonly string[],
  routers: readonly string[] = ["r1", "r2", "r3"],
): PlacementTable {
  const views = routers.map((id) => ({
    host: buildHost(id, "router"),
    heard: true,
    dead: false,
    unavailable: false,
  }));
  return PlacementTable.create(
    FleetView.create(
      "r1",
      1,
      views,
      engines.map((id) => buildHost(id, "engine")),
    ),
    "dar",
  );
}

const ENGINES = Array.from({ length: 50 }, (_, index) => `engine-${index}`);
const CHATS = Array.from(
  { length: 2_000 },
  (_, index) => `kilima/rosters/chat-${index}`,
);
const REQUIREMENT = { role: "engine", model: "m1" } as const;

test("removing an engine moves only its own chats, each to the second engine in its order", (t) => {
  const before = createTable(ENGINES);
  const after = createTable(ENGINES.slice(1));
  for (const chat of CHATS) {
    const [first, second] = before.getCandidates(REQUIREMENT, chat);
    t.is(
      after.getCandidates(REQUIREMENT, chat)[0],
      first === "engine-0" ? second : first,
    );
  }
});

test("chats are spread evenly over engines", (t) => {
  const table = createTable(ENGINES);
  const counts = new Map<string, number>();
  for (const chat of CHATS) {
    const first = table.getCandidates(REQUIREMENT, chat)[0]!;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  t.is(counts.size, ENGINES.length);
  t.true(Math.max(...counts.values()) < 2 * CHATS.length / ENGINES.length);
});

test("losing a router moves only its own upstreams", (t) => {
  const before = createTable(ENGINES);
  const after = createTable(ENGINES, ["r1", "r3"]);
  for (const id of ENGINES) {
    const [first, second] = before.getOwners(buildHost(id, "engine"));
    t.is(
      after.getOwners(buildHost(id, "engine"))[0],
      first === "r2" ? second : first,
    );
  }
});
