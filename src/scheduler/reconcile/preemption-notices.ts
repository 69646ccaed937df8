/** Preemption notices of spot machines: the machine is drained, and its tasks are saved or moved in time. */
import type { DecisionLogger } from '../state/decision-log.js';
import type { MachineRegistry } from '../state/machine-registry.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import type { TaskAttempts } from '../state/task-attempts.js';
import type { WorkEstimates } from '../state/work-estimates.js';

/** A task without checkpoints that needs more than this many times the notice is restarted elsewhere at once. */
const HOPELESS_NOTICE_RATIO = 2;

/** Reacts to the cloud's notice that it will take a spot machine. */
export class PreemptionNotices {
  constructor(
    private readonly machines: MachineRegistry,
    private readonly attempts: TaskAttempts,
    private readonly estimates: WorkEstimates,
    private readonly logDecision: DecisionLogger,
  ) {}

  /**
   * Records what a heartbeat says of a notice: seconds until the machine is
   * taken, null without one. Returns true when it is the machine's first.
   */
  record(machine: Machine, noticeS: number | null, now: number): boolean {
    if (noticeS === null) return false;
    const isNew = machine.preemptionNoticeUntil === null;
    if (isNew) this.logDecision('preemption notice', { machine: machine.id, seconds: noticeS });
    machine.preemptionNoticeUntil = now + noticeS * 1000;
    this.machines.drain(machine, 'preemption notice');
    return isNew;
  }

  /**
   * The machine will be taken in `noticeS` seconds: tasks that can save a
   * checkpoint do so, and those that will hardly finish are stopped at once to
   * start anew elsewhere. The rest is left to finish.
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
      if (remainingS > noticeS * HOPELESS_NOTICE_RATIO) this.attempts.stop(attempt, 0);
    } else if (checkpointIntervalS > 0 && checkpointCostS < noticeS && remainingS > noticeS)
      this.attempts.stop(attempt, checkpointCostS);
  }
}
