/** Distinguishes a machine on which several jobs fail from a job that fails on several machines. */
import type { SchedulerPolicy, SchedulerTiming } from '../../model/policy.js';
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';

/** The back-off of a failing job doubles with each further machine, up to this many times. */
const MAX_BACKOFF_DOUBLINGS = 6;
/** Maximum back-off of a failing job, in agent leases. */
const MAX_BACKOFF_LEASES = 1.5;
/** A failing job is logged at its third failure and at every eighth failure after that. */
const LOG_EVERY_FAILURES = 8;
const FIRST_LOGGED_FAILURE = 3;
/** Delay before a failed task is retried, in heartbeat intervals per machine on which its job failed. */
const RETRY_DELAY_HEARTBEATS = 0.5;
/** Maximum number of machines that are counted for the retry delay. */
const MAX_RETRY_DELAY_STEPS = 4;

/** Dependencies of `FailureAttribution`. */
export interface FailureAttributionOptions {
  timing: SchedulerTiming;
  policy: SchedulerPolicy;
  machines: MachineRegistry;
  logDecision: DecisionLogger;
}

/**
 * Attributes each task failure to the job or to the machine. A job that fails on
 * several machines backs off; a machine on which several jobs fail is quarantined.
 */
export class FailureAttribution {
  private readonly timing: SchedulerTiming;
  private readonly policy: SchedulerPolicy;
  private readonly machines: MachineRegistry;
  private readonly logDecision: DecisionLogger;

  constructor(options: FailureAttributionOptions) {
    this.timing = options.timing;
    this.policy = options.policy;
    this.machines = options.machines;
    this.logDecision = options.logDecision;
  }

  /** Records that a task exited with an error, and schedules its retry after a delay. */
  record(attempt: TaskAttempt, now: number): void {
    const { job, machine } = attempt;
    job.failures++;
    job.failedMachines.add(machine.id);
    if (this.isFailingJob(job)) this.backOff(job, now);
    else this.recordOnMachine(machine, job);
    const delaySteps = Math.min(MAX_RETRY_DELAY_STEPS, job.failedMachines.size);
    job.removeAttempt(attempt, now + this.timing.heartbeatMs * RETRY_DELAY_HEARTBEATS * delaySteps);
  }

  /** Reports whether the job itself is at fault: it failed on several machines and succeeded on none. */
  private isFailingJob(job: Job): boolean {
    return !job.succeeded && job.failedMachines.size >= this.policy.failingJobMachines;
  }

  private backOff(job: Job, now: number): void {
    const { heartbeatMs, agentLeaseMs } = this.timing;
    // Failures of this job no longer count against the machines.
    for (const machine of this.machines.machines.values()) machine.failedJobs.delete(job.spec.id);
    const doublings = Math.min(
      MAX_BACKOFF_DOUBLINGS,
      job.failedMachines.size - this.policy.failingJobMachines,
    );
    job.backoffUntil =
      now + Math.min(agentLeaseMs * MAX_BACKOFF_LEASES, heartbeatMs * 2 ** doublings);
    if (job.failures % LOG_EVERY_FAILURES === FIRST_LOGGED_FAILURE)
      this.logDecision('job fails on several machines, backing off', {
        job: job.spec.id,
        machines: job.failedMachines.size,
      });
  }

  private recordOnMachine(machine: Machine, job: Job): void {
    machine.failedJobs.set(job.spec.id, (machine.failedJobs.get(job.spec.id) ?? 0) + 1);
    let failures = 0;
    for (const count of machine.failedJobs.values()) failures += count;
    const severalJobs = machine.failedJobs.size >= this.policy.quarantineJobs;
    // The failures of all jobs since the last success on this machine count. The job that failed
    // now must have succeeded on some machine. Otherwise the job itself may be at fault.
    const manyFailures = failures >= this.policy.quarantineFailures && job.succeeded;
    if (severalJobs || manyFailures) this.machines.drain(machine, 'quarantined');
  }
}
