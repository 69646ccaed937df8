/**
 * Plays histories in a thread of its own, away from the test runner: that
 * follows every promise of its own thread, which takes most of the time, and
 * here timers, network and random numbers may be replaced without touching it.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { playHistory } from './histories.js';
import { digestOf } from './trace.js';

/** What was played, and what is to be seen of it. */
export interface PlayedHistory {
  kind: string;
  seed: number;
  digest: string;
  text: string;
  counts: [name: string, times: number][];
}

const asked = workerData as { kind: string; seed: number }[];
for (const { kind, seed } of asked) {
  const { trace, notes } = await playHistory(kind, seed);
  const text = trace.text();
  notes.addTrace(text);
  const counts = [...notes.counts];
  const played: PlayedHistory = { kind, seed, digest: digestOf(text), text, counts };
  parentPort?.postMessage(played);
}
