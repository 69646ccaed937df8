/** The leader's jobs stay in line with the live jobs, whatever changes while a list or events are applied. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobWatch } from '../src/controller/leader/job-watch.js';
import { LiveJobLoader } from '../src/controller/leader/live-jobs.js';
import { StateRestoration } from '../src/controller/leader/state-restoration.js';
import { STEPS_PER_RECORD, STEPS_PER_TURN } from '../src/controller/work-in-turns.js';
import type { EntryPage } from '../src/protocol/key-value-protocol.js';
import { encodeFinishedTasks } from '../src/records/finished-tasks-record.js';
import { encodeLiveJob } from '../src/records/job-record.js';
import { dependencyPageKey } from '../src/records/keys.js';
import { encodeRosterPage } from '../src/records/roster-record.js';
import { AbortedError } from '../src/runtime/clock.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec, rosterEntry } from './support/scheduler.js';
import { FakeStateService, FakeStore, PAGE_ENTRIES } from './support/state.js';
import { TurnProbe } from './support/turn-probe.js';

const CANCELLED = { state: 'cancelled' as const, at: null };

/** Jobs that a turn of the event loop may add or end. */
const MAX_JOBS_PER_TURN = STEPS_PER_TURN / STEPS_PER_RECORD;
/** Enough jobs for many turns. */
const MANY_JOBS = 3000;
/** Turns of the event loop that suffice to apply them. */
const ENOUGH_TURNS = 200;

function partlyAdded(jobs: number): boolean {
  return jobs >= MANY_JOBS / 3;
}

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

/** A state service that can report that a revision is too old to be watched. */
class CompactedStateService extends FakeStateService {
  /** Whether the next watch reports it. */
  compacted = false;
  /** Called after each page of a list. */
  onPage: () => void = () => {};

  override async watch(...args: Parameters<FakeStateService['watch']>) {
    if (!this.compacted) return super.watch(...args);
    this.compacted = false;
    return null;
  }

  override async listPage(...args: Parameters<FakeStateService['listPage']>): Promise<EntryPage> {
    const page = await super.listPage(...args);
    this.onPage();
    return page;
  }
}

/** A leader that has applied no job yet, and the state service with its jobs. */
function createWatch() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const state = new CompactedStateService(store);
  const ctx = createContext('n-0', state, clock);
  const cluster = createCluster();
  const stop = new AbortController();
  const knownAt: number[] = [];
  const term = {
    version: 0,
    signal: stop.signal,
    setCancellationsKnownAt: (at: number) => knownAt.push(at),
  } as never;
  const loader = new LiveJobLoader(ctx, term, cluster, { recordArrival: () => {} });
  const commands = { deferSendPending: () => {} };
  const watch = new JobWatch({ ctx, term, cluster, liveJobLoader: loader, commands });
  const accept = (n: number, dependencies: number[] = []) =>
    store.transact(
      [],
      [
        {
          op: 'put',
          key: `live/${jobId(n)}`,
          value: encodeLiveJob({
            spec: jobSpec({ id: jobId(n), tasks: 1 }),
            acceptedAt: 0,
            ...(dependencies.length > 0 ? { dependencies: dependencies.map(jobId) } : {}),
          }),
        },
      ],
    );
  const remove = (n: number) =>
    store.transact([], [{ op: 'delete', key: `live/${jobId(n)}` }]).revision;
  const run = (revision: number) => void watch.run(revision, stop.signal).catch(() => {});
  const cloud = { types: async () => [] };
  const demandStore = { read: async () => {} } as never;
  const restoration = new StateRestoration({
    ctx,
    cloud,
    term,
    cluster,
    liveJobLoader: loader,
    demandStore,
  });
  return { clock, store, state, cluster, stop, knownAt, accept, remove, run, restoration };
}

