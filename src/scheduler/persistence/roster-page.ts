/** One page of the durable roster: machines that share a key of the state service. */

import type { RosterEntry } from '../../model/machine.js';
import { encodeRosterEntry } from '../../records/roster-record.js';

/** A page as the leader wants it, and what is known of the one that is stored. */
export class RosterPage {
  readonly entries = new Map<string, RosterEntry>();
  /** Bytes that the entries take in its value. */
  bytes = 0;
  /** It lost machines, or a write of it failed: it has to be written again. */
  stale = false;
  /** A write of it is on its way. */
  writing = false;

  constructor(
    /** What follows the roster's prefix in its key. */
    readonly key: string,
    /** Version that is stored; 0: none yet; null: not known, since a write had no answer. */
    public version: number | null,
  ) {}

  /** Adds the machine, or replaces its entry. */
  add(entry: RosterEntry): void {
    this.remove(entry.id);
    this.entries.set(entry.id, entry);
    this.bytes += entryBytes(entry);
  }

  /** False: the machine is not on the page. */
  remove(id: string): boolean {
    const entry = this.entries.get(id);
    if (!entry) return false;
    this.entries.delete(id);
    this.bytes -= entryBytes(entry);
    return true;
  }
}

/** Bytes that an entry takes in a page's value, with the comma after it. */
export function entryBytes(entry: RosterEntry): number {
  return Buffer.byteLength(JSON.stringify(encodeRosterEntry(entry))) + 1;
}
