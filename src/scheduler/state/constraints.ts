/** Placement constraints of a job that depend only on fixed attributes of a machine. */
import type { JobSpec } from '../../model/job.js';
import type { Machine } from './task-attempt.js';

/** The attributes of a machine that job constraints refer to. */
export type MachineTraits = Pick<Machine, 'typeName' | 'zone' | 'spot'>;

/** Reports whether the job allows the machine's type and zone and, if it is a spot machine, spot machines. */
export function satisfiesConstraints(machine: MachineTraits, spec: JobSpec): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(machine.typeName)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.allowsSpot || !machine.spot)
  );
}
