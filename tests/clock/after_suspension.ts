/** Runs a test body after the wall clock advanced and the monotonic clock did not, as after a suspension.
 * @param suspensionMs Time by which the wall clock advances, in milliseconds.
 * @param body The test body. */
export async function afterSuspension(
  suspensionMs: number,
  body: () => Promise<void>,
): Promise<void> {
  const readWallClock = Date.now;
  Date.now = () => readWallClock() + suspensionMs;
  try {
    await body();
  } finally {
    Date.now = readWallClock;
  }
}
