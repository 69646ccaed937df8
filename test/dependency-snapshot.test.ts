/** Guards against a controller that answers nothing while it builds a snapshot of many jobs and dependencies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencySnapshot } from '../src/controller/api/dependency-snapshot.js';
import { DependencyStatus } from '../src/controller/api/dependency-status.js';
import { JobStore } from '../src/controller/api/job-store.js';
import { STEPS_PER_RECORD, STEPS_PER_TURN } from '../src/controller/work-in-turns.js';
import { decodeLiveJob } from '../src/records/job-record.js';
import { mapIfObject } from '../src/records/stored-form.js';
import { RequestPriority } from '../src/runtime/request-budget.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { FakeStateService, FakeStore } from './support/state.js';

const JOBS = 2000;
/** Each job depends on this many jobs before it. */
const DEPENDENCIES = 20;

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

/** A controller and a state service with many jobs, all of which depend on job 1, which has ended. */
function createNode(endOfFirst: 'done' | 'cancelled') {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const end = (n: number, state: 'done' | 'cancelled') =>
    store.transact(
      [],
      [
        { op: 'put', key: `over/${jobId(n)}`, value: { state, tasks: 1 } },
        { op: 'delete', key: `live/${jobId(n)}` },
      ],
    );
  end(1, endOfFirst);
  for (let n = 2; n <= JOBS; n++) {
    const first = Math.max(1, n - DEPENDENCIES);
    const upstream = Array.from({ length: n - first }, (_, i) => jobId(first + i));
    const value = { spec: { id: jobId(n), tasks: 1 }, at: 0, upstream };
    store.transact([], [{ op: 'put', key: `live/${jobId(n)}`, value }]);
  }
  const ctx = createContext('n-0', new FakeStateService(store), clock);
  const jobs = new JobStore(ctx);
  const read = () => DependencySnapshot.read(ctx, jobs, null, RequestPriority.queries);
  return { clock, store, ctx, jobs, end, read };
}

/** Counts turns of the event loop until the work is done; calls `between` after each turn. */
async function countTurns<T>(work: Promise<T>, between: (turn: number) => void) {
  let turns = 0;
  let done = false;
  const finished = work.then((result) => {
    done = true;
    return result;
  });
  while (!done) {
    await settle(1);
    between(++turns);
  }
  return { turns, result: await finished };
}

test('a snapshot is built in turns, each of them of a bounded number of records and dependencies', async () => {
  for (const end of ['done', 'cancelled'] as const) {
    const { read } = createNode(end);
    const { turns, result } = await countTurns(read(), () => {});
    // Records are decoded, and all dependencies are visited once, and twice more for a cancellation.
    const visits = JOBS * DEPENDENCIES * (end === 'cancelled' ? 3 : 1);
    const steps = JOBS * STEPS_PER_RECORD + visits;
    const expected = steps / STEPS_PER_TURN;
    assert.ok(turns >= expected * 0.9, `${turns} turns, expected ${expected}`);
    for (const n of [2, JOBS / 2, JOBS])
      assert.equal(result.isCancelled(jobId(n)), end === 'cancelled');
  }
});

test('a job that is cancelled while a snapshot is built counts as cancelled once the snapshot has expired', async () => {
  const { clock, store, ctx, jobs, end } = createNode('done');
  const listPage = ctx.state.listPage.bind(ctx.state);
  let listRead = false;
  ctx.state.listPage = async (...args) => {
    const page = await listPage(...args);
    listRead ||= !page.more;
    return page;
  };
  const status = new DependencyStatus(ctx, jobs);
  const last = mapIfObject(store.entries.get(`live/${jobId(JOBS)}`)?.value, decodeLiveJob);
  const isCancelled = () =>
    status.isCancelledByDependency(jobId(JOBS), last, RequestPriority.queries);
  let cancelledInTurn = 0;
  const first = await countTurns(isCancelled(), (turn) => {
    if (!listRead || cancelledInTurn > 0) return;
    cancelledInTurn = turn;
    end(JOBS / 2, 'cancelled');
  });
  assert.ok(cancelledInTurn > 0 && cancelledInTurn < first.turns - 5, `turn ${cancelledInTurn}`);
  assert.equal(first.result, false);
  await clock.advance(ctx.timing.dependencyFreshMs);
  assert.equal((await countTurns(isCancelled(), () => {})).result, true);
});
