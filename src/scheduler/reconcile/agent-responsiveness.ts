/** Agents whose heartbeats arrive but which nothing that is sent to them reaches. */

import type { RoundTrigger } from '../state/round-trigger.js';
import type { Machine } from '../state/task-attempt.js';

/** Answers in a row whose starts show no effect before a machine counts as unresponsive. */
const MAX_MISSED_ACKNOWLEDGEMENTS = 2;

/**
 * One lost answer is ordinary; from the second in a row on a machine gets no
 * tasks until it has answered a command: its heartbeats alone would draw ever
 * more starts that never arrive.
 */
export class AgentResponsiveness {
  /** Unresponsive machines that are yet to be sent an empty command as a probe. */
  readonly pendingProbes = new Set<Machine>();

  constructor(private readonly roundTrigger: RoundTrigger) {}

  /** A start that left with the answer to a heartbeat showed no effect in the next one. */
  recordMissedAcknowledgement(machine: Machine, now: number): void {
    machine.missedAcknowledgements++;
    if (machine.missedAcknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS)
      this.markUnresponsive(machine, now);
  }

  /** Something that was sent to the machine shows no effect although its heartbeats arrive. */
  markUnresponsive(machine: Machine, now: number): void {
    machine.unresponsiveSince ??= now;
  }

  /** The machine answered a command or began a task that it was told to start. */
  markResponsive(machine: Machine): void {
    machine.missedAcknowledgements = 0;
    this.pendingProbes.delete(machine);
    if (machine.unresponsiveSince === null) return;
    machine.unresponsiveSince = null;
    this.roundTrigger.request();
  }
}
