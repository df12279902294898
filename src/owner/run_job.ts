import type {
  UpstreamClient,
  UpstreamRequest,
} from "../upstream/upstream_client.ts";
import type { Job } from "./job.ts";

/** How a job's work ended. */
export interface JobResult {
  chunks: number;
  bytes: number;
}

/** Does the work of a job on an upstream and sends the answer to the entry, part by part.
 * Throws where the upstream fails. */
export type JobRunner = (
  job: Job,
  client: UpstreamClient,
) => Promise<JobResult>;

/** One runner for each kind of work. */
export const JOB_RUNNERS: Readonly<Record<"chat" | "call", JobRunner>> = {
  chat: runChat,
  call: runCall,
};

async function runChat(job: Job, client: UpstreamClient): Promise<JobResult> {
  const result = { chunks: 0, bytes: 0 };
  for await (const part of client.streamChat(toRequest(job))) {
    await sendChunk(job, result, part.bytes, part.events.length);
  }
  return result;
}

async function runCall(job: Job, client: UpstreamClient): Promise<JobResult> {
  const answer = await client.call(toRequest(job));
  const result = { chunks: 0, bytes: 0 };
  job.send({ type: "head", status: answer.status, headers: answer.headers });
  await sendChunk(job, result, answer.body, 1);
  return result;
}

async function sendChunk(
  job: Job,
  result: JobResult,
  bytes: Buffer,
  events: number,
): Promise<void> {
  job.send({ type: "chunk", sequence: result.chunks, events, bytes });
  result.chunks += 1;
  result.bytes += bytes.length;
  await job.spend(bytes.length);
}

function toRequest(job: Job): UpstreamRequest {
  const {
    requestId,
    method,
    path,
    headers,
    body,
    priority,
    repeatable,
    resumeFrom,
  } = job.offer;
  return {
    requestId,
    method,
    path,
    headers,
    body,
    priority,
    repeatable,
    resumeFrom,
    attempt: job.attempt,
    signal: job.signal,
  };
}
