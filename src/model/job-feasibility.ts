/** Checks whether a job can ever run on the cloud's machine types and within its team's quota. */
import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';
import { EPSILON, type TeamQuota } from './resources.js';

/** Why no task of a job can ever start. */
export type UnrunnableReason = 'unknownTeam' | 'fitsNoMachineType' | 'exceedsTeamMaximum';

/** Reports whether one task of the job can ever run on a machine of the type. */
export function canRunOnType(job: JobSpec, type: MachineType): boolean {
  return (
    (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + EPSILON &&
    job.gpus <= type.gpus + EPSILON &&
    job.memoryGb <= type.memoryGb + EPSILON &&
    job.imageGb <= type.imageCacheGb + EPSILON
  );
}

/**
 * Returns why the job can never run, or null when it can. When several reasons apply,
 * returns the first in the order of `UnrunnableReason`.
 */
export function unrunnableReason(
  job: JobSpec,
  teams: Map<string, TeamQuota>,
  types: MachineType[],
): UnrunnableReason | null {
  const team = teams.get(job.team);
  if (!team) return 'unknownTeam';
  if (!types.some((type) => canRunOnType(job, type))) return 'fitsNoMachineType';
  if (exceedsMaximum(job.cpus, team.maxCpus)) return 'exceedsTeamMaximum';
  if (exceedsMaximum(job.gpus, team.maxGpus)) return 'exceedsTeamMaximum';
  return null;
}

/** Reports whether one task alone exceeds the team's maximum. A maximum of 0 means no limit. */
function exceedsMaximum(amount: number, maximum: number): boolean {
  return maximum > 0 && amount > maximum + EPSILON;
}
