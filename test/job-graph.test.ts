import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { flushUnits } from '../src/scheduler/persistence/durable-writes.js';
import { round } from '../src/scheduler/placement/placement-round.js';
import { pendingOrders } from '../src/scheduler/reconcile/task-commands.js';
import { Renting } from '../src/scheduler/scaling/scale-out.js';
import type { Cluster } from '../src/scheduler/state/cluster-state.js';
import type { Job } from '../src/scheduler/state/job.js';
import { cluster, joined, ScriptedWorker, spec } from './support/scheduler.js';

function id(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

function add(c: Cluster, n: number, needs: number[], fields: Parameters<typeof spec>[0] = {}): Job {
  const upstream = { ids: needs.map(id), unread: false, keys: [] };
  const job = c.addJob(spec({ id: id(n), ...fields }), n, n * 1000, false, upstream);
  assert.ok(job);
  return job;
}

const done = (at: number) => ({ state: 'done' as const, at });
const CANCELLED = { state: 'cancelled' as const, at: null };

test('a job is ready once the end of all that it needs is durable, and its waits count from then', () => {
  const c = cluster();
  const w = joined(c, new ScriptedWorker('n-1'), 0);
  add(c, 1, [], { tasks: 1 });
  add(c, 2, [], { tasks: 1 });
  const last = add(c, 3, [1, 2], { tasks: 1 });
  round(c, 32, 0);
  w.execute(c.term, pendingOrders(c.machines.get('n-1') as never).orders);
  assert.deepEqual(w.running().sort(), [`${id(1)}/0`, `${id(2)}/0`]);
  // Their exits alone are not enough: a cancellation may still win.
  for (const key of [...w.tasks.keys()]) w.exit(key, 'done');
  c.report(w.report(), true, 100);
  assert.equal(round(c, 32, 200).started.length, 0);
  const ends = flushUnits(c, { spare: 9, wallNow: 7000 });
  ends[0]?.applied(11);
  assert.equal(round(c, 32, 300).started.length, 0);
  ends[1]?.applied(12);
  assert.equal(last.eligibleAt, 7000);
  assert.equal(round(c, 32, 400).started[0]?.job, last);
});

test('how a job ended that is no longer live is read before what needs it may start', () => {
  const c = cluster({ term: 2 });
  joined(c, new ScriptedWorker('n-1'), 0);
  const job = add(c, 3, [1, 2]);
  assert.deepEqual([...c.graph.unresolved], [id(1), id(2)]);
  c.endJob(id(1), done(500));
  assert.equal(round(c, 32, 0).started.length, 0);
  c.endJob(id(2), done(400));
  assert.deepEqual([job.isWaiting, job.eligibleAt], [false, 3000]);
  assert.equal(round(c, 32, 0).started.length, 4);
  // Known from now on: one that names them again waits for nobody.
  assert.equal(add(c, 4, [1, 2]).isWaiting, false);
  assert.equal(c.graph.unresolved.size, 0);
});

test('the watch may tell of an end before or after the transaction that made it is answered', () => {
  for (const order of ['watch first', 'answer first']) {
    const c = cluster();
    add(c, 1, []);
    const next = add(c, 2, [1]);
    if (order === 'watch first') {
      c.endJob(id(1), null);
      assert.deepEqual([[...c.graph.unresolved], next.isWaiting], [[id(1)], true]);
      c.endJob(id(1), done(9));
    } else {
      c.endJob(id(1), done(9));
      c.endJob(id(1), null);
    }
    assert.deepEqual([c.graph.unresolved.size, next.isWaiting], [0, false]);
  }
});

test('a cancellation reaches all that needs the job, through others and whenever it is submitted', () => {
  const c = cluster();
  joined(c, new ScriptedWorker('n-1'), 0);
  add(c, 1, []);
  add(c, 2, [1]);
  add(c, 3, [1]);
  add(c, 4, [2, 3]);
  add(c, 5, []);
  c.endJob(id(1), CANCELLED);
  add(c, 6, [4]);
  add(c, 7, [1]);
  const units = flushUnits(c, { spare: 9, wallNow: 0 });
  const ended = units.flatMap((u) => u.changes).map((x) => x.key);
  for (const n of [2, 3, 4, 6, 7]) assert.ok(ended.includes(`over/${id(n)}`), id(n));
  assert.equal(units.length, 5);
  // Written in any order, over several turns, in part by somebody else.
  for (const u of units.reverse()) u.conflict([]);
  assert.deepEqual([...c.jobs.keys()], [id(5)]);
  assert.deepEqual(flushUnits(c, { spare: 9, wallNow: 0 }), []);
});

test('an end that was lost to a cancellation is read, and what needs the job is cancelled with it', () => {
  const c = cluster();
  const w = joined(c, new ScriptedWorker('n-1'), 0);
  add(c, 1, [], { tasks: 1 });
  const next = add(c, 2, [1]);
  round(c, 32, 0);
  w.execute(c.term, pendingOrders(c.machines.get('n-1') as never).orders);
  w.exit([...w.tasks.keys()][0] as string, 'done');
  c.report(w.report(), true, 100);
  const [end] = flushUnits(c, { spare: 9, wallNow: 0 });
  end?.conflict([`live/${id(1)}`]);
  assert.deepEqual([[...c.graph.unresolved], next.isWaiting], [[id(1)], true]);
  c.endJob(id(1), CANCELLED);
  assert.equal(round(c, 32, 200).started.length, 0);
  assert.equal(next.upstreamCancelled, true);
});

test('what a job needs beyond its record is read before it may start', () => {
  const c = cluster();
  joined(c, new ScriptedWorker('n-1'), 0);
  add(c, 1, []);
  const keys = [0, 1].map((page) => `upstream/${id(2)}/${page}`);
  const job = c.addJob(spec({ id: id(2) }), 2, 0, false, { ids: [], unread: true, keys });
  assert.ok(job);
  c.endJob(id(1), done(5));
  assert.equal(round(c, 32, 0).started.length, 0);
  c.linkUnread(job, [id(1)]);
  assert.equal(round(c, 32, 0).started.length, 4);
  c.endJob(id(2), CANCELLED);
  assert.deepEqual([...c.cleanup], keys);
});

test('a waiting job holds no guarantee, and machines are rented for what will be ready next', () => {
  const c = cluster({ teams: [{ name: 'ops', cpus: 20, gpus: 0, cpusMax: 0, gpusMax: 0 }] });
  joined(c, new ScriptedWorker('n-1'), 0);
  joined(c, new ScriptedWorker('n-2'), 0);
  add(c, 1, [], { tasks: 4 });
  const far = add(c, 2, [1], { tasks: 400, jobClass: 'far' });
  const near = add(c, 3, [], { tasks: 1 });
  const renting = new Renting(c);
  assert.ok(!renting.plan(0).some((p) => p.why.class === 'far'));
  round(c, 32, 0);
  assert.deepEqual([near.guaranteed, far.guaranteed], [true, null]);
  // All tasks of its only upstream job are on machines now.
  assert.ok(renting.plan(200).some((p) => p.why.class === 'far'));
});

test('an early step goes before other work of its own rank when the last one is urgent', () => {
  const c = cluster();
  joined(c, new ScriptedWorker('n-1'), 0);
  add(c, 1, [], { tasks: 4, rank: 3 });
  const step = add(c, 2, [], { tasks: 4, rank: 3, jobClass: 'early' });
  add(c, 3, [2], { rank: 1, deadlineS: 100, jobClass: 'last' });
  assert.equal(step.rank, 1);
  assert.ok(round(c, 4, 0).started.every((b) => b.job === step));
});

/** Rank and latest end of each job, taken anew from all that needs it. */
function anew(c: Cluster, job: Job): { rank: number; end: number } {
  let rank = job.spec.rank;
  let end = job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
  for (const other of c.jobs.values()) {
    if (!other.waitsFor.has(job.spec.id)) continue;
    const after = anew(c, other);
    rank = Math.min(rank, after.rank);
    end = Math.min(end, after.end - c.estimates.estimateS(other.spec) * 1.5 * 1000);
  }
  return { rank, end };
}

/** What the job says of its rank, its latest end and its cancellation is what a look over all jobs says. */
function checkAgainstAnew(c: Cluster, job: Job, seed: number): void {
  const { rank, end } = anew(c, job);
  const { goal } = job;
  const latest = goal
    ? goal.job.acceptedAt + ((goal.job.spec.deadlineS ?? 0) - goal.restS) * 1000
    : Infinity;
  assert.equal(job.rank, rank, `seed ${seed}, ${job.spec.id}: rank`);
  assert.ok(latest === end || Math.abs(latest - end) < 1e-3, `seed ${seed}, ${job.spec.id}`);
  const above = [...job.waitsFor].some((id) => c.jobs.get(id)?.upstreamCancelled);
  if (above) assert.ok(job.upstreamCancelled, `seed ${seed}: ${job.spec.id} is left`);
}

/** One more job by draw, perhaps the end of another, and some of what stands to be written. */
function grow(c: Cluster, n: number, pick: (n: number) => number): void {
  const live = [...c.jobs.keys()];
  const needs = live.filter(() => pick(6) === 0).map((x) => Number(x.slice(4)));
  const deadlineS = pick(3) === 0 ? 50 + pick(500) : null;
  add(c, n, needs, { rank: pick(4), deadlineS, estimateS: 1 + pick(60) });
  const other = [...c.jobs.values()][pick(c.jobs.size)];
  if (other && pick(4) === 0) c.endJob(other.spec.id, pick(3) === 0 ? CANCELLED : done(n));
  for (const unit of flushUnits(c, { spare: 9, wallNow: n })) if (pick(2) === 0) unit.applied(n);
}

test('over random histories priority, goal and cancellations agree with those taken anew', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const rng = xoroshiro128plus(seed);
    const pick = (n: number) => uniformInt(rng, 0, n - 1);
    const c = cluster();
    for (let n = 1; n <= 60; n++) {
      grow(c, n, pick);
      for (const job of c.jobs.values()) checkAgainstAnew(c, job, seed);
    }
  }
});
