import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';
import { EPSILON, type TeamQuota } from './resources.js';

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

/** Why the job can never run, or null. */
export function unrunnableReason(
  job: JobSpec,
  teams: Map<string, TeamQuota>,
  types: MachineType[],
): string | null {
  const team = teams.get(job.team);
  if (!team) return 'unknown team';
  if (!types.some((type) => canRunOnType(job, type))) return 'a task fits no allowed machine type';
  if (team.maxCpus > 0 && job.cpus > team.maxCpus + EPSILON) return "over the team's limit";
  if (team.maxGpus > 0 && job.gpus > team.maxGpus + EPSILON) return "over the team's limit";
  return null;
}
