import type { BuildOptions, Plugin } from "esbuild";

/** Native modules that packages use where they are there. */
const OPTIONAL_MODULES = [
  "unix-dgram",
  "bufferutil",
  "utf-8-validate",
  "msgpackr-extract",
];
/** Stands for each of them in the bundle. */
const ABSENT = "./tools/absent_module.cjs";

/** Leaves out the translations of zod's messages. */
const englishOnly: Plugin = {
  name: "english-only",
  setup: (building) => {
    const filter = /zod.*locales\/index\.[cm]?js$/;
    building.onLoad({ filter }, () => ({ contents: "export {};" }));
  },
};

/** Leaves out modules that are never called, for what they load costs a start tens of milliseconds: HTTP/2 of the
 * client, and sending and default values of the metrics. */
const neverCalled: Plugin = {
  name: "never-called",
  setup: (building) => {
    const filter =
      /(client-h2|prom-client.lib.(pushgateway|defaultMetrics|cluster))\.js$/;
    building.onLoad({ filter }, () => ({
      contents: "module.exports = function absent() {};",
    }));
  },
};

/** How every bundle is made. */
export const BUNDLE_OPTIONS = {
  format: "cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  alias: {
    ...Object.fromEntries(OPTIONAL_MODULES.map((name) => [name, ABSENT])),
    undici: "./tools/undici_subset.cjs",
  },
  plugins: [englishOnly, neverCalled],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "error",
} satisfies BuildOptions;
