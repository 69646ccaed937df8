import type { JobSpec } from '../../model/job.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import type { ResourceUsage } from '../../model/resources.js';
import { type MachineTraits, satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/machine.js';

interface InheritedPool {
  traits: MachineTraits;
  count: number;
}

/**
 * Machines of the durable roster that are neither confirmed nor gone, counted
 * by type, zone and kind: what an earlier leader started may still be there.
 */
export class InheritedMachines {
  private readonly pools = new Map<string, InheritedPool>();

  add(machine: Machine): void {
    if (machine.inherited) return;
    machine.inherited = true;
    const { typeName, zone, spot } = machine;
    const key = machinePoolKey(typeName, zone, spot);
    const kind = this.pools.get(key) ?? { traits: { typeName, zone, spot }, count: 0 };
    kind.count++;
    this.pools.set(key, kind);
  }

  /** The machine is confirmed or gone. */
  resolve(machine: Machine): void {
    if (!machine.inherited) return;
    machine.inherited = false;
    const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
    const kind = this.pools.get(key);
    if (kind && --kind.count === 0) this.pools.delete(key);
  }

  /** One of them may hold tasks of such a job. */
  mayHold(spec: JobSpec): boolean {
    for (const { traits: like } of this.pools.values())
      if (satisfiesConstraints(like, spec)) return true;
    return false;
  }

  /** All that they could hold: nothing is known to be bound on one before it is confirmed. */
  capacity(types: ReadonlyMap<string, MachineType>): ResourceUsage {
    const sum: ResourceUsage = { cpus: 0, gpus: 0 };
    for (const { traits: like, count } of this.pools.values()) {
      const type = types.get(like.typeName);
      sum.cpus += (type?.cpus ?? 0) * count;
      sum.gpus += (type?.gpus ?? 0) * count;
    }
    return sum;
  }
}
