import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobApi } from '../src/controller/api/job-api.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { SUBMISSION } from './support/submission.js';
import { World } from './support/world.js';

const LOWER_LIMITS = { value_kb: 2, txn_ops: 4, write_rps: 30 };
/** Creates nodes without a leader, whose replies depend on the state service alone. */
function createCluster() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  store.limits = { valueBytes: LOWER_LIMITS.value_kb * 1024, changes: LOWER_LIMITS.txn_ops };
  const createNode = () => {
    const state = new FakeStateService(store);
    const ctx = createContext('n-0', state, clock, LOWER_LIMITS);
    const counts = new Map<string, { done: number; running: number }>();
    const api = new JobApi(ctx, {
      ...WITHOUT_LEADER,
      taskCounts: { taskCountsOf: (id) => counts.get(id) ?? null },
    });
    const submit = (n: number, awaits?: unknown, fields: object = {}) =>
      api.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, id: jobId(n), awaits, ...fields })));
    const stateOf = async (n: number) =>
      ((await api.query(jobId(n))).body as { standing?: string }).standing;
    return { api, submit, stateOf, state, ctx, counts };
  };
  const end = (n: number, state: 'done' | 'cancelled') =>
    store.transact(
      [],
      [
        { op: 'put', key: `over/${jobId(n)}`, value: { state, tasks: 2 } },
        { op: 'delete', key: `live/${jobId(n)}` },
      ],
    );
  return { clock, store, createNode, end };
}

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function jobIds(from: number, count: number): string[] {
  return Array.from({ length: count }, (_, i) => jobId(from + i));
}

test('a submission may depend on jobs in any state, accepted by any node', async () => {
  const cluster = createCluster();
  const [a, b] = [cluster.createNode(), cluster.createNode()];
  for (const n of [1, 2, 3]) await a.submit(n);
  cluster.end(2, 'done');
  assert.deepEqual(await b.submit(10, [jobId(1), jobId(2), jobId(1)]), {
    status: 201,
    body: { id: jobId(10), standing: 'queued' },
  });
  // A dependency that is done is not stored.
  assert.deepEqual(
    (cluster.store.entries.get(`live/${jobId(10)}`)?.value as { upstream: string[] } | undefined)
      ?.upstream,
    [jobId(1)],
  );
  for (const none of [null, undefined, []]) {
    const n = 20 + cluster.store.entries.size;
    assert.equal((await a.submit(n, none)).status, 201);
    const live = cluster.store.entries.get(`live/${jobId(n)}`);
    assert.ok(live);
    assert.equal('upstream' in (live.value as object), false);
  }
  cluster.end(3, 'cancelled');
  assert.deepEqual(await a.submit(11, [jobId(1), jobId(3)]), {
    status: 201,
    body: { id: jobId(11), standing: 'cancelled' },
  });
  // A job that was cancelled with its dependency counts as a cancelled dependency itself.
  assert.deepEqual((await a.submit(12, [jobId(11)])).body, {
    id: jobId(12),
    standing: 'cancelled',
  });
  for (const n of [11, 12]) for (const x of [a, b]) assert.equal(await x.stateOf(n), 'cancelled');
});

test('a dependency that was never accepted is refused with 422, a malformed list with 400', async () => {
  const cluster = createCluster();
  const { submit } = cluster.createNode();
  await submit(1);
  assert.equal((await submit(10, [jobId(1), jobId(2)])).status, 422);
  assert.equal((await submit(10, [jobId(10)])).status, 422);
  for (const odd of ['req-000001', {}, 7, [7], [null], ['x'], [['req-000001']]])
    assert.equal((await submit(10, odd)).status, 400, JSON.stringify(odd));
  assert.equal(cluster.store.entries.has(`live/${jobId(10)}`), false);
  // A repeated submission of an accepted id gets 200 whatever dependencies it has.
  assert.equal((await submit(10, [jobId(1)])).status, 201);
  for (const again of [[jobId(2)], [jobId(10)], 7, undefined])
    assert.equal((await submit(10, again)).status, 200);
});

test('a submission whose dependencies cannot be looked up gets 503 and is not accepted', async () => {
  const cluster = createCluster();
  const a = cluster.createNode();
  await a.submit(1);
  for (const fault of ['refuse', 'lose request', 'lose answer'] as const) {
    a.state.fault = fault;
    const reply = await a.submit(10, [jobId(1)]);
    assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
  }
  a.state.fault = null;
  assert.equal(cluster.store.entries.has(`live/${jobId(10)}`), false);
});

test('hundreds of dependencies fit one transaction under the lower limits, and cancelling the last one cancels the job', async () => {
  const cluster = createCluster();
  const { submit, api } = cluster.createNode();
  const many = jobIds(1000, 400);
  for (const x of many)
    cluster.store.transact(
      [],
      [{ op: 'put', key: `live/${x}`, value: { spec: { id: x, tasks: 1 }, at: 0 } }],
    );
  assert.equal((await submit(1, many)).status, 201);
  const pages = [...cluster.store.entries.keys()].filter((k) => k.startsWith('upstream/'));
  assert.ok(pages.length > 0 && pages.length <= 3);
  assert.deepEqual(cluster.store.oversizedKeys, []);
  cluster.end(1399, 'cancelled');
  await cluster.clock.advance(60_000);
  const { standing } = (await api.query(jobId(1))).body as { standing?: string };
  assert.equal(standing, 'cancelled');
});

