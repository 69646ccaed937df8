import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RequestRefusedError, RequestRejectedError } from '../src/clients/key-value-store.js';
import { StateClient } from '../src/clients/state-client.js';
import { stateLimitsOf } from '../src/config/state-limits.js';
import { DemandStore } from '../src/controller/leader/demand-store.js';
import { ProgressWriter } from '../src/controller/leader/progress-writer.js';
import { serve } from '../src/http/server.js';
import type { RosterEntry } from '../src/model/machine.js';
import { FrameReader, packFrame } from '../src/peer/frames.js';
import { fencingToken, truncateCommands } from '../src/protocol/agent-protocol.js';
import { BitmapLayout } from '../src/records/bitmap-layout.js';
import { decodeJobSpec } from '../src/records/job-record.js';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { Roster } from '../src/scheduler/persistence/roster.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { Job } from '../src/scheduler/state/task-attempt.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

const KIB = 1024;
/** Announced limits. They are lower than those of the test settings, by which the previous version sized its values. */
const NEXT_LIMITS = { value_kb: 2, txn_ops: 4, write_rps: 30 };
const PREVIOUS_TASKS_PER_CHUNK = 32_768;

/** Records that the previous version wrote: a live job and the bitmaps of its finished tasks. */
const STORED_LIVE_JOB = {
  spec: {
    id: 'req-000412',
    jobClass: 'work',
    team: 'ops',
    rank: 1,
    tasks: 40_000,
    cpus: 2,
    gpus: 0,
    memoryGb: 4,
    image: 'img',
    imageGb: 1,
    types: ['m16'],
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 20,
    checkpointS: 0,
    saveS: 0,
    deadlineS: 300,
  },
  at: 1_800_000_000_000,
};
const FINISHED_TASKS = [0, 1, 9, 8191, 8192, 20_000, 32_767, 32_768, 39_999];
const STORED_BITMAPS = [
  {
    key: 'bits/req-000412/0000',
    length: 4096,
    bytes: [
      [0, 3],
      [1, 2],
      [1023, 128],
      [1024, 1],
      [2500, 1],
      [4095, 128],
    ],
  },
  {
    key: 'bits/req-000412/0001',
    length: 904,
    bytes: [
      [0, 1],
      [903, 128],
    ],
  },
] as const;

function bitmapBytes(stored: (typeof STORED_BITMAPS)[number]): Uint8Array {
  const bytes = new Uint8Array(stored.length);
  for (const [offset, byte] of stored.bytes) bytes[offset] = byte;
  return bytes;
}

/**
 * Reads and writes bitmaps like the previous version: the first task of a bitmap
 * is the number in its key times the chunk size, whatever follows the number.
 */
class PreviousVersionBitmaps {
  readonly finished = new Set<number>();

  read(key: string, bytes: Uint8Array): void {
    const [, , number = ''] = key.split('/');
    const first = Number(number) * PREVIOUS_TASKS_PER_CHUNK;
    for (let i = 0; i < bytes.length * 8; i++)
      if (((bytes[i >> 3] as number) >> (i & 7)) & 1) this.finished.add(first + i);
  }

  chunk(number: number, tasks: number): Uint8Array {
    const first = number * PREVIOUS_TASKS_PER_CHUNK;
    const bytes = new Uint8Array(Math.ceil(Math.min(PREVIOUS_TASKS_PER_CHUNK, tasks - first) / 8));
    for (const i of this.finished)
      if (Math.floor(i / PREVIOUS_TASKS_PER_CHUNK) === number)
        bytes[(i - first) >> 3] = (bytes[(i - first) >> 3] as number) | (1 << (i & 7));
    return bytes;
  }
}

function loadBitmap(job: Job, layout: BitmapLayout, key: string, bytes: Uint8Array): void {
  const parsed = layout.parseKey(key);
  assert.ok(parsed, key);
  job.loadBits(parsed.firstTask, bytes);
}

