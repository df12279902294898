import type {
  UpstreamClient,
  UpstreamRequest,
} from "../upstream/upstream_client.ts";
import type { Job } from "./job.ts";

/** Size of the response that a job sent, for the entry router to compare with what it received. */
export interface JobResult {
  chunks: number;
  bytes: number;
}

/** Sends the request of a job to an upstream and streams the response to the entry router.
 * Throws if the upstream fails. */
export type JobRunner = (
  job: Job,
  client: UpstreamClient,
) => Promise<JobResult>;

/** Job runners by kind of work. */
export const JOB_RUNNERS: Readonly<Record<"chat" | "call", JobRunner>> = {
  chat: runChat,
  call: runCall,
};

async function runChat(job: Job, client: UpstreamClient): Promise<JobResult> {
  const result = { chunks: 0, bytes: 0 };
  for await (const part of client.streamChat(toUpstreamRequest(job))) {
    await sendChunk(job, result, part.bytes, part.events.length);
  }
  return result;
}

async function runCall(job: Job, client: UpstreamClient): Promise<JobResult> {
  const response = await client.call(toUpstreamRequest(job));
  const result = { chunks: 0, bytes: 0 };
  job.send({
    type: "head",
    status: response.status,
    headers: response.headers,
  });
  await sendChunk(job, result, response.body, 1);
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
  await job.consumeWindow(bytes.length);
}

function toUpstreamRequest(job: Job): UpstreamRequest {
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
