/** Placement constraints of a job that depend on a machine's fixed traits alone. */
import type { JobSpec } from '../../model/job.js';
import type { Machine } from './task-attempt.js';

/** What the constraints of a job look at in a machine. */
export type MachineTraits = Pick<Machine, 'typeName' | 'zone' | 'spot'>;

/** Whether the job allows the machine's type, zone and capacity kind (spot or on demand). */
export function satisfiesConstraints(machine: MachineTraits, spec: JobSpec): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(machine.typeName)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.allowsSpot || !machine.spot)
  );
}
