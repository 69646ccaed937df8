/** The log of the scheduler's larger decisions: why work or capacity was moved. */
import type { DrainReason } from './machine-state.js';

/** Each decision that is logged, by its log message, with the fields of its line. */
export interface DecisionFields {
  'machine drained': { machine: string; reason: DrainReason; running: number };
  'machine terminated': {
    machine: string;
    /** What proved the termination. */
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
    /** The job that it was preempted for. */
    for: string | undefined;
    lostCpuSeconds: number;
  };
}

/** Writes a decision to the leader's log. */
export type DecisionLogger = <Decision extends keyof DecisionFields>(
  decision: Decision,
  fields: DecisionFields[Decision],
) => void;
