/** Writes the durable roster, which lists all machines that may have been assigned tasks. */

import type { RosterEntry } from '../../model/machine.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import { rosterKey } from '../../records/keys.js';
import { encodeRosterPage } from '../../records/roster-record.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/task-attempt.js';
import type { DurableWrite } from './durable-write.js';
import type { PageWrite } from './roster.js';

/** Size of a page's write without its machines. */
const PAGE_OVERHEAD_BYTES = 400;

/**
 * Adds the pending machines to the roster and creates the writes of their pages.
 * No task starts on these machines until the writes have been applied.
 */
export function createRosterAdditionWrites(cluster: ClusterState): DurableWrite[] {
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
 * A write of a page that is conditional on its known version, so that a late copy
 * of an older write fails and drops no machine from the roster.
 *
 * A page of unknown version is only ever deleted, without a condition. A late
 * copy of the deletion is harmless, since all machines on the page have been
 * terminated and none is added to it anymore.
 */
export class RosterPageWrite implements DurableWrite {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly sizeBytes: number;

  constructor(
    private readonly cluster: ClusterState,
    private readonly pageWrite: PageWrite,
  ) {
    const { version, entries } = pageWrite;
    const key = rosterKey(pageWrite.keySuffix);
    const value = encodeRosterPage(entries);
    this.conditions = version === null ? [] : [{ key, version }];
    this.changes = [entries.length > 0 ? { op: 'put', key, value } : { op: 'delete', key }];
    this.sizeBytes = PAGE_OVERHEAD_BYTES + JSON.stringify(value.machines).length;
  }

  /** Allows tasks to start on the added machines. */
  applied(revision: number): void {
    this.pageWrite.applied(revision);
    for (const machine of this.clearPendingWrites()) machine.inRoster = true;
    this.cluster.roundDue = true;
  }

  /** Handles another stored version of the page, as after a write without a response. */
  conflict(): void {
    this.pageWrite.outcomeUnknown();
    this.requeueAdditions();
  }

  /** Retries the write; after one without a response, the machines are added to another page. */
  retry(mayBeApplied: boolean): void {
    if (mayBeApplied) this.pageWrite.outcomeUnknown();
    else this.pageWrite.notApplied();
    this.requeueAdditions();
  }

  private requeueAdditions(): void {
    for (const machine of this.clearPendingWrites())
      if (!machine.inRoster) this.cluster.pendingRosterAdds.add(machine);
  }

  /** Clears the pending write of the added machines; returns those not terminated in the meantime. */
  private clearPendingWrites(): Machine[] {
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
