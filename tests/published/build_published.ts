import type {
  PublishedConfiguration,
  Route,
} from "../../src/published/configuration_schema.ts";
import type { PublishedUpstream } from "../../src/published/upstream_schema.ts";

/** Builds a route.
 * @param changes Fields that differ from a repeatable route of service `s` with the prefix `/a/`. */
export function buildRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/a/",
    kind: "repeatable",
    timeoutMs: 5_000,
    objectiveMs: 500,
    priority: 0,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isAnonymous: true,
    isResumable: false,
    ...changes,
  };
}

/** Builds a configuration.
 * @param changes Fields that differ from a configuration with a single route. */
export function buildConfiguration(
  changes: Partial<PublishedConfiguration> = {},
): PublishedConfiguration {
  return {
    version: 1,
    routes: [buildRoute()],
    services: [
      { name: "s", maxConnections: 100, canFetch: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

/** Builds an upstream.
 * @param changes Fields that differ from a live upstream of service `s`. */
export function buildUpstream(
  changes: Partial<PublishedUpstream> = {},
): PublishedUpstream {
  return {
    id: "u",
    service: "s",
    address: "127.0.0.1:9",
    hall: "h",
    slots: 4,
    arrival: 1,
    isLeaving: false,
    ...changes,
  };
}
