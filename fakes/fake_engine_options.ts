/** Options of a fake engine. */
export interface FakeEngineOptions {
  id: string;
  models: string[];
  /** Capacity of the prefix cache in tokens. */
  cacheTokens: number;
  /** Time to prefill a thousand uncached prompt tokens, in milliseconds. */
  prefillMsPerThousand: number;
  /** Time per token of a response, in milliseconds, before the slowdown by the requests in flight. */
  tokenMs: number;
  /** Fraction that each request in flight adds to the time per token of all of them. */
  batchSlowdown: number;
  /** Requests computed concurrently; further ones wait, those with the higher priority first. */
  slots: number;
  /** Age of the load in load reports, in milliseconds. */
  reportLagMs: number;
  /** Whether orders with an older fencing token are rejected. */
  checksFence: boolean;
  /** Published software version; undefined if it publishes none. */
  softwareVersion: string | undefined;
  /** Port to listen on; 0 selects any free port. */
  port: number;
}

/** Default options of an engine. */
export const DEFAULT_ENGINE_OPTIONS: FakeEngineOptions = {
  id: "engine",
  models: ["m1"],
  cacheTokens: 200_000,
  prefillMsPerThousand: 20,
  tokenMs: 2,
  batchSlowdown: 0.02,
  slots: 64,
  reportLagMs: 300,
  checksFence: true,
  softwareVersion: undefined,
  port: 0,
};
