/** Handles preemption notices of spot machines: drains the machine and saves or moves its tasks in time. */
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import type { TaskAttempts } from '../state/task-attempts.js';
import type { WorkEstimates } from '../state/work-estimates.js';

/** A task without checkpoints is restarted at once if its expected remaining time exceeds this multiple of the notice. */
const RESTART_NOTICE_RATIO = 2;

/** Reacts to the cloud's notices that it will reclaim a spot machine. */
export class PreemptionNotices {
  constructor(
    private readonly machines: MachineRegistry,
    private readonly attempts: TaskAttempts,
    private readonly estimates: WorkEstimates,
    private readonly logDecision: DecisionLogger,
  ) {}

  /**
   * Records the notice of a heartbeat: `noticeS` is the time in seconds until the
   * machine is reclaimed, or null when there is no notice. Returns true when it
   * is the machine's first notice.
   */
  record(machine: Machine, noticeS: number | null, now: number): boolean {
    if (noticeS === null) return false;
    const isNew = machine.preemptionDueAt === null;
    if (isNew) this.logDecision('preemption notice', { machine: machine.id, seconds: noticeS });
    machine.preemptionDueAt = now + noticeS * 1000;
    this.machines.drain(machine, 'preemption notice');
    return isNew;
  }

  /**
   * Prepares the machine's tasks for its loss in `noticeS` seconds. Tasks that
   * would not finish but can save a checkpoint in time do so. Tasks without
   * checkpoints that are unlikely to finish are stopped at once, to be restarted
   * elsewhere. The others keep running.
   */
  evacuate(machine: Machine, noticeS: number, now: number): void {
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === 'exited' || attempt.state === 'assigned' || attempt.stopRequest)
        continue;
      this.evacuateAttempt(attempt, noticeS, now);
    }
  }

  private evacuateAttempt(attempt: TaskAttempt, noticeS: number, now: number): void {
    const { checkpointIntervalS, checkpointCostS } = attempt.job.spec;
    const remainingS = this.estimates.remainingS(attempt, now);
    if (checkpointIntervalS === 0) {
      if (remainingS > noticeS * RESTART_NOTICE_RATIO) this.attempts.stop(attempt, 0);
    } else if (checkpointIntervalS > 0 && checkpointCostS < noticeS && remainingS > noticeS)
      this.attempts.stop(attempt, checkpointCostS);
  }
}
