/** Fraction of the time within which changes must be in force at which a publication is outdated; the rest covers the
 * time that a request takes to reach its upstream. */
const MAX_AGE_FRACTION = 0.9;

/** What the decision whether requests may be sent by a publication is based on. */
export interface PublicationUseInputs {
  /** Age of the publication at the moment of the decision, in milliseconds. */
  ageMs: number;
  /** Time within which changes must be in force, in milliseconds. */
  applyWithinMs: number;
  /** Whether the platform is known not to respond, so that no host can know more. */
  isPlatformUnavailable: boolean;
}

/** Whether requests may be sent by a publication:
 * - `current`: every change that must be in force is known;
 * - `platform_unavailable`: it is older, but nothing newer can be learned;
 * - `outdated`: no request may be sent before it is newer. */
export type PublicationUse = "current" | "platform_unavailable" | "outdated";

/** Decides whether requests may be sent by a publication.
 * @param inputs What the decision is based on. */
export function decidePublicationUse(
  { ageMs, applyWithinMs, isPlatformUnavailable }: PublicationUseInputs,
): PublicationUse {
  if (ageMs < applyWithinMs * MAX_AGE_FRACTION) return "current";
  return isPlatformUnavailable ? "platform_unavailable" : "outdated";
}
