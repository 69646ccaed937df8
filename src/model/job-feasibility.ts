/** Whether a job can run at all: on the machine types of the cloud and within its team's quota. */
import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';
import { EPSILON, type TeamQuota } from './resources.js';

/** Why no task of a job can ever start. */
export type UnrunnableReason = 'unknownTeam' | 'fitsNoMachineType' | 'exceedsTeamMaximum';

/** Whether one task of the job can ever run on a machine of the type. */
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

/** Why the job can never run; null when it can. The first reason that applies, in the order of the union. */
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

/** One task alone takes more than the team's maximum; a maximum of 0 is none. */
function exceedsMaximum(amount: number, maximum: number): boolean {
  return maximum > 0 && amount > maximum + EPSILON;
}