test('a submission larger than a value of the state service is refused with 422', async () => {
  const { submit } = createCluster().createNode();
  const rigs = Array.from({ length: 200 }, (_, i) => `m16-${i}`).concat('m16');
  assert.equal((await submit(3, [], { rigs })).status, 422);
});

test('without a leader, all nodes report the dependents of a cancelled job as cancelled in time', async () => {
  const cluster = createCluster();
  const [a, b] = [cluster.createNode(), cluster.createNode()];
  await a.submit(1);
  await a.submit(2, [jobId(1)]);
  await a.submit(3, [jobId(2)]);
  for (const x of [a, b]) assert.equal(await x.stateOf(3), 'queued');
  await b.api.cancel(jobId(1));
  // A cached state may still be returned until it expires.
  await cluster.clock.advance(a.ctx.timing.dependencyFreshMs);
  assert.equal(await a.stateOf(3), 'cancelled');
  assert.deepEqual(cluster.store.entries.get(`over/${jobId(3)}`)?.value, {
    state: 'cancelled',
    tasks: 2,
  });
  for (const n of [2, 3])
    for (const x of [b, a, cluster.createNode()]) assert.equal(await x.stateOf(n), 'cancelled');
  assert.equal((await a.submit(3)).status, 200);
});

test('a job is not reported as cancelled before its cancellation is durable', async () => {
  const cluster = createCluster();
  const a = cluster.createNode();
  await a.submit(1);
  await a.submit(2, [jobId(1)]);
  cluster.end(1, 'cancelled');
  await cluster.clock.advance(a.ctx.timing.dependencyFreshMs);
  const { transact } = a.state;
  a.state.transact = () => Promise.reject(new Error('timed out'));
  assert.equal((await a.api.query(jobId(2))).status, 503);
  a.state.transact = transact;
  assert.equal(await a.stateOf(2), 'cancelled');
});

const fixedRandom = () => 0.5;

async function startWorld(jobs: number): Promise<{ world: World; initialJobs: string[] }> {
  const world = new World(fixedRandom, 4, () => 20_000);
  world.lowerLimits();
  await world.run(8);
  const initialJobs: string[] = [];
  for (let i = 0; i < jobs; i++) initialJobs.push(await world.submit());
  await world.run(4);
  return { world, initialJobs };
}

test('dependent jobs run in order when the leader changes between them', async () => {
  const { world, initialJobs } = await startWorld(2);
  const middle = await world.submit({ awaits: initialJobs });
  const last = await world.submit({ awaits: [middle, initialJobs[0] as string] });
  world.currentLeader?.crash();
  await world.run(60);
  world.currentLeader?.crash();
  for (const c of [...world.controllers]) if (c.hasCrashed) world.restart(c);
  await world.run(80);
  for (const x of [...initialJobs, middle, last]) {
    await world.poll(x);
    assert.equal(world.reportedStates.get(x)?.state, 'done');
  }
});

test('a cancellation reaches a dependency tree larger than one transaction when the leader crashes midway', async () => {
  const { world, initialJobs } = await startWorld(1);
  const root = initialJobs[0] as string;
  const tree = [root];
  for (let i = 0; i < 24; i++)
    tree.push(await world.submit({ awaits: [tree[Math.floor(i / 2)] as string] }));
  const done = await world.submit();
  assert.ok(await world.cancel(root, world.follower));
  await world.run(0.5);
  world.currentLeader?.crash();
  await world.run(30);
  for (const x of tree) {
    assert.equal(world.store.entries.has(`live/${x}`), false, x);
    await world.poll(x);
    assert.equal(world.reportedStates.get(x)?.state, 'cancelled');
  }
  await world.run(60);
  await world.poll(done);
  assert.equal(world.reportedStates.get(done)?.state, 'done');
});

test('the first reply after an outage longer than the cancellation limit reports a dependent as cancelled', async () => {
  const { world, initialJobs } = await startWorld(1);
  const root = initialJobs[0] as string;
  const next = await world.submit({ awaits: [root] });
  const last = await world.submit({ awaits: [next] });
  await world.poll(last);
  // The leader receives no announcement of the cancellation and can't write.
  const leader = world.currentLeader;
  assert.ok(leader);
  leader.state.fault = 'refuse';
  leader.isPartitionedFromPeers = true;
  assert.ok(await world.cancel(root, world.follower));
  world.store.outage = true;
  await world.run(65);
  world.store.outage = false;
  const other = world.controllers.find((c) => c !== leader);
  const reply = await other?.jobApi.query(last);
  assert.equal((reply?.body as { standing: string } | undefined)?.standing, 'cancelled');
});

test('a cancellation that replies done does not cancel the dependents of the job', async () => {
  const { world, initialJobs } = await startWorld(1);
  const root = initialJobs[0] as string;
  const next = await world.submit({ awaits: [root] });
  await world.run(40);
  assert.ok(await world.cancel(root));
  assert.equal(world.reportedStates.get(root)?.state, 'done');
  await world.run(40);
  await world.poll(next);
  assert.equal(world.reportedStates.get(next)?.state, 'done');
});

test('a query does not cancel a job with running tasks, even when its dependency was cancelled', async () => {
  const cluster = createCluster();
  const node = cluster.createNode();
  await node.submit(1);
  await node.submit(2, [jobId(1)]);
  cluster.end(1, 'cancelled');
  node.counts.set(jobId(2), { done: 0, running: 1 });
  // The state of job 1 that the submission cached has expired.
  await cluster.clock.advance(node.ctx.timing.dependencyFreshMs);
  assert.equal(await node.stateOf(2), 'running');
  assert.ok(cluster.store.entries.has(`live/${jobId(2)}`));
});
