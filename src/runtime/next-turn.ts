/** Divides long work between turns of the event loop. */

/** Resolves after the event loop has handled the timers and the input that are due by now. */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
