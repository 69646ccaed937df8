import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProgressWriter } from '../src/controller/leader/progress-writer.js';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

/** A leader whose only job is complete but whose end is not written yet. */
function withCompleteJob() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const state = new FakeStateService(store);
  const ctx = createContext('n-0', state, clock);
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  store.transact([], [{ op: 'put', key: 'live/req-000001', value: {} }]);
  cluster.addJob(jobSpec({ tasks: 1 }), store.revision, 0, false);
  runPlacementRound(cluster, 9, 0);
  sendHeartbeat(cluster, agent, 10);
  for (const key of [...agent.tasks.keys()]) agent.exit(key, 'done');
  sendHeartbeat(cluster, agent, 20);
  const stop = new AbortController();
  const resignReasons: string[] = [];
  const term = {
    number: 1,
    version: 0,
    signal: stop.signal,
    resign: (reason: string) => resignReasons.push(reason),
  } as never;
  const run = () => void new ProgressWriter(ctx, term, cluster).run(stop.signal).catch(() => {});
  return { clock, store, state, ctx, cluster, stop, resignReasons, run };
}

test('a leader whose key is held by another controller writes nothing and ends its term', async () => {
  const node = withCompleteJob();
  node.store.transact([], [{ op: 'put', key: 'leader', value: {} }]);
  node.run();
  await node.clock.advance(node.ctx.timing.progressWriteIntervalMs * 1.5);
  node.stop.abort();
  assert.deepEqual(node.resignReasons, ['leader key held by another controller']);
  assert.equal(node.store.entries.has('over/req-000001'), false);
  assert.equal(node.cluster.jobs.size, 1);
});

test('a refused write is retried after a pause until it succeeds', async () => {
  const node = withCompleteJob();
  node.state.fault = 'refuse';
  node.run();
  const { progressWriteIntervalMs } = node.ctx.timing;
  await node.clock.advance(progressWriteIntervalMs * 1.5);
  const { requests } = node.state;
  // The pause is longer than one write interval.
  await node.clock.advance(progressWriteIntervalMs * 2);
  assert.equal(node.state.requests, requests);
  node.state.fault = null;
  await node.clock.advance(progressWriteIntervalMs * 3);
  node.stop.abort();
  assert.equal(node.store.entries.has('over/req-000001'), true);
  assert.equal(node.cluster.jobs.size, 0);
  assert.deepEqual(node.resignReasons, []);
});

/** Guards against thousands of ends that are collected in one turn of the event loop. */
test('the cancellation of thousands of jobs is collected in parts, and what ends between two parts is not written', () => {
  const count = 2500;
  const largestPart = 1000;
  const cluster = createCluster();
  const first = cluster.addJob(jobSpec({ id: 'req-000000' }), 1, 0, false);
  assert.ok(first);
  const ids = Array.from({ length: count }, (_, i) => `req-${String(i + 1).padStart(6, '0')}`);
  for (const [i, id] of ids.entries())
    cluster.addJob(jobSpec({ id }), i + 2, 0, false, {
      ids: ['req-000000'],
      unread: false,
      keys: [],
    });
  cluster.endJob('req-000000', { state: 'cancelled', at: null });
  const lastId = ids[count - 1] as string;
  const written: string[] = [];
  for (let part = 0; cluster.jobs.size > 0; part++) {
    const writes = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
    assert.ok(writes.length > 0 && writes.length <= largestPart, `${writes.length} writes`);
    if (part === 0) cluster.endJob(lastId, null);
    for (const write of writes) {
      written.push(...write.changes.filter(({ op }) => op === 'put').map(({ key }) => key));
      write.applied(part + 1);
    }
  }
  assert.deepEqual(
    written,
    ids.slice(0, -1).map((id) => `over/${id}`),
  );
});
