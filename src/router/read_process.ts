import process from "node:process";
import type { RouterStatus } from "./router_status.ts";

/** Reads what this process uses. */
export function readProcess(): RouterStatus["process"] {
  const { user, system } = process.cpuUsage();
  return {
    memoryBytes: process.memoryUsage().rss,
    cpuMicroseconds: user + system,
    uptimeSeconds: process.uptime(),
  };
}
