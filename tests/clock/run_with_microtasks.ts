import type { VirtualTimeline } from "./virtual_timeline.ts";

/** Advances a timeline by a millisecond at a time, and lets pending promises settle after each.
 * @param timeline The timeline.
 * @param until Virtual milliseconds.
 * @param turns Number of turns of the microtask queue after each step. */
export async function runWithMicrotasks(
  timeline: VirtualTimeline,
  until: number,
  turns: number,
): Promise<void> {
  while (timeline.read() < until) {
    timeline.runUntil(timeline.read() + 1);
    for (let turn = 0; turn < turns; turn++) await undefined;
  }
}
