/** Detects agents whose heartbeats arrive but which receive neither responses nor commands. */

import type { RoundTrigger } from '../state/round-trigger.js';
import type { Machine } from '../state/task-attempt.js';

/** Consecutive responses whose starts had no effect, after which a machine counts as unresponsive. */
const MAX_MISSED_ACKNOWLEDGEMENTS = 2;

/**
 * Tracks which machines are unresponsive. A single lost response is normal. After
 * the second consecutive one, the machine gets no tasks until it is known to
 * receive responses or commands. Otherwise it would be assigned more and more
 * starts that never arrive, because its heartbeats alone make it look healthy.
 */
export class AgentResponsiveness {
  /** Unresponsive machines to be probed with an empty command. */
  readonly pendingProbes = new Set<Machine>();

  constructor(private readonly roundTrigger: RoundTrigger) {}

  /** Records that a start sent in a heartbeat response had no effect by the next heartbeat. */
  recordMissedAcknowledgement(machine: Machine, now: number): void {
    machine.missedAcknowledgements++;
    if (machine.missedAcknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS)
      this.markUnresponsive(machine, now);
  }

  /** Marks the machine unresponsive: a message to it had no effect although its heartbeats arrive. */
  markUnresponsive(machine: Machine, now: number): void {
    machine.unresponsiveSince ??= now;
  }

  /** Marks the machine responsive: it replied to a command or began a task that it was sent. */
  markResponsive(machine: Machine): void {
    machine.missedAcknowledgements = 0;
    this.pendingProbes.delete(machine);
    if (machine.unresponsiveSince === null) return;
    machine.unresponsiveSince = null;
    this.roundTrigger.request();
  }
}
