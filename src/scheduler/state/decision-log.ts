/** Logging of the scheduler's major decisions and events, with the reasons why work or capacity was moved. */
import type { DrainReason } from './machine-state.js';

/** The fields of each logged decision, by its log message. */
export interface DecisionFields {
  'machine drained': { machine: string; reason: DrainReason; running: number };
  'machine terminated': {
    machine: string;
    /** The event that proved the termination. */
    reason: string;
    /** Why the machine was being drained, if it was. */
    drain: DrainReason | null;
    lostTasks: number;
  };
  'unexpected machine adopted': { machine: string; type: string; zone: string };
  'new agent epoch': { machine: string; agentEpoch: number; lostTasks: number };
  'preemption notice': { machine: string; seconds: number };
  'job fails on several machines, backing off': { job: string; machines: number };
  'task preempted': {
    job: string;
    task: number;
    machine: string;
    /** The job for which it was preempted. */
    for: string | undefined;
    lostCpuSeconds: number;
  };
}

/** Writes a decision to the leader's log. */
export type DecisionLogger = <Decision extends keyof DecisionFields>(
  decision: Decision,
  fields: DecisionFields[Decision],
) => void;
