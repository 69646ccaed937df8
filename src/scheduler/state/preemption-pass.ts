/** The progress of planning preemptions for all waiting batches once, which may take several rounds. */
import type { JobSpec } from '../../model/job.js';
import type { ResourceRequest } from '../../model/resources.js';
import type { Batch } from './batch.js';
import type { Machine } from './task-attempt.js';

const NOTHING: Readonly<ResourceRequest> = { cpus: 0, gpus: 0, memoryGb: 0 };

/**
 * Which batches have been planned for, and the capacity that is claimed for them, so
 * that no two batches claim the same capacity. Batches are told apart by their first
 * job: one whose first job has been started meanwhile is planned for again.
 */
export class PreemptionPass {
  private readonly claimedByMachine = new Map<Machine, ResourceRequest>();
  private readonly plannedJobs = new Set<string>();

  /** Returns the capacity of the machine that is claimed. */
  claimedOn(machine: Machine): Readonly<ResourceRequest> {
    return this.claimedByMachine.get(machine) ?? NOTHING;
  }

  /** Claims capacity of the machine for `tasks` tasks of a job. */
  claim(machine: Machine, { cpus, gpus, memoryGb }: JobSpec, tasks: number): void {
    const claimed = this.claimedByMachine.get(machine) ?? { ...NOTHING };
    claimed.cpus += cpus * tasks;
    claimed.gpus += gpus * tasks;
    claimed.memoryGb += memoryGb * tasks;
    this.claimedByMachine.set(machine, claimed);
  }

  /** Reduces what is claimed on the machine by a task that was assigned to it and uses the capacity now. */
  releaseClaim(machine: Machine, { cpus, gpus, memoryGb }: JobSpec): void {
    const claimed = this.claimedByMachine.get(machine);
    if (!claimed) return;
    claimed.cpus = Math.max(0, claimed.cpus - cpus);
    claimed.gpus = Math.max(0, claimed.gpus - gpus);
    claimed.memoryGb = Math.max(0, claimed.memoryGb - memoryGb);
  }

  /** Records that preemptions for the batch have been planned. */
  recordPlanned(batch: Batch): void {
    const [first] = batch.jobs;
    if (first) this.plannedJobs.add(first.spec.id);
  }

  /** Reports whether preemptions for the batch have been planned. */
  hasPlanned(batch: Batch): boolean {
    const [first] = batch.jobs;
    return first !== undefined && this.plannedJobs.has(first.spec.id);
  }
}
