/** Guards against a leader that answers nothing while it records the ends of many jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobStore } from '../src/controller/api/job-store.js';
import { DependencyResolver } from '../src/controller/leader/dependency-resolver.js';
import { STEPS_PER_RECORD, STEPS_PER_TURN } from '../src/controller/work-in-turns.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { TurnProbe } from './support/turn-probe.js';

const ENDED_JOBS = 2000;
/** Turns of the event loop that suffice to record all ends. */
const ENOUGH_TURNS = 200;

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

test('the ends of many dependencies are recorded in turns, and a job that ends between two turns changes nothing for the others', async () => {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const ids = Array.from({ length: ENDED_JOBS }, (_, i) => jobId(i + 1));
  for (const id of ids)
    store.transact([], [{ op: 'put', key: `over/${id}`, value: { state: 'done', tasks: 1 } }]);
  const ctx = createContext('n-0', new FakeStateService(store), clock);
  const cluster = createCluster();
  const [first, second] = [ENDED_JOBS + 1, ENDED_JOBS + 2].map((n) => {
    const spec = jobSpec({ id: jobId(n) });
    return cluster.addJob(spec, n, 0, false, { ids, unread: false, keys: [] });
  });
  assert.ok(first && second);
  const stop = new AbortController();
  const resolver = new DependencyResolver(ctx, cluster, new JobStore(ctx));
  const probe = new TurnProbe(() => second.pendingDependencies.size);
  probe.when(
    (pending) => pending < ENDED_JOBS / 2,
    () => {
      cluster.endJob(first.spec.id, { state: 'cancelled', at: null });
      // It was accepted after all, and its live record is read late.
      cluster.addJob(jobSpec({ id: jobId(ENDED_JOBS) }), ENDED_JOBS, 0, false);
    },
  );
  void resolver.run(stop.signal).catch(() => {});
  await settle(ENOUGH_TURNS);
  probe.stop();
  stop.abort();
  const bound = STEPS_PER_TURN / STEPS_PER_RECORD;
  assert.ok(probe.largestStep <= bound, `${probe.largestStep} ends in one turn`);
  assert.equal(second.awaitsDependencies, false);
  assert.equal(cluster.dependencies.jobsWithUnknownEnd.size, 0);
  assert.deepEqual([...cluster.jobs.keys()], [second.spec.id]);
});