test('bitmaps of the previous version are read, and new ones fit the lower value limit', () => {
  const layout = BitmapLayout.forValueLimits(8 * KIB, NEXT_LIMITS.value_kb * KIB);
  const spec = decodeJobSpec(STORED_LIVE_JOB.spec);
  assert.ok(spec);
  const job = new Job(spec, 77, STORED_LIVE_JOB.at, true);
  for (const stored of STORED_BITMAPS) loadBitmap(job, layout, stored.key, bitmapBytes(stored));
  assert.deepEqual(
    [...Array(STORED_LIVE_JOB.spec.tasks).keys()].filter((i) => job.isDone(i)),
    FINISHED_TASKS,
  );
  assert.ok(STORED_BITMAPS.every((stored) => layout.parseKey(stored.key)?.chunk === null));
  const last = layout.chunkOf(39_999);
  assert.equal(layout.chunkKey('req-000412', 0), 'bits/req-000412/0000/0');
  assert.equal(layout.chunkKey('req-000412', last), 'bits/req-000412/0001/32768');
  assert.deepEqual(layout.parseKey('bits/req-000412/0.25/8192'), {
    job: 'req-000412',
    firstTask: 8192,
    chunk: 1,
  });
  const value = Buffer.from(job.chunkBits(0, layout.tasksPerChunk)).toString('base64');
  assert.ok(JSON.stringify(value).length <= NEXT_LIMITS.value_kb * KIB);
});

/** A leader of the previous version reads all bitmaps, then writes those of the tasks that finish in its term. */
function leadAsPreviousVersion(
  store: Map<string, Uint8Array>,
  done: ReadonlySet<number>,
  finished: readonly number[],
  tasks: number,
): void {
  const bitmaps = new PreviousVersionBitmaps();
  for (const [key, bytes] of store) bitmaps.read(key, bytes);
  assert.deepEqual(bitmaps.finished, done);
  for (const i of finished) bitmaps.finished.add(i);
  for (const chunk of new Set(finished.map((i) => Math.floor(i / PREVIOUS_TASKS_PER_CHUNK))))
    store.set(`bits/req-1/${String(chunk).padStart(4, '0')}`, bitmaps.chunk(chunk, tasks));
}

/** A leader of this version does the same, in values of at most `valueBytes`. */
function leadAsCurrentVersion(
  store: Map<string, Uint8Array>,
  done: ReadonlySet<number>,
  finished: readonly number[],
  tasks: number,
  layout: BitmapLayout,
  valueBytes: number,
): void {
  const job = new Job(jobSpec({ id: 'req-1', tasks }), 1, 0, true);
  for (const [key, bytes] of store) loadBitmap(job, layout, key, bytes);
  assert.equal(job.doneCount, done.size);
  for (const i of finished) job.markDone(i);
  for (const chunk of new Set(finished.map((i) => layout.chunkOf(i)))) {
    const bytes = job.chunkBits(chunk, layout.tasksPerChunk);
    assert.ok(Buffer.from(bytes).toString('base64').length + 2 <= valueBytes);
    store.set(layout.chunkKey('req-1', chunk), bytes);
  }
}

test('no finished task is lost while leaders of both versions alternate', () => {
  const tasks = 100_000;
  for (const valueKib of [0.7, 2, 3, 8]) {
    const layout = BitmapLayout.forValueLimits(8 * KIB, valueKib * KIB);
    const store = new Map<string, Uint8Array>();
    const done = new Set<number>();
    for (let turn = 0; turn < 24; turn++) {
      const finished = Array.from({ length: 20 }, (_, i) => (turn * 7919 + i * 104_729) % tasks);
      if (turn % 3 === 1) leadAsPreviousVersion(store, done, finished, tasks);
      else leadAsCurrentVersion(store, done, finished, tasks, layout, valueKib * KIB);
      for (const i of finished) done.add(i);
    }
  }
});

function rosterEntry(number: number): RosterEntry {
  const name = `n-${String(number).padStart(6, '0')}`;
  return { id: name, type: 'm16', zone: 'a', spot: true, address: `10.1.0.${number}:9000` };
}

test('a roster page that exceeds the new limit is rewritten as pages that fit', () => {
  const pageBytes = NEXT_LIMITS.value_kb * KIB * 0.9;
  const roster = new Roster(4, pageBytes);
  const all = Array.from({ length: 32 }, (_, i) => rosterEntry(i + 1));
  roster.restore('3-1', 10, all);
  roster.removeMachine('n-000002');
  const stored = new Map<string, RosterEntry[]>([['3-1', all]]);
  for (
    let revision = 11, writes = roster.rewriteUnsavedPages(9);
    writes.length > 0;
    writes = roster.rewriteUnsavedPages(9)
  )
    for (const pageWrite of writes) {
      assert.ok(
        JSON.stringify({ machines: pageWrite.entries }).length <= NEXT_LIMITS.value_kb * KIB,
        pageWrite.keySuffix,
      );
      stored.set(pageWrite.keySuffix, pageWrite.entries);
      pageWrite.applied(revision++);
      // A machine that may run tasks is never missing from the roster.
      const names = new Set([...stored.values()].flat().map((entry) => entry.id));
      for (const entry of all)
        if (entry.id !== 'n-000002') assert.ok(names.has(entry.id), entry.id);
    }
  assert.ok((stored.get('3-1')?.length ?? 99) < 32);
  assert.ok([...stored.values()].flat().every((entry) => entry.id !== 'n-000002'));
});

