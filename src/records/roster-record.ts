/**
 * A page of machines that may have been given tasks.
 *
 * Keys: `roster/<page>`; the pages of this version are named `<term>-<number>`.
 * Written and removed: by the leader. Read: by the next leader, on failover,
 * which has to reach these machines before it gives their tasks to others.
 * Absent: nothing in a page; the key, once all of its machines are terminated.
 * Versions: the earliest kept one machine under its own name,
 * `roster/<machine>`: an entry without id and, earlier still, without address.
 */

import type { RosterEntry } from '../model/machine.js';
import { isObject } from '../protocol/json-fields.js';

/** A machine of a page as it is stored. */
export interface StoredRosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

/** A page as it is stored. */
export interface StoredRosterPage {
  machines: StoredRosterEntry[];
}

/** One machine. */
export function encodeRosterEntry(entry: RosterEntry): StoredRosterEntry {
  return {
    id: entry.id,
    type: entry.type,
    zone: entry.zone,
    spot: entry.spot,
    address: entry.address,
  };
}

/** The machines of a page. */
export function encodeRosterPage(entries: readonly RosterEntry[]): StoredRosterPage {
  return { machines: entries.map(encodeRosterEntry) };
}

/** Null: it is no object. A missing field, or one of another type, becomes a text or false: no machine is dropped for it. */
export function decodeRosterEntry(value: unknown): RosterEntry | null {
  if (!isObject(value)) return null;
  return {
    id: String(value.id),
    type: String(value.type),
    zone: String(value.zone),
    spot: value.spot === true,
    address: typeof value.address === 'string' ? value.address : '',
  };
}

/**
 * The machines of a page; `page` is what follows the prefix in its key. A
 * value of any other form counts as one machine of that name: a machine that
 * may have tasks must not be forgotten.
 */
export function decodeRosterPage(page: string, value: unknown): RosterEntry[] {
  const stored = isObject(value) ? value : {};
  const list: unknown[] = Array.isArray(stored.machines)
    ? stored.machines
    : [{ ...stored, id: page }];
  return list.map(decodeRosterEntry).filter((entry) => entry !== null);
}
