/** The pools that machines may be provisioned from for a job. */
import type { JobSpec } from '../../model/job.js';
import { canRunOnType } from '../../model/job-feasibility.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { CapacityBackoff } from './capacity-backoff.js';

/** A pool that machines may be provisioned from. */
export interface PoolOption {
  type: MachineType;
  typeName: string;
  zone: string;
  spot: boolean;
  /** The price of a machine, divided by the tasks that it runs at once. */
  pricePerTask: number;
  /** Machines that the pool has. */
  machines: number;
}

/** What the choice of pools rests on; the same throughout a plan. */
export interface PoolContext {
  types: ReadonlyMap<string, MachineType>;
  /** Machines of each pool when the plan was begun. */
  machinesPerPool: ReadonlyMap<string, number>;
  backoff: CapacityBackoff;
  now: number;
}

/** The pools that the job may run in, the lowest price per task first, then the one with the fewest machines. */
export function poolOptions(context: PoolContext, spec: JobSpec): PoolOption[] {
  const options: PoolOption[] = [];
  for (const type of context.types.values()) {
    const slots = slotsOnType(type, spec);
    if (slots > 0 && canRunOnType(spec, type)) addOptionsOf(type, slots, context, spec, options);
  }
  return options.sort((a, b) => a.pricePerTask - b.pricePerTask || a.machines - b.machines);
}

/** Adds the pools of one type, which runs `slots` tasks of the job on a machine. */
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

/** Null: the cloud had no capacity of the pool a short while ago. */
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
  const machines = context.machinesPerPool.get(key) ?? 0;
  return { type, typeName: type.name, zone, spot, pricePerTask, machines };
}
