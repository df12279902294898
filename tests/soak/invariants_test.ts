import test from "ava";
import { KIND_RULES } from "../../soak/caller_attempt.ts";
import type { Evidence } from "../../soak/evidence.ts";
import { FaultLog } from "../../soak/fault_log.ts";
import { RESPONSE_INVARIANTS } from "../../soak/response_invariants.ts";
import {
  countEvents,
  formatEvent,
  formatResponse,
} from "../../soak/stream_text.ts";
import { TIMING_INVARIANTS } from "../../soak/timing_invariants.ts";
import {
  buildAttempt,
  buildEvidence,
  buildRun,
  buildStream,
  ID,
} from "./build_evidence.ts";

const INVARIANTS = { ...RESPONSE_INVARIANTS, ...TIMING_INVARIANTS };
const ALL_EVENTS = Array.from(
  { length: countEvents("/chat/c-1") },
  (_, index) => index + 1,
);

test("evidence of a fault-free run shows no breach", (t) => {
  for (const check of Object.values(INVARIANTS)) {
    t.deepEqual(check(buildEvidence()), []);
    t.deepEqual(
      check(buildEvidence({ attempts: [buildStream(ALL_EVENTS)], runs: [] })),
      [],
    );
  }
});

const repeatable = { kind: "look", path: "/look/1", body: "" } as const;

/** Evidence that breaches each invariant, by its name. */
/** A stop in whose late part the attempts below were sent. */
const LATE_STOP = { gateway: "g-0", gatewayStart: 1, at: -1_200 };
const CUT_ATTEMPT = buildAttempt({ isWhole: false, status: undefined });
const CUT_RUN = buildRun({ isWhole: false, wasCancelled: true });

const BREACHES: Record<string, Evidence[]> = {
  "a response belongs to its request, and is complete if it ends normally": [
    buildEvidence({ attempts: [buildAttempt({ seal: undefined })] }),
    buildEvidence({
      attempts: [buildAttempt({ text: formatResponse("c-2", "w-1") })],
    }),
    buildEvidence({
      attempts: [
        buildAttempt({ text: formatResponse(ID, "w-1").slice(0, 50) }),
      ],
    }),
    buildEvidence({ attempts: [buildStream(ALL_EVENTS.slice(0, -1))] }),
    buildEvidence({ attempts: [buildStream([1, 1, ...ALL_EVENTS.slice(1)])] }),
  ],
  "an error response with a worker's seal was sent by a worker": [
    buildEvidence({ attempts: [buildAttempt({ status: 502 })] }),
  ],
  "a non-repeatable request runs at most once": [
    buildEvidence({ runs: [buildRun(), buildRun({ worker: "w-2" })] }),
  ],
  "a request reported as not run has not run": [
    buildEvidence({
      attempts: [buildAttempt({ status: 503, seal: undefined })],
    }),
  ],
  "a request reaches its worker unchanged": [
    buildEvidence({ runs: [buildRun({ requestId: "c-9" })] }),
    buildEvidence({ runs: [buildRun({ body: "other" })] }),
    buildEvidence({ runs: [buildRun({ customer: "forged" })] }),
  ],
  "a stream contains events of one software version": [
    buildEvidence({
      attempts: [
        buildAttempt({
          text: formatEvent(ID, 1, "/chat/c-1", "v1") +
            formatEvent(ID, 2, "/chat/c-1", "v2"),
        }),
      ],
    }),
    buildEvidence({
      attempts: [
        buildAttempt({ text: formatEvent(ID, 1, "/chat/c-1", "v1") }),
        buildAttempt({
          requestId: "c-2",
          resumes: ID,
          text: formatEvent("c-2", 2, "/chat/c-1", "v2"),
        }),
      ],
    }),
  ],
  "no request reaches more workers than its route allows": [
    buildEvidence({ runs: [buildRun(), buildRun({ worker: "w-2" })] }),
  ],
  "a gateway never reverts to an older configuration": [
    buildEvidence({
      attempts: [
        buildAttempt({ kind: "version", version: 9 }),
        buildAttempt({ kind: "version", version: 6, sentAt: 2_000 }),
      ],
    }),
  ],
  "the response of an undisturbed worker reaches its caller": [
    buildEvidence({ attempts: [buildAttempt({ isWhole: false })] }),
  ],
  "no permitted request is denied": [
    buildEvidence({ attempts: [buildAttempt({ status: 404 })] }),
  ],
  "a request that crashed three workers reaches few more": [
    buildEvidence({
      runs: [1, 2, 3, 5_000, 5_001, 5_002, 5_003].map((startedAt) =>
        buildRun({ path: "/book/crash-1", startedAt })
      ),
    }),
  ],
  "prompts with a part that crashed five workers reach few more": [
    buildEvidence({
      runs: [1, 2, 3, 4, 5, 5_000, 5_001, 5_002, 5_003].map((startedAt) =>
        buildRun({
          prompt: `m|900,50|a:600,dead1:250,${startedAt}:50`,
          startedAt,
        })
      ),
    }),
  ],
  "a worker that asked for a backoff gets few requests during it": [
    buildEvidence({
      declines: [0, 600, 700, 800].map((at) => ({
        requestId: ID,
        worker: "w-1",
        at,
        backoffMs: 3_000,
      })),
      runs: [],
    }),
  ],
  "a gateway sends no new requests to a worker after forwarding that it leaves":
    [
      buildEvidence({
        attempts: [
          buildAttempt(),
          buildAttempt({ requestId: "c-2", sentAt: 9_000, endedAt: 9_030 }),
        ],
        runs: [
          buildRun({ saidLeaving: true }),
          buildRun({ requestId: "c-2", startedAt: 9_005 }),
        ],
      }),
    ],
  "a stopping gateway does not cut requests that came late": [
    buildEvidence({
      gracefulStops: [LATE_STOP],
      attempts: [CUT_ATTEMPT],
      runs: [CUT_RUN],
    }),
  ],
  "a leaving worker gets no new requests": [
    buildEvidence({
      leaveAnnouncements: [{ worker: "w-1", at: 1_000 }],
      runs: [buildRun({ startedAt: 3_500 })],
    }),
  ],
  "a revoked key is not accepted": [
    buildEvidence({
      versions: [{ version: 1, key: "k", at: 0 }, {
        version: 2,
        key: "l",
        at: 1_000,
      }],
      attempts: [buildAttempt({ key: "k", sentAt: 6_000 })],
    }),
  ],
  "the final response arrives within the route's timeout": [
    buildEvidence({ attempts: [buildAttempt({ endedAt: 9_000 })] }),
    buildEvidence({ attempts: [buildAttempt({ endedAt: undefined })] }),
  ],
  "work ends after its caller has disconnected": [
    buildEvidence({
      attempts: [buildAttempt({ ...repeatable, gaveUpAt: 1_010 })],
      runs: [buildRun({ endedAt: 9_000 })],
    }),
  ],
  "retries stay within the budget": [
    buildEvidence({
      runs: Array.from({ length: 80 }, () => buildRun()),
    }),
  ],
};

