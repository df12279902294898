/** How a stand-in engine behaves. */
export interface FakeEngineOptions {
  id: string;
  models: string[];
  /** Tokens the prefix cache holds. */
  cacheTokens: number;
  /** Time to read a thousand uncached prompt tokens. */
  prefillMsPerThousand: number;
  /** Time for one token of the answer when the engine is alone. */
  tokenMs: number;
  /** Part by which each further request in flight slows the others. */
  batchSlowdown: number;
  /** Requests computed at once; those beyond wait, the more urgent first. */
  slots: number;
  /** Lag of the load report. */
  reportLagMs: number;
  /** Whether orders with an older fence are refused. */
  checksFence: boolean;
  /** Port to listen on; 0 takes any free one. */
  port: number;
}

/** How an engine behaves where nothing else is said. */
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
  port: 0,
};