/** Guards against a list that was read before a job's end and that makes the job live again. */
test('a job that ends while a list of several pages is read is not added again', async () => {
  const { clock, store, state, cluster, stop, accept, remove, run } = createWatch();
  const count = PAGE_ENTRIES + 10;
  for (let n = 1; n <= count; n++) accept(n);
  run(0);
  await clock.advance(10);
  assert.equal(cluster.jobs.size, count);
  state.compacted = true;
  state.onPage = () => {
    state.onPage = () => {};
    // This leader's own write of the end, whose response comes before the next page.
    remove(1);
    cluster.endJob(jobId(1), { state: 'done', at: 0 });
  };
  const added: string[] = [];
  const addJob = cluster.addJob.bind(cluster);
  cluster.addJob = (...args) => {
    const job = addJob(...args);
    if (job) added.push(job.spec.id);
    return job;
  };
  accept(count + 1);
  await clock.advance(10_000);
  assert.equal(state.compacted, false);
  assert.deepEqual(added, [jobId(count + 1)]);
  assert.equal(cluster.jobs.size, count);
  assert.equal(store.entries.size, count);
  stop.abort();
});

/** Guards against a leader that answers nothing while it applies many jobs. */
test('a new leader adds many jobs in turns, and one whose cancellation is announced meanwhile is not added', async () => {
  const { store, cluster, accept, remove, restoration } = createWatch();
  for (let n = 1; n <= MANY_JOBS; n++) accept(n, n > 1 ? [n - 1] : []);
  const probe = new TurnProbe(() => cluster.jobs.size);
  probe.when(partlyAdded, () => {
    cluster.announceCancellation(jobId(1), remove(1));
    cluster.announceCancellation(jobId(MANY_JOBS - 1), remove(MANY_JOBS - 1));
  });
  const { revision } = await restoration.run();
  probe.stop();
  assert.ok(probe.largestStep <= MAX_JOBS_PER_TURN, `${probe.largestStep} jobs in one turn`);
  assert.equal(cluster.jobs.size, MANY_JOBS - 2);
  assert.ok(revision < store.revision);
  // Both cancellations reach all jobs after them, added before or afterwards.
  assert.ok([...cluster.jobs.values()].every((job) => job.dependencyCancelled));
});

test('many events are applied in turns, and ends between two turns stand', async () => {
  const { cluster, stop, knownAt, accept, remove, run } = createWatch();
  for (let n = 1; n <= MANY_JOBS; n++) accept(n, n > 1 ? [n - 1] : []);
  for (let n = 1; n <= MANY_JOBS; n += 3) remove(n);
  const probe = new TurnProbe(() => cluster.jobs.size);
  let knownAtChange: number | null = null;
  probe.when(partlyAdded, () => {
    knownAtChange = knownAt.length;
    cluster.endJob(jobId(2), { state: 'done', at: 0 });
    cluster.announceCancellation(jobId(MANY_JOBS), remove(MANY_JOBS));
  });
  run(0);
  await settle(ENOUGH_TURNS);
  probe.stop();
  assert.ok(probe.largestStep <= MAX_JOBS_PER_TURN, `${probe.largestStep} jobs in one turn`);
  // The cancellations are known only once the whole response has been applied.
  assert.deepEqual([knownAtChange, knownAt.length > 0], [0, true]);
  assert.equal(cluster.jobs.size, MANY_JOBS - MANY_JOBS / 3 - 2);
  assert.equal(cluster.jobs.get(jobId(3))?.pendingDependencies.size, 0);
  stop.abort();
});

