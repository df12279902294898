import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { inject } from "postject";
import { BINARY, BUNDLE } from "./bundle_path.ts";

const BLOB = "dist/beechkeel.blob";
const CONFIGURATION = "dist/sea.json";
/** The mark in Node's executable that says where a blob may be put; given by Node's documentation. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

writeFileSync(
  CONFIGURATION,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", CONFIGURATION], {
  stdio: "ignore",
});
copyFileSync(process.execPath, BINARY);
await inject(BINARY, "NODE_SEA_BLOB", readFileSync(BLOB), {
  sentinelFuse: FUSE,
});
console.log(`built ${BINARY}`);
