/**
 * Entry point of the worker thread that runs the histories. The test runner
 * tracks every promise of its own thread, which would take most of the run
 * time. A separate thread avoids that cost, and its timers, network functions
 * and random numbers can be replaced without affecting the test runner.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { runHistory } from './histories.js';
import { digestOf } from './trace.js';

/** The outcome of one history. */
export interface HistoryResult {
  kind: string;
  seed: number;
  digest: string;
  /** Text of the trace. */
  text: string;
  counts: [event: string, count: number][];
}

const requested = workerData as { kind: string; seed: number }[];
for (const { kind, seed } of requested) {
  const { trace, counts: eventCounts } = await runHistory(kind, seed);
  const text = trace.text();
  eventCounts.addFromTrace(text);
  const counts = [...eventCounts.byName];
  const result: HistoryResult = { kind, seed, digest: digestOf(text), text, counts };
  parentPort?.postMessage(result);
}
