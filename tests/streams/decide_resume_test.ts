import test from "ava";
import {
  decideResume,
  type ResumeDecision,
  type ResumeInputs,
} from "../../src/streams/decide_resume.ts";

const RECORD = { service: "s", softwareVersion: "v1", order: 1 };

/** A lookup that found no record, although one version alone has served for long enough. */
const LOOKUP = {
  record: undefined,
  versions: ["v1"],
  observedMs: 10_000,
  askedHosts: 3,
  responses: 3,
};

function buildInputs(
  lookup: Partial<ResumeInputs["lookup"]>,
  changes: Partial<ResumeInputs> = {},
): ResumeInputs {
  return {
    service: "s",
    route: { shares: [{ service: "s", weight: 1 }] },
    lookup: { ...LOOKUP, ...lookup },
    withinMs: 10_000,
    isPublicationComplete: true,
    isPlatformUnavailable: false,
    canContinue: () => true,
    ...changes,
  };
}

const SHARED_ROUTE = {
  shares: [{ service: "s", weight: 0 }, { service: "t", weight: 1 }],
};

/** Inputs and the decision on them, by their description. */
const CASES: Record<string, [ResumeDecision, ResumeInputs]> = {
  "a record": ["recorded", buildInputs({ record: RECORD })],
  "a record while several versions serve": [
    "recorded",
    buildInputs({ record: RECORD, versions: ["v1", "v2"] }),
  ],
  "a record of an uncertain version": [
    "uncertain_version",
    buildInputs({ record: { ...RECORD, softwareVersion: undefined } }),
  ],
  "a record of a service that the route has left": [
    "service_changed",
    buildInputs({ record: RECORD }, { route: SHARED_ROUTE }),
  ],
  "a record of another service of the route": [
    "recorded",
    buildInputs({ record: { ...RECORD, service: "t" } }, {
      route: SHARED_ROUTE,
    }),
  ],
  "a record of a version without upstreams": [
    "version_gone",
    buildInputs({ record: RECORD }, { canContinue: () => false }),
  ],
  "no record and one version": ["single_version", buildInputs({})],
  "no record and two versions": [
    "unknown",
    buildInputs({ versions: ["v1", "v2"] }),
  ],
  "no record and no version": ["unknown", buildInputs({ versions: [] })],
  "no record and too short an observation": [
    "unknown",
    buildInputs({ observedMs: 9_999 }),
  ],
  "no record and upstreams that may have joined": [
    "unknown",
    buildInputs({}, { isPublicationComplete: false }),
  ],
  "no record, no response and upstreams that may have joined": [
    "unknown",
    buildInputs({ responses: 0 }, { isPublicationComplete: false }),
  ],
  "no record, no response and a complete publication": [
    "single_version",
    buildInputs({ responses: 0 }),
  ],
  "no record and no other host": [
    "single_version",
    buildInputs({ askedHosts: 0, responses: 0 }),
  ],
  "no record while the platform does not respond to any host": [
    "single_version",
    buildInputs({}, {
      isPublicationComplete: false,
      isPlatformUnavailable: true,
    }),
  ],
  "no record while neither the platform nor a host responds": [
    "unknown",
    buildInputs({ responses: 0 }, {
      isPublicationComplete: false,
      isPlatformUnavailable: true,
    }),
  ],
};

for (const [description, [decision, inputs]] of Object.entries(CASES)) {
  test(`a resume with ${description} is decided as ${decision}`, (t) => {
    const decided = decideResume(inputs);
    t.is(decided.decision, decision);
    const isContinued = ["recorded", "single_version"].includes(decision);
    t.is(decided.continues, isContinued);
  });
}
