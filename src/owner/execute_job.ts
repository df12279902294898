import type { Logger } from "../logging/logger.ts";
import { UpstreamError } from "../upstream/upstream_error.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";
import { JOB_RUNNERS } from "./job_runners.ts";

/** Runs a job and reports its result or failure to the entry router; never throws.
 * @param upstream The upstream.
 * @param job The job.
 * @param logger Logger for failures. */
export async function executeJob(
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

/** Asks an engine to stop working on a chat. Calls to services are not cancelled, because their work must not be
 * interrupted.
 * @param upstream The upstream.
 * @param job The job. */
export function cancelOnEngine(upstream: OwnedUpstream, job: Job): void {
  if (job.offer.work === "chat") {
    void upstream.client.cancel(job.offer.requestId, job.attempt);
  }
}
