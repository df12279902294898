import type { Host } from "../../src/configuration_service/host_schema.ts";

export const REGION = "dar";
/** Id of the engine that receives the requests. */
export const ENGINE_ID = "e-0";
/** Number of engines in the pool. */
const POOL_SIZE = 6;

/** Builds an entry of the host list.
 * @param id Id of the host.
 * @param role Role of the host. */
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
