import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobApi } from '../src/controller/api/job-api.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { SUBMISSION } from './support/submission.js';
import { World } from './support/world.js';

const NEXT = { value_kb: 2, txn_ops: 4, write_rps: 30 };
/** Creates nodes without a leader, whose replies depend on the state service alone. */
function nodes() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  store.limits = { valueBytes: NEXT.value_kb * 1024, changes: NEXT.txn_ops };
  const node = () => {
    const state = new FakeStateService(store);
    const ctx = createContext('n-0', state, clock, NEXT);
    const counts = new Map<string, { done: number; running: number }>();
    const users = new JobApi(ctx, {
      ...WITHOUT_LEADER,
      taskCounts: { taskCountsOf: (id) => counts.get(id) ?? null },
    });
    const submit = (n: number, awaits?: unknown, fields: object = {}) =>
      users.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, id: id(n), awaits, ...fields })));
    const standing = async (n: number) =>
      ((await users.query(id(n))).body as { standing?: string }).standing;
    return { users, submit, standing, state, ctx, counts };
  };
  const end = (n: number, state: 'done' | 'cancelled') =>
    store.transact(
      [],
      [
        { op: 'put', key: `over/${id(n)}`, value: { state, tasks: 2 } },
        { op: 'delete', key: `live/${id(n)}` },
      ],
    );
  return { clock, store, node, end };
}

