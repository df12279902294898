import type { BuildOptions, Plugin } from "esbuild";

/** Native modules that packages use if they are installed. */
const OPTIONAL_MODULES = [
  "unix-dgram",
  "bufferutil",
  "utf-8-validate",
  "msgpackr-extract",
];
/** Module that replaces each of them in the bundle. */
const OPTIONAL_MODULE_STUB = "./tools/optional_module_stub.cjs";

/** Omits the translations of zod's messages. */
const omitTranslations: Plugin = {
  name: "english-only",
  setup: (build) => {
    const filter = /zod.*locales\/index\.[cm]?js$/;
    build.onLoad({ filter }, () => ({ contents: "export {};" }));
  },
};

/** Replaces modules that are never called with stubs, because loading their dependencies adds tens of milliseconds to
 * the start-up time: undici's HTTP/2 client, and prom-client's push gateway, default metrics and cluster support. */
const stubUnusedModules: Plugin = {
  name: "never-called",
  setup: (build) => {
    const filter =
      /(client-h2|prom-client.lib.(pushgateway|defaultMetrics|cluster))\.js$/;
    build.onLoad({ filter }, () => ({
      contents: "module.exports = function absent() {};",
    }));
  },
};

/** Build options shared by all bundles. */
export const BUNDLE_OPTIONS = {
  format: "cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  alias: {
    ...Object.fromEntries(
      OPTIONAL_MODULES.map((name) => [name, OPTIONAL_MODULE_STUB]),
    ),
    undici: "./tools/undici_subset.cjs",
  },
  plugins: [omitTranslations, stubUnusedModules],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "error",
} satisfies BuildOptions;
