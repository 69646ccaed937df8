import assert from 'node:assert/strict';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { EventCounts } from './support/trace/event-counts.js';
import type { HistoryResult } from './support/trace/history-worker.js';

/**
 * Digests of everything that the controllers send, by kind of history, for
 * seeds 1, 2 and so on. A changed digest means that the behaviour of the
 * controllers changed. For an intended change, the commit shows the difference
 * between the traces and contains the new digests. The kinds keep their names,
 * because each name is part of the seed of its histories.
 */
const DIGESTS: Record<string, string[]> = {
  calm: ['8e65f70b27a467e6', 'd9978cb019ade86f'],
  takeovers: ['98d89d0dba2516e9', 'df6688f45689d9a2', '35da17219c136ca6'],
  cuts: ['0c3778ae09f65417', '0850f3918afdb598', 'f01308a66204e0c8'],
  'state service': ['78d1f79b3806db49', '9c5ea1881b431e39'],
  'lost and late': ['816c59ca1cf50b29', 'd265f4f7b5e8c8b7'],
  cloud: ['d236e75cba6e096d', '5ef82c1d70e0e2ac'],
  failures: ['7c77f1438aab0337', 'f8a23f6e41af2dce'],
  dependencies: ['142664fa69959e82', 'dabe0d77baed6331'],
  crowded: ['cb056750b140ee6e', 'c641d692b3f7287c'],
  silence: ['ee1cb76e96e3e1de', 'efdf2d71f39296a3'],
  'long lists': ['58b2ff9d5ebf849c', '55eab26ffaed66ef'],
  'lowered limits': ['e396f6c1ec841dbc', 'e617ceae83fdc370'],
};

/**
 * Minimum number of times that each event occurs in all histories together.
 * Without these events the digests would cover little behaviour.
 */
const MIN_COUNTS: Record<string, number> = {
  'cancellation notices': 80,
  'bitmap writes': 830,
  'cancellation requests': 60,
  'cancellations propagated to dependent jobs': 33,
  'capacity refusals': 580,
  'task stops with a grace period': 23,
  'unresponsive machines terminated': 4,
  'direct commands': 870,
  failures: 30,
  'healthy machines terminated': 130,
  'jobs cancelled': 80,
  'jobs done': 670,
  'delayed commands': 3,
  'duplicate heartbeats': 50,
  'delayed transactions': 8,
  'state service lease renewals': 1170,
  'lost state service responses': 9,
  'lost command responses': 3,
  'lost heartbeat responses': 50,
  'machine list requests': 770,
  'mailbox responses': 230,
  'mailbox requests': 300,
  'never booted machines terminated': 3,
  'forget commands': 2010,
  'start commands': 2330,
  'stop commands': 590,
  preemptions: 470,
  redirections: 410,
  'rejected submissions': 37,
  'forwarded heartbeats': 480,
  'forwarded user requests': 27,
  provisioning: 820,
  'heartbeat responses': 6030,
  termination: 120,
  'roster writes': 530,
  'seconds with a team at its CPU limit': 250,
  'agent leases expired': 9,
  'hung machines terminated': 7,
  'preemption notices': 12,
  starts: 1900,
  'starts of dependent jobs': 180,
  'state service: 410': 4,
  'state service: 429': 50,
  'state service: 503': 590,
  'task stops after a preemption notice': 10,
  'task stops of ended jobs': 70,
  'accepted submissions': 560,
  'repeated submissions': 110,
  terms: 80,
  'transaction conflicts': 110,
  unavailable: 70,
  'dependency list pages': 4,
};

const HINT =
  'To compare, run this test on both versions with TRACE_DIR=<directory> and diff the files there.';

/** Heap space for new objects in the worker: the simulation allocates many short-lived objects. */
const YOUNG_GENERATION_MB = 96;

/** Runs all histories in a worker thread, for the reasons given in history-worker.ts. */
function runHistories(): Promise<HistoryResult[]> {
  const requested = Object.entries(DIGESTS).flatMap(([kind, digests]) =>
    digests.map((_, i) => ({ kind, seed: i + 1 })),
  );
  const worker = new Worker(new URL('./support/trace/history-worker.js', import.meta.url), {
    workerData: requested,
    resourceLimits: { maxYoungGenerationSizeMb: YOUNG_GENERATION_MB },
  });
  const results: HistoryResult[] = [];
  worker.on('message', (result: HistoryResult) => results.push(result));
  return new Promise((resolve, reject) => {
    worker.on('error', reject);
    worker.on('exit', () => resolve(results));
  });
}

function writeTrace(directory: string, { kind, seed, text }: HistoryResult): void {
  mkdirSync(directory, { recursive: true });
  writeFileSync(join(directory, `${kind.replaceAll(' ', '-')}-${seed}.txt`), text);
}

test('controllers send the recorded messages in every history', async (t) => {
  const histories = await runHistories();
  const directory = process.env.TRACE_DIR;
  if (directory) for (const history of histories) writeTrace(directory, history);
  for (const [kind, digests] of Object.entries(DIGESTS))
    for (const [i, digest] of digests.entries())
      await t.test(`${kind} ${i + 1}`, () => {
        const history = histories.find((h) => h.kind === kind && h.seed === i + 1);
        assert.equal(history?.digest, digest, `history "${kind}", seed ${i + 1}. ${HINT}`);
      });
  await t.test('the histories contain enough events of each kind', () => {
    const totals = new EventCounts();
    for (const { counts } of histories) for (const [name, count] of counts) totals.add(name, count);
    if (directory)
      writeFileSync(join(directory, 'counts.json'), JSON.stringify([...totals.byName]));
    for (const [name, minimum] of Object.entries(MIN_COUNTS)) {
      const count = totals.byName.get(name) ?? 0;
      assert.ok(count >= minimum, `${name}: ${count}, expected at least ${minimum}`);
    }
  });
});
