import process from "node:process";
import type { RouterStatus } from "./router_status.ts";

/** Reads the resource usage of this process. */
export function readProcessUsage(): RouterStatus["process"] {
  const { user, system } = process.cpuUsage();
  return {
    memoryBytes: process.memoryUsage().rss,
    cpuMicroseconds: user + system,
    uptimeSeconds: process.uptime(),
  };
}
