import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { inject } from "postject";
import { BINARY_PATH, BUNDLE_PATH } from "./bundle_path.ts";

const BLOB_PATH = "dist/beechkeel.blob";
const SEA_CONFIGURATION_PATH = "dist/sea.json";
/** Sentinel in the Node executable that marks it as prepared for an injected blob; defined by Node's documentation. */
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

writeFileSync(
  SEA_CONFIGURATION_PATH,
  JSON.stringify({
    main: BUNDLE_PATH,
    output: BLOB_PATH,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, [
  "--experimental-sea-config",
  SEA_CONFIGURATION_PATH,
], {
  stdio: "ignore",
});
copyFileSync(process.execPath, BINARY_PATH);
await inject(BINARY_PATH, "NODE_SEA_BLOB", readFileSync(BLOB_PATH), {
  sentinelFuse: SENTINEL_FUSE,
});
console.log(`built ${BINARY_PATH}`);
