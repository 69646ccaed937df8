/** Writes of the durable roster, which names all machines that may have been given tasks. */

import type { RosterEntry } from '../../model/machine.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { rosterKey } from '../../records/keys.js';
import { encodeRosterPage } from '../../records/roster-record.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';
import type { PageWrite } from './roster.js';

/** Bytes of a page's write without its machines. */
const PAGE_BYTES = 400;

/**
 * Takes the machines that are to be added to the roster; the pages that they
 * are added to have to be written. Until then no task starts on them.
 */
export function takeRosterAdditions(cluster: ClusterState): DurableWrite[] {
  const machines = [...cluster.pendingRosterAdds];
  cluster.pendingRosterAdds.clear();
  for (const machine of machines) machine.rosterWritePending = true;
  return cluster.roster
    .add(machines.map(rosterEntry))
    .map((pageWrite) => new RosterPageWrite(cluster, pageWrite));
}

function rosterEntry(machine: Machine): RosterEntry {
  return {
    id: machine.id,
    type: machine.typeName,
    zone: machine.zone,
    spot: machine.spot,
    address: machine.address,
  };
}

/**
 * One write of a page, over the version that is known of it: a late copy of
 * an older write fails, so that it drops no machine from the roster. A page of
 * unknown version is written only to delete it, without a condition: a late
 * copy is harmless, since all machines on the page have been terminated and
 * none is added to it any more.
 */
export class RosterPageWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly size: number;

  constructor(
    private readonly cluster: ClusterState,
    private readonly pageWrite: PageWrite,
  ) {
    const { version, entries } = pageWrite;
    const key = rosterKey(pageWrite.key);
    const value = encodeRosterPage(entries);
    this.conditions = version === null ? [] : [{ key, version }];
    this.changes = [entries.length > 0 ? { op: 'put', key, value } : { op: 'delete', key }];
    this.size = PAGE_BYTES + JSON.stringify(value.machines).length;
  }

  /** Tasks may start on the machines that were added. */
  applied(revision: number): void {
    this.pageWrite.applied(revision);
    for (const machine of this.endPendingWrites()) machine.inRoster = true;
    this.cluster.roundDue = true;
  }

  /** Another version of the page exists, as after a write without an answer. */
  conflict(): void {
    this.pageWrite.outcomeUnknown();
    this.addAgain();
  }

  /** After a write without an answer the machines are added to another page. */
  retry(mayBeApplied: boolean): void {
    if (mayBeApplied) this.pageWrite.outcomeUnknown();
    else this.pageWrite.notApplied();
    this.addAgain();
  }

  private addAgain(): void {
    for (const machine of this.endPendingWrites())
      if (!machine.inRoster) this.cluster.pendingRosterAdds.add(machine);
  }

  /** Notes for the added machines that no write of them is on its way; returns those not terminated meanwhile. */
  private endPendingWrites(): Machine[] {
    const machines: Machine[] = [];
    for (const { id } of this.pageWrite.added) {
      const machine = this.cluster.machines.get(id);
      if (!machine) continue;
      machine.rosterWritePending = false;
      machines.push(machine);
    }
    return machines;
  }
}
