/** Why a call is refused before it is sent. */
export interface EarlyRefusal {
  type: "refuse";
  /** Specific cause. */
  detail: string;
  /** Time after which room is expected, in milliseconds. */
  retryAfterMs: number;
}

/** A call that waits at this host until there is room at an upstream. */
export interface CallWait {
  type: "wait";
  /** Resolves when the call may be sent or is refused. */
  result: Promise<CallStart | EarlyRefusal>;
  /** Ends the wait of a call that has ended; its promise stays pending. */
  leave: () => void;
}

/** A call that may be sent now. */
export interface CallStart {
  type: "start";
}

/** Whether a call may be sent. */
export type CallAdmission = CallStart | CallWait | EarlyRefusal;

/** Admission where requests are not scheduled by time: every call may be sent. */
export const START: CallStart = { type: "start" };
