/** Writes more lines at once than a bounded logger keeps, warnings last, and closes it. */
import { BoundedLogger } from "../../src/logging/bounded_logger.ts";

const bounded = BoundedLogger.create("g-0", "info");
for (let line = 0; line < 500; line++) bounded.logger.info({ line }, "sent");
for (let line = 0; line < 300; line++) bounded.logger.warn({ line }, "cut");
bounded.close();
