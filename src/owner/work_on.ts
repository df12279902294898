import type { Logger } from "../logging/logger.ts";
import { UpstreamError } from "../upstream/upstream_error.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import { JOB_RUNNERS } from "./run_job.ts";

/** Does a job's work and tells the entry how it ended; never throws.
 * @param upstream The upstream.
 * @param job The job.
 * @param logger Where failures are written. */
export async function workOn(
  upstream: OwnedUpstream,
  job: Job,
  logger: Logger,
): Promise<void> {
  try {
    const result = await JOB_RUNNERS[job.offer.work](job, upstream.client);
    job.send({ type: "end", ...result });
  } catch (thrown) {
    const error = UpstreamError.from(thrown);
    if (job.signal.aborted) return;
    if (error.ran !== "no") cancelOnEngine(upstream, job);
    const { requestId } = job.offer;
    logger.warn({
      upstream: upstream.host.id,
      request: requestId,
      reason: error.message,
    }, "upstream_failed");
    job.send({ type: "failed", ran: error.ran, detail: error.message });
  }
}

/** Tells an engine to stop working on a chat; services are not told, for their work may not be cut.
 * @param upstream The upstream.
 * @param job The job. */
export function cancelOnEngine(upstream: OwnedUpstream, job: Job): void {
  if (job.offer.work === "chat") {
    void upstream.client.cancel(job.offer.requestId, job.attempt);
  }
}
