import type { Route } from "../published/configuration_schema.ts";
import type { StreamLookupResult } from "./stream_lookup.ts";
import type { StreamOrigin, StreamRecord } from "./stream_record.ts";

/** Why a resumed stream continues or does not. */
export type ResumeDecision =
  /** A host knows where it began. */
  | "recorded"
  /** No host knows it, but only one software version can have begun it. */
  | "single_version"
  /** It may have begun at another instance of its upstream than the host knew that sent it. */
  | "uncertain_version"
  /** No host knows it, and several software versions can have begun it. */
  | "unknown"
  /** Its route no longer leads to the service that began it. */
  | "service_changed"
  /** No upstream of its software version is left. */
  | "version_gone";

/** What a decision on a resumed stream is based on. */
export interface ResumeInputs {
  /** Service that the request would be sent to if it began a stream. */
  service: string;
  route: Pick<Route, "shares">;
  /** What the hosts know of the stream. */
  lookup: StreamLookupResult;
  /** Time within which the stream began, in milliseconds. */
  withinMs: number;
  /** Whether this host knows every upstream that was published before the stream was resumed. */
  isPublicationComplete: boolean;
  /** Whether the platform is known not to respond. */
  isPlatformUnavailable: boolean;
  /** Whether an upstream could continue a stream now or after a backoff. */
  canContinue: (origin: StreamOrigin) => boolean;
}

/** A decision on a resumed stream. */
export interface DecidedResume {
  decision: ResumeDecision;
  /** Where the stream began, as far as that is known; it continues only if `continues` is set. */
  record: StreamRecord | undefined;
  continues: boolean;
}

/** Decides whether a resumed stream continues, and where.
 * @param inputs What the decision is based on. */
export function decideResume(inputs: ResumeInputs): DecidedResume {
  const record = inputs.lookup.record ?? inferRecord(inputs);
  const obstacle = findObstacle(inputs, record);
  const basis = inputs.lookup.record ? "recorded" : "single_version";
  return {
    decision: obstacle ?? basis,
    record,
    continues: obstacle === undefined,
  };
}

/** Infers where an unknown stream began: at the only version that can have served. Some host must have observed the
 * service for long enough, and none may know of another version. The stream may have begun at an upstream that has just
 * joined: this host must know all upstreams, or other hosts must have responded while the platform does not. */
function inferRecord(inputs: ResumeInputs): StreamRecord | undefined {
  const { service, lookup, withinMs } = inputs;
  const { versions, observedMs, responses } = lookup;
  const knowsAll = inputs.isPublicationComplete ||
    (inputs.isPlatformUnavailable && responses > 0);
  return knowsAll && observedMs >= withinMs && versions.length === 1
    ? { service, softwareVersion: versions[0], order: 0 }
    : undefined;
}

function findObstacle(
  { route, canContinue }: ResumeInputs,
  record: StreamRecord | undefined,
): ResumeDecision | undefined {
  if (!record) return "unknown";
  if (record.softwareVersion === undefined) return "uncertain_version";
  if (!leadsTo(route, record.service)) return "service_changed";
  return canContinue(record) ? undefined : "version_gone";
}

function leadsTo({ shares }: Pick<Route, "shares">, name: string): boolean {
  return shares.some(({ service, weight }) =>
    service === name && (weight > 0 || shares.length === 1)
  );
}
