/** The record of a run: what was sent, answered and run, with seconds since its start. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  /** Seconds since the start of the run. */
  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  line(who, text) {
    appendFileSync(this.file, `${this.now.toFixed(3).padStart(8)}  ${who.padEnd(9)} ${text}\n`);
  }
}