function id(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function ids(from: number, count: number): string[] {
  return Array.from({ length: count }, (_, i) => id(from + i));
}

test('a submission may depend on jobs in any state, accepted by any node', async () => {
  const w = nodes();
  const [a, b] = [w.node(), w.node()];
  for (const n of [1, 2, 3]) await a.submit(n);
  w.end(2, 'done');
  assert.deepEqual(await b.submit(10, [id(1), id(2), id(1)]), {
    status: 201,
    body: { id: id(10), standing: 'queued' },
  });
  // A dependency that is done is not stored.
  assert.deepEqual(
    (w.store.entries.get(`live/${id(10)}`)?.value as { upstream: string[] } | undefined)?.upstream,
    [id(1)],
  );
  for (const none of [null, undefined, []]) {
    const n = 20 + w.store.entries.size;
    assert.equal((await a.submit(n, none)).status, 201);
    const live = w.store.entries.get(`live/${id(n)}`);
    assert.ok(live);
    assert.equal('upstream' in (live.value as object), false);
  }
  w.end(3, 'cancelled');
  assert.deepEqual(await a.submit(11, [id(1), id(3)]), {
    status: 201,
    body: { id: id(11), standing: 'cancelled' },
  });
  // A job that was cancelled with its dependency counts as a cancelled dependency itself.
  assert.deepEqual((await a.submit(12, [id(11)])).body, { id: id(12), standing: 'cancelled' });
  for (const n of [11, 12]) for (const x of [a, b]) assert.equal(await x.standing(n), 'cancelled');
});

test('a dependency that was never accepted is refused with 422, a malformed list with 400', async () => {
  const w = nodes();
  const { submit } = w.node();
  await submit(1);
  assert.equal((await submit(10, [id(1), id(2)])).status, 422);
  assert.equal((await submit(10, [id(10)])).status, 422);
  for (const odd of ['req-000001', {}, 7, [7], [null], ['x'], [['req-000001']]])
    assert.equal((await submit(10, odd)).status, 400, JSON.stringify(odd));
  assert.equal(w.store.entries.has(`live/${id(10)}`), false);
  // A repeated submission of an accepted id gets 200 whatever dependencies it has.
  assert.equal((await submit(10, [id(1)])).status, 201);
  for (const again of [[id(2)], [id(10)], 7, undefined])
    assert.equal((await submit(10, again)).status, 200);
});

test('a submission whose dependencies cannot be looked up gets 503 and is not accepted', async () => {
  const w = nodes();
  const a = w.node();
  await a.submit(1);
  for (const fault of ['refuse', 'lose request', 'lose answer'] as const) {
    a.state.fault = fault;
    const reply = await a.submit(10, [id(1)]);
    assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
  }
  a.state.fault = null;
  assert.equal(w.store.entries.has(`live/${id(10)}`), false);
});

test('hundreds of dependencies fit one transaction under the lower limits, and the last one cancels the job too', async () => {
  const w = nodes();
  const { submit, users } = w.node();
  const many = ids(1000, 400);
  for (const x of many)
    w.store.transact(
      [],
      [{ op: 'put', key: `live/${x}`, value: { spec: { id: x, tasks: 1 }, at: 0 } }],
    );
  assert.equal((await submit(1, many)).status, 201);
  const pages = [...w.store.entries.keys()].filter((k) => k.startsWith('upstream/'));
  assert.ok(pages.length > 0 && pages.length <= 3);
  assert.deepEqual(w.store.oversize, []);
  w.end(1399, 'cancelled');
  await w.clock.advance(60_000);
  const { standing } = (await users.query(id(1))).body as { standing?: string };
  assert.equal(standing, 'cancelled');
});

test('a submission larger than a value of the state service is refused with 422', async () => {
  const { submit } = nodes().node();
  const rigs = Array.from({ length: 200 }, (_, i) => `m16-${i}`).concat('m16');
  assert.equal((await submit(3, [], { rigs })).status, 422);
});

test('without a leader, all nodes report the dependents of a cancelled job as cancelled in time', async () => {
  const w = nodes();
  const [a, b] = [w.node(), w.node()];
  await a.submit(1);
  await a.submit(2, [id(1)]);
  await a.submit(3, [id(2)]);
  for (const x of [a, b]) assert.equal(await x.standing(3), 'queued');
  await b.users.cancel(id(1));
  // A cached state may still be returned until it expires.
  await w.clock.advance(a.ctx.timing.dependencyFreshMs);
  assert.equal(await a.standing(3), 'cancelled');
  assert.deepEqual(w.store.entries.get(`over/${id(3)}`)?.value, { state: 'cancelled', tasks: 2 });
  for (const n of [2, 3])
    for (const x of [b, a, w.node()]) assert.equal(await x.standing(n), 'cancelled');
  assert.equal((await a.submit(3)).status, 200);
});

test('a job is not reported as cancelled before its cancellation is durable', async () => {
  const w = nodes();
  const a = w.node();
  await a.submit(1);
  await a.submit(2, [id(1)]);
  w.end(1, 'cancelled');
  await w.clock.advance(a.ctx.timing.dependencyFreshMs);
  const { transact } = a.state;
  a.state.transact = () => Promise.reject(new Error('not answered'));
  assert.equal((await a.users.query(id(2))).status, 503);
  a.state.transact = transact;
  assert.equal(await a.standing(2), 'cancelled');
});

const even = () => 0.5;

async function steady(jobs: number): Promise<{ w: World; first: string[] }> {
  const w = new World(even, 4, () => 20_000);
  w.lowerLimits();
  await w.run(8);
  const first: string[] = [];
  for (let i = 0; i < jobs; i++) first.push(await w.submit());
  await w.run(4);
  return { w, first };
}

test('dependent jobs run in order when the leader changes between them', async () => {
  const { w, first } = await steady(2);
  const middle = await w.submit({ awaits: first });
  const last = await w.submit({ awaits: [middle, first[0] as string] });
  w.leading?.crash();
  await w.run(60);
  w.leading?.crash();
  for (const c of [...w.controllers]) if (c.dead) w.restart(c);
  await w.run(80);
  for (const x of [...first, middle, last]) {
    await w.poll(x);
    assert.equal(w.told.get(x)?.standing, 'done');
  }
});

test('a cancellation reaches all dependents, more than one transaction holds, when the leader crashes midway', async () => {
  const { w, first } = await steady(1);
  const root = first[0] as string;
  const tree = [root];
  for (let i = 0; i < 24; i++)
    tree.push(await w.submit({ awaits: [tree[Math.floor(i / 2)] as string] }));
  const done = await w.submit();
  assert.ok(await w.cancel(root, w.other));
  await w.run(0.5);
  w.leading?.crash();
  await w.run(30);
  for (const x of tree) {
    assert.equal(w.store.entries.has(`live/${x}`), false, x);
    await w.poll(x);
    assert.equal(w.told.get(x)?.standing, 'cancelled');
  }
  await w.run(60);
  await w.poll(done);
  assert.equal(w.told.get(done)?.standing, 'done');
});

test('after an outage longer than the cancellation limit, the first reply reports a dependent as cancelled', async () => {
  const { w, first } = await steady(1);
  const root = first[0] as string;
  const next = await w.submit({ awaits: [root] });
  const last = await w.submit({ awaits: [next] });
  await w.poll(last);
  // The leader receives no announcement of the cancellation and can't write.
  const leader = w.leading;
  assert.ok(leader);
  leader.state.fault = 'refuse';
  leader.cutFromPeers = true;
  assert.ok(await w.cancel(root, w.other));
  w.store.outage = true;
  await w.run(65);
  w.store.outage = false;
  const other = w.controllers.find((c) => c !== leader);
  const reply = await other?.users.query(last);
  assert.equal((reply?.body as { standing: string } | undefined)?.standing, 'cancelled');
});

test('a cancellation that replies done does not cancel the dependents of the job', async () => {
  const { w, first } = await steady(1);
  const root = first[0] as string;
  const next = await w.submit({ awaits: [root] });
  await w.run(40);
  assert.ok(await w.cancel(root));
  assert.equal(w.told.get(root)?.standing, 'done');
  await w.run(40);
  await w.poll(next);
  assert.equal(w.told.get(next)?.standing, 'done');
});

test('a query does not cancel a job with running tasks, even when its dependency was cancelled', async () => {
  const w = nodes();
  const node = w.node();
  await node.submit(1);
  await node.submit(2, [id(1)]);
  w.end(1, 'cancelled');
  node.counts.set(id(2), { done: 0, running: 1 });
  // The state of job 1 that the submission cached has expired.
  await w.clock.advance(node.ctx.timing.dependencyFreshMs);
  assert.equal(await node.standing(2), 'running');
  assert.ok(w.store.entries.has(`live/${id(2)}`));
});
