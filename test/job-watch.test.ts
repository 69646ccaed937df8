/** The leader's jobs stay in line with the live jobs, whatever changes while a list or events are applied. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobWatch } from '../src/controller/leader/job-watch.js';
import { LiveJobLoader } from '../src/controller/leader/live-jobs.js';
import type { EntryPage } from '../src/protocol/key-value-protocol.js';
import { encodeLiveJob } from '../src/records/job-record.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec } from './support/scheduler.js';
import { FakeStateService, FakeStore, PAGE_ENTRIES } from './support/state.js';

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
  const loader = new LiveJobLoader(ctx.log, term, cluster, { recordArrival: () => {} });
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
  return { clock, store, state, cluster, stop, knownAt, accept, remove, run };
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