test('a roster page is not rewritten while the outcome of moving its machines is unknown', () => {
  const roster = new Roster(4, 400);
  roster.restore('3-1', 10, [1, 2, 3, 4, 5, 6, 7, 8].map(rosterEntry));
  roster.removeMachine('n-000001');
  const moves = roster.rewriteUnsavedPages(9);
  assert.ok(moves.length > 0 && moves.every((pageWrite) => pageWrite.keySuffix !== '3-1'));
  // It is unknown whether the writes were applied, so both pages keep the machines.
  for (const pageWrite of moves) pageWrite.outcomeUnknown();
  for (const pageWrite of roster.rewriteUnsavedPages(9))
    assert.notEqual(pageWrite.keySuffix, '3-1');
});

test('peer frames and fencing tokens have the same encoding as in the previous version', () => {
  const statusFrame =
    '00000070b90002646b696e646673746174757366737461747573b90007646e6f646563632d316b696e6361726e6174696f6e636162636673656e744174fb427a3185c5000000647465726d03676c656164696e67f56773746174654f6bf566636f756e747381836a7265712d3030303431320904';
  const status = {
    kind: 'status',
    status: {
      node: 'c-1',
      incarnation: 'abc',
      sentAt: 1_800_000_000_000,
      term: 3,
      leading: true,
      stateOk: true,
      counts: [['req-000412', 9, 4]],
    },
  };
  assert.deepEqual(new FrameReader().push(Buffer.from(statusFrame, 'hex')), [status]);
  assert.equal(packFrame(status).toString('hex'), statusFrame);
  const requestFrame =
    '00000041b90004646b696e646361736b616e07626f706963616e63656c6c6564677061796c6f6164b90002636a6f626a7265712d303030343132687265766973696f6e185a';
  const request = {
    kind: 'ask',
    n: 7,
    op: 'cancelled',
    payload: { job: 'req-000412', revision: 90 },
  };
  assert.equal(packFrame(request).toString('hex'), requestFrame);
  assert.equal(fencingToken(3, 5), 3_145_733);
});

test('the demand forecast is stored in pages that fit, the first of which both versions read', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  store.limits = { valueBytes: NEXT_LIMITS.value_kb * KIB, changes: NEXT_LIMITS.txn_ops };
  const ctx = createContext('n-0', new FakeStateService(store), clock, NEXT_LIMITS);
  const stop = new AbortController();
  const term = { number: 1, version: 0, signal: stop.signal } as never;
  const cluster = createCluster();
  const scaleOut = new ScaleOutPlanner(cluster);
  const demandStore = new DemandStore(ctx, term, scaleOut);
  for (let i = 1; i <= 12; i++)
    demandStore.recordArrival(jobSpec({ jobClass: `class-${i}`, tasks: i }), i);
  void demandStore.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.demandSaveIntervalMs + 1);
  stop.abort();
  await settle();
  assert.deepEqual(store.oversizedKeys, []);
  const first = store.entries.get('loads')?.value as { loads: unknown[]; upTo: number };
  assert.equal(first.upTo, 12);
  const nextScaleOut = new ScaleOutPlanner(cluster);
  const nextDemandStore = new DemandStore(
    ctx,
    { number: 2, signal: new AbortController().signal } as never,
    nextScaleOut,
  );
  await nextDemandStore.read();
  // Four pages hold all forecasts except the smallest ones.
  const restoredClasses = nextScaleOut.snapshot().map((forecast) => forecast.spec.jobClass);
  assert.ok(
    restoredClasses.length > first.loads.length && restoredClasses.length >= 10,
    `${restoredClasses.length}`,
  );
  // A job that the stored forecast includes is not counted again.
  nextDemandStore.recordArrival(jobSpec({ jobClass: 'class-12' }), 12);
  assert.equal(nextScaleOut.snapshot().length, restoredClasses.length);
  // The record as the previous version writes it.
  store.entries.set('loads', {
    key: 'loads',
    version: 3,
    value: {
      loads: [
        {
          spec: STORED_LIVE_JOB.spec,
          mean: 8240,
          variance: 329600000,
          shape: { cpus: 2, gpus: 0, memoryGb: 4 },
          holdS: 20.6,
          gapMs: 50000,
          quietMs: 0,
        },
      ],
      upTo: 77,
    },
  });
  await nextDemandStore.read();
  assert.deepEqual(
    nextScaleOut.snapshot().map((forecast) => forecast.mean),
    [8240],
  );
});