test('a complete list ends and adds many jobs in turns, and ends between two turns stand', async () => {
  const { clock, state, cluster, stop, accept, remove, run } = createWatch();
  for (let n = 1; n <= MANY_JOBS; n++) accept(n);
  run(0);
  await settle(ENOUGH_TURNS);
  assert.equal(cluster.jobs.size, MANY_JOBS);
  state.compacted = true;
  for (let n = 1; n <= MANY_JOBS; n += 2) remove(n);
  for (let n = 1; n <= MANY_JOBS; n++) accept(MANY_JOBS + n);
  const probe = new TurnProbe(() => cluster.jobs.size);
  const ended = (jobs: number) => jobs < MANY_JOBS * 0.75;
  probe.when(ended, () => {
    // Both are on the list that is being applied.
    remove(2);
    cluster.endJob(jobId(2), CANCELLED);
    cluster.announceCancellation(jobId(2 * MANY_JOBS), remove(2 * MANY_JOBS));
  });
  await clock.advance(5000);
  await settle(ENOUGH_TURNS);
  probe.stop();
  assert.ok(probe.largestStep <= MAX_JOBS_PER_TURN, `${probe.largestStep} jobs in one turn`);
  assert.equal(cluster.jobs.has(jobId(2)), false);
  assert.equal(cluster.jobs.has(jobId(2 * MANY_JOBS)), false);
  assert.equal(cluster.jobs.size, MANY_JOBS / 2 + MANY_JOBS - 2);
  stop.abort();
});

test('stored progress is restored in turns, and what belongs to a job that ends meanwhile is marked for deletion', async () => {
  const { store, cluster, accept, remove, restoration } = createWatch();
  const bits = encodeFinishedTasks(Uint8Array.of(1));
  const keys: string[] = [];
  for (let n = 1; n <= MANY_JOBS; n++) {
    accept(n);
    const key = cluster.bitmaps.chunkKey(jobId(n), 0);
    keys.push(key);
    store.transact([], [{ op: 'put', key, value: bits }]);
    store.transact([], [{ op: 'put', key: dependencyPageKey(jobId(n), 0), value: [] }]);
  }
  const restored = () =>
    [...cluster.jobs.values()].filter((job) => job.chunkVersions.size > 0).length;
  const probe = new TurnProbe(restored);
  probe.when(partlyAdded, () => {
    // The bitmap of the first job has been restored, that of the last one has not.
    cluster.announceCancellation(jobId(1), remove(1));
    cluster.announceCancellation(jobId(MANY_JOBS), remove(MANY_JOBS));
  });
  await restoration.run();
  probe.stop();
  assert.ok(probe.largestStep <= MAX_JOBS_PER_TURN, `${probe.largestStep} bitmaps in one turn`);
  assert.equal(restored(), MANY_JOBS - 2);
  const ended = [1, MANY_JOBS].flatMap((n) => [keys[n - 1], dependencyPageKey(jobId(n), 0)]);
  assert.deepEqual([...cluster.obsoleteKeys].sort(), ended.sort());
});

test('a roster is restored in turns, and a term that ends meanwhile leaves out the other pages', async () => {
  for (const aborted of [false, true]) {
    const { store, cluster, stop, restoration } = createWatch();
    const machinesPerPage = 200;
    const pages = 40;
    for (let page = 0; page < pages; page++) {
      const machines = Array.from({ length: machinesPerPage }, (_, i) =>
        rosterEntry(page * machinesPerPage + i),
      );
      const value = encodeRosterPage(machines);
      store.transact([], [{ op: 'put', key: `roster/1-${page}`, value }]);
    }
    const probe = new TurnProbe(() => cluster.machines.size);
    if (aborted)
      probe.when(
        (machines) => machines > 1000,
        () => stop.abort(),
      );
    const run = restoration.run();
    if (aborted) await assert.rejects(run, AbortedError);
    else await run;
    probe.stop();
    assert.ok(probe.largestStep <= STEPS_PER_TURN / 4 + machinesPerPage, `${probe.largestStep}`);
    assert.equal(cluster.machines.size < pages * machinesPerPage, aborted);
  }
});

test('a term that ends while jobs are added leaves out the others', async () => {
  const { cluster, stop, accept, restoration } = createWatch();
  for (let n = 1; n <= MANY_JOBS; n++) accept(n);
  const probe = new TurnProbe(() => cluster.jobs.size);
  probe.when(partlyAdded, () => stop.abort());
  await assert.rejects(restoration.run(), AbortedError);
  probe.stop();
  assert.ok(cluster.jobs.size < MANY_JOBS / 2, `${cluster.jobs.size} jobs`);
});