for (const [invariant, check] of Object.entries(INVARIANTS)) {
  test(`the check finds a breach of: ${invariant}`, (t) => {
    const cases = BREACHES[invariant] ?? [];
    t.true(cases.length > 0);
    for (const evidence of cases) t.true(check(evidence).length > 0);
  });
}

test("losing a response is a breach if it ended 50 ms before its worker crashed, but not if it ended 1 ms before", (t) => {
  const check =
    INVARIANTS["the response of an undisturbed worker reaches its caller"]!;
  for (const [afterMs, breaches] of [[1, 0], [50, 1]] as const) {
    const faults = FaultLog.create();
    const from = buildRun().endedAt! + afterMs;
    const crash = { name: "crash", targets: ["w-1"], isPlanned: false };
    faults.windows.push({ ...crash, from, to: from + 500 });
    const attempts = [buildAttempt({ isWhole: false })];
    t.is(check(buildEvidence({ attempts, faults })).length, breaches);
  }
});

test("losing a response is a breach if it ended 150 ms before the time limit, but not if it ended 50 ms before", (t) => {
  const check =
    INVARIANTS["the response of an undisturbed worker reaches its caller"]!;
  const sentAt = 1_000;
  const limitAt = sentAt + KIND_RULES.book.timeoutMs;
  for (
    const [beforeMs, endedAt, breaches] of [
      [50, limitAt, 0],
      [150, limitAt, 1],
      [50, limitAt - 1, 1],
    ] as const
  ) {
    const attempts = [buildAttempt({ isWhole: false, sentAt, endedAt })];
    const runs = [buildRun({ endedAt: endedAt - beforeMs })];
    t.is(check(buildEvidence({ attempts, runs })).length, breaches);
  }
});

test("runs of a crashing request within the detection time are not a breach", (t) => {
  const check =
    INVARIANTS["a request that crashed three workers reaches few more"]!;
  const runs = [1, 2, 3, 2_900, 2_950, 2_990, 3_000, 5_000].map((startedAt) =>
    buildRun({ path: "/book/crash-1", startedAt })
  );
  t.deepEqual(check(buildEvidence({ runs })), []);
});

test("a response cut off by a fault of its gateway or worker is not a breach", (t) => {
  const check =
    INVARIANTS["the response of an undisturbed worker reaches its caller"]!;
  for (const target of ["g-0", "w-1"]) {
    const faults = FaultLog.create();
    faults.windows.push({
      name: "kill",
      targets: [target],
      isPlanned: false,
      from: 1_010,
      to: 1_500,
    });
    const attempts = [buildAttempt({ isWhole: false })];
    t.deepEqual(check(buildEvidence({ attempts, faults })), []);
  }
});

test("a request that a stopping gateway cuts is not a breach if it came early, was refused, or its worker crashed", (t) => {
  const check =
    INVARIANTS["a stopping gateway does not cut requests that came late"]!;
  const late = {
    gracefulStops: [LATE_STOP],
    attempts: [CUT_ATTEMPT],
    runs: [CUT_RUN],
  };
  const early = { ...LATE_STOP, at: 0 };
  t.deepEqual(check(buildEvidence({ ...late, gracefulStops: [early] })), []);
  const refused = buildAttempt({ isWhole: false, status: 503 });
  t.deepEqual(check(buildEvidence({ ...late, attempts: [refused] })), []);
  t.deepEqual(check(buildEvidence({ ...late, runs: [] })), []);
  const faults = FaultLog.create();
  faults.windows.push({
    name: "crash",
    targets: ["w-1"],
    isPlanned: false,
    from: 1_010,
    to: 1_500,
  });
  t.deepEqual(check(buildEvidence({ ...late, faults })), []);
});
