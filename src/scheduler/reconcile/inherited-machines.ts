/** Tracks machines that may run tasks of an earlier leader, until each is confirmed or terminated. */
import type { JobSpec } from '../../model/job.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import type { ResourceUsage } from '../../model/resources.js';
import { type MachineTraits, satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/task-attempt.js';

/** Inherited machines of one pool: the on-demand or the spot machines of one type in one zone. */
interface InheritedPool {
  traits: MachineTraits;
  count: number;
}

/**
 * Machines of the durable roster that are neither confirmed nor terminated, counted
 * by pool. Tasks that an earlier leader started may still run on them and must not
 * be started a second time.
 */
export class InheritedMachines {
  private readonly pools = new Map<string, InheritedPool>();

  /** Adds a machine from the roster of an earlier leader. */
  add(machine: Machine): void {
    if (machine.inherited) return;
    machine.inherited = true;
    const { typeName, zone, spot } = machine;
    const key = machinePoolKey(typeName, zone, spot);
    const pool = this.pools.get(key) ?? { traits: { typeName, zone, spot }, count: 0 };
    pool.count++;
    this.pools.set(key, pool);
  }

  /** Removes a machine that has been confirmed or terminated. */
  resolve(machine: Machine): void {
    if (!machine.inherited) return;
    machine.inherited = false;
    const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
    const pool = this.pools.get(key);
    if (!pool) return;
    pool.count--;
    if (pool.count === 0) this.pools.delete(key);
  }

  /** Reports whether the job's constraints allow a task of it to be running on an inherited machine. */
  mayRunTasksOf(spec: JobSpec): boolean {
    for (const { traits } of this.pools.values())
      if (satisfiesConstraints(traits, spec)) return true;
    return false;
  }

  /** Returns their total resources, since the usage of a machine is unknown until it is confirmed. */
  capacity(types: ReadonlyMap<string, MachineType>): ResourceUsage {
    const total: ResourceUsage = { cpus: 0, gpus: 0 };
    for (const { traits, count } of this.pools.values()) {
      const type = types.get(traits.typeName);
      total.cpus += (type?.cpus ?? 0) * count;
      total.gpus += (type?.gpus ?? 0) * count;
    }
    return total;
  }
}
