import assert from 'node:assert/strict';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { Notes } from './support/trace/notes.js';
import type { PlayedHistory } from './support/trace/player.js';

/**
 * What leaves the controllers, in whole histories, as it was when this was
 * written: each history's digest by its kind, for the seeds from 1 on. A
 * change of these is a change of behaviour. One that is meant is shown by the
 * difference of the traces, and the new digests stand beside it in the commit.
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

/** Over all histories each of these happens at least so often, or the digests would show little. */
const LEAST: Record<string, number> = {
  'announced cancellations': 80,
  'bitmap writes': 830,
  'cancellations asked': 60,
  'cancellations carried on': 33,
  'capacity refusals': 580,
  'checkpoints saved': 23,
  'deaf machines returned': 4,
  'direct commands': 870,
  failures: 30,
  'heard machines returned': 130,
  'jobs cancelled': 80,
  'jobs done': 670,
  'late commands': 3,
  'late copies': 50,
  'late transactions': 8,
  'lease renewals': 1170,
  'lost answers of the state service': 9,
  'lost answers to commands': 3,
  'lost answers to reports': 50,
  'machine lists': 770,
  'mailed answers': 230,
  'mailed reports': 300,
  'never booted machines returned': 3,
  'orders to forget': 2010,
  'orders to start': 2330,
  'orders to stop': 590,
  preemptions: 470,
  redirections: 410,
  'refusals of submissions': 37,
  'relayed reports': 480,
  'relayed users': 27,
  rentals: 820,
  'reports answered': 6030,
  returns: 120,
  'roster writes': 530,
  'seconds of a team at its limit': 250,
  'sessions lost': 9,
  'silent machines returned': 7,
  'spot notices': 12,
  starts: 1900,
  'starts of jobs that needed others': 180,
  'state service: 410': 4,
  'state service: 429': 50,
  'state service: 503': 590,
  'stops for a spot notice': 10,
  'stops of cancelled work': 70,
  'submissions accepted': 560,
  'submissions repeated': 110,
  terms: 80,
  'transactions in conflict': 110,
  unavailable: 70,
  'upstream pages': 4,
};

const HINT =
  'To compare, run this test on both sources with TRACE_DIR=<directory> and diff the files there.';

const YOUNG_MB = 96;

/** Plays all histories in a thread of their own; see the player for the reason. */
function playAll(): Promise<PlayedHistory[]> {
  const asked = Object.entries(DIGESTS).flatMap(([kind, digests]) =>
    digests.map((_, i) => ({ kind, seed: i + 1 })),
  );
  const player = new Worker(new URL('./support/trace/player.js', import.meta.url), {
    workerData: asked,
    // What is played makes much garbage that lives briefly.
    resourceLimits: { maxYoungGenerationSizeMb: YOUNG_MB },
  });
  const played: PlayedHistory[] = [];
  player.on('message', (history: PlayedHistory) => played.push(history));
  return new Promise((resolve, reject) => {
    player.on('error', reject);
    player.on('exit', () => resolve(played));
  });
}

function keep(directory: string, { kind, seed, text }: PlayedHistory): void {
  mkdirSync(directory, { recursive: true });
  writeFileSync(join(directory, `${kind.replaceAll(' ', '-')}-${seed}.txt`), text);
}

test('what leaves the controllers is the same as ever, in every history', async (t) => {
  const histories = await playAll();
  const directory = process.env.TRACE_DIR;
  if (directory) for (const history of histories) keep(directory, history);
  for (const [kind, digests] of Object.entries(DIGESTS))
    for (const [i, digest] of digests.entries())
      await t.test(`${kind} ${i + 1}`, () => {
        const history = histories.find((h) => h.kind === kind && h.seed === i + 1);
        assert.equal(history?.digest, digest, `history "${kind}", seed ${i + 1}. ${HINT}`);
      });
  await t.test('enough happens in them', () => {
    const notes = new Notes();
    for (const { counts } of histories) for (const [name, times] of counts) notes.add(name, times);
    if (directory) writeFileSync(join(directory, 'counts.json'), JSON.stringify([...notes.counts]));
    for (const [name, least] of Object.entries(LEAST)) {
      const times = notes.counts.get(name) ?? 0;
      assert.ok(times >= least, `${name}: ${times}, and not ${least} or more`);
    }
  });
});
