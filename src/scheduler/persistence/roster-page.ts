/** A page of the durable roster: machines that share a key of the state service. */

import type { RosterEntry } from '../../model/machine.js';
import { encodeRosterEntry } from '../../records/roster-record.js';

/** The desired content of a page, and what is known of the stored one. */
export class RosterPage {
  readonly entries = new Map<string, RosterEntry>();
  /** Size of the entries in the page's value, in bytes. */
  bytes = 0;
  /** Machines were removed from the page or a write of it failed, so it has to be written again. */
  unsaved = false;
  /** A write of the page is in flight. */
  writing = false;

  constructor(
    /** The part of the page's key after the roster's prefix. */
    readonly keySuffix: string,
    /** The stored version; 0 if there is none yet, null if unknown because a write received no response. */
    public version: number | null,
  ) {}

  /** Adds the machine, or replaces its entry. */
  add(entry: RosterEntry): void {
    this.remove(entry.id);
    this.entries.set(entry.id, entry);
    this.bytes += entryBytes(entry);
  }

  /** Removes the machine. Returns false when it is not on the page. */
  remove(id: string): boolean {
    const entry = this.entries.get(id);
    if (!entry) return false;
    this.entries.delete(id);
    this.bytes -= entryBytes(entry);
    return true;
  }
}

/** Returns the size of an entry in a page's value with the comma after it, in bytes. */
export function entryBytes(entry: RosterEntry): number {
  return Buffer.byteLength(JSON.stringify(encodeRosterEntry(entry))) + 1;
}