test('a write rejected for its size is not retried and does not block other writes', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const state = new FakeStateService(store);
  const ctx = createContext('n-0', state, clock, NEXT_LIMITS);
  const stop = new AbortController();
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  for (const n of [1, 2]) {
    const id = `req-00000${n}`;
    store.transact([], [{ op: 'put', key: `live/${id}`, value: {} }]);
    cluster.addJob(jobSpec({ id, tasks: 1 }), store.revision, 0, false);
  }
  runPlacementRound(cluster, 9, 0);
  sendHeartbeat(cluster, agent, 10);
  for (const key of [...agent.tasks.keys()]) agent.exit(key, 'done');
  sendHeartbeat(cluster, agent, 20);
  let rejections = 0;
  const { transact } = state;
  state.transact = (conditions, changes) => {
    if (!changes.some((x) => x.key === 'over/req-000001'))
      return transact.call(state, conditions, changes);
    rejections++;
    return Promise.reject(new RequestRejectedError('400 too large'));
  };
  const term = { number: 1, version: 0, signal: stop.signal, resign: () => {} } as never;
  void new ProgressWriter(ctx, term, cluster).run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.progressWriteIntervalMs * 1.5);
  assert.ok(store.entries.has('over/req-000002'));
  // Once in a transaction with the other write, and once alone.
  assert.equal(rejections, 2);
  stop.abort();
  assert.equal(collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 }).length, 1);
});

test('a 429 response to a change lowers the change rate at once, and leadership changes still pass', async (t) => {
  // The sockets are real, and a busy machine may exceed any timeout, so request timeouts are disabled.
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = new FakeClock();
  let status = 200;
  const stop = new AbortController();
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler: () => ({ status, body: { ledgerRev: 1 } }),
      maxConnections: 100,
      requestTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
      minEvictableIdleMs: 0,
      onError: () => {},
    },
    stop.signal,
  );
  const { port } = server.address() as { port: number };
  const state = new StateClient({
    address: { host: '127.0.0.1', port },
    requestsPerS: 1000,
    changesPerS: 100,
    loweredChangesPerS: 10,
    timeoutMs: 50,
    clock,
  });
  const put = (priority: 0 | 1) =>
    state.transact([], [{ op: 'put', key: 'a', value: 1 }], priority);
  /** Sends twenty changes within 200 ms and returns how many succeed. */
  const countPassedChanges = async () => {
    let passed = 0;
    const requests: Promise<void>[] = [];
    const count = () => {
      passed++;
    };
    for (let n = 0; n < 20; n++) {
      requests.push(put(1).then(count, (error) => assert.ok(error instanceof RequestRefusedError)));
      await clock.advance(10);
    }
    // Changes that were delayed for the budget complete now.
    await clock.advance(100);
    await Promise.all(requests);
    return passed;
  };
  try {
    status = 429;
    await assert.rejects(put(1), RequestRefusedError);
    status = 200;
    await clock.advance(1000);
    const passed = await countPassedChanges();
    assert.ok(passed > 0 && passed <= 12, `${passed} changes passed in 200 ms`);
    assert.equal((await put(0)).ok, true);
  } finally {
    state.close();
    stop.abort();
  }
});

test('commands that do not fit a mailbox message are dropped from the end', () => {
  const orders = Array.from({ length: 100 }, (_, i) => ({
    verb: 'forget',
    hand: `req-1/${i}`,
    try: 1,
  }));
  const truncated = truncateCommands({ baton: 7, orders }, 1000) as {
    baton: number;
    orders: unknown[];
  };
  assert.ok(JSON.stringify(truncated).length <= 1000);
  assert.deepEqual(truncated.orders, orders.slice(0, truncated.orders.length));
  assert.ok(truncated.orders.length > 10);
  assert.deepEqual(truncateCommands({ error: 'x' }, 1), { error: 'x' });
});

test('without announced limits the current limits apply and bitmaps keep their chunk size', () => {
  const ctx = createContext(
    'n-0',
    new FakeStateService(new FakeStore(new FakeClock())),
    new FakeClock(),
  );
  const limits = stateLimitsOf(ctx.platform);
  assert.deepEqual(limits, {
    presentValueBytes: 8192,
    valueBytes: 8192,
    changes: 12,
    changesPerS: 50,
    loweredChangesPerS: 50,
  });
  assert.equal(BitmapLayout.forValueLimits(8192, 8192).tasksPerChunk, PREVIOUS_TASKS_PER_CHUNK);
});
