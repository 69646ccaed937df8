// The record of a run: one line for each thing that was sent, answered or run.
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  /** Seconds since the start of the run. */
  now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  add(who, text) {
    appendFileSync(this.file, `${this.now().toFixed(3).padStart(8)} ${who.padEnd(9)} ${text}\n`);
  }
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Polls until the condition holds. Returns false when it does not within the time. */
export async function until(condition, ms, stepMs = 50) {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    if (await condition()) return true;
    await sleep(stepMs);
  }
  return Boolean(await condition());
}
