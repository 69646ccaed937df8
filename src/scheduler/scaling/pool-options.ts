/** The pools from which machines may be provisioned for a job. */
import type { JobSpec } from '../../model/job.js';
import { canRunOnType } from '../../model/job-feasibility.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { CapacityBackoff } from './capacity-backoff.js';

/** A pool from which machines may be provisioned. */
export interface PoolOption {
  type: MachineType;
  typeName: string;
  zone: string;
  spot: boolean;
  /** Price of a machine divided by the number of tasks that it runs concurrently. */
  pricePerTask: number;
  /** Number of machines in the pool. */
  machineCount: number;
}

/** The inputs for the choice of pools. Constant during a plan. */
export interface PoolContext {
  types: ReadonlyMap<string, MachineType>;
  /** Number of machines in each pool at the start of the plan, by pool key. */
  machinesPerPool: ReadonlyMap<string, number>;
  backoff: CapacityBackoff;
  now: number;
}

/**
 * Returns the pools that the job may run in, by ascending price per task, then by
 * ascending number of machines.
 */
export function poolOptions(context: PoolContext, spec: JobSpec): PoolOption[] {
  const options: PoolOption[] = [];
  for (const type of context.types.values()) {
    const slots = slotsOnType(type, spec);
    if (slots > 0 && canRunOnType(spec, type)) addOptionsOf(type, slots, context, spec, options);
  }
  return options.sort((a, b) => a.pricePerTask - b.pricePerTask || a.machineCount - b.machineCount);
}

/** Adds the pools of a type. A machine of the type runs `slots` tasks of the job concurrently. */
function addOptionsOf(
  type: MachineType,
  slots: number,
  context: PoolContext,
  spec: JobSpec,
  options: PoolOption[],
): void {
  for (const zone of type.zones)
    for (const spot of [true, false]) {
      if (!satisfiesConstraints({ typeName: type.name, zone, spot }, spec)) continue;
      const option = poolOption(context, type, zone, spot, slots);
      if (option) options.push(option);
    }
}

/** Returns null while the pool is backed off because the cloud had no capacity for it. */
function poolOption(
  context: PoolContext,
  type: MachineType,
  zone: string,
  spot: boolean,
  slots: number,
): PoolOption | null {
  const key = machinePoolKey(type.name, zone, spot);
  if (context.backoff.isBackedOff(key, context.now)) return null;
  const pricePerTask = (spot ? type.spotPrice : type.price) / slots;
  const machineCount = context.machinesPerPool.get(key) ?? 0;
  return { type, typeName: type.name, zone, spot, pricePerTask, machineCount };
}
