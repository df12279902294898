import type { Host } from "../../src/configuration_service/host_schema.ts";

export const REGION = "dar";
/** The engine that requests go to. */
export const ENGINE_ID = "e-0";
/** Engines of the pool. */
const POOL_SIZE = 6;

/** Builds an entry of the list of hosts.
 * @param id Its id.
 * @param role What it is. */
export function buildHost(id: string, role: "engine" | "router"): Host {
  return {
    id,
    role,
    partner: "kilima",
    region: REGION,
    hall: "temeke",
    address: "127.0.0.1",
    port: 1,
    state: "live",
    models: role === "engine" ? ["m"] : [],
    slots: 64,
    checksFence: false,
  };
}

/** The engines of the pool. */
export const ENGINES = Array.from(
  { length: POOL_SIZE },
  (_, index) => buildHost(`e-${index}`, "engine"),
);
