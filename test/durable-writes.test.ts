import assert from 'node:assert/strict';
import { test } from 'node:test';
import { liveJobKey } from '../src/records/keys.js';
import { chunksWithUnknownVersion } from '../src/scheduler/persistence/bitmap-chunk-write.js';
import type { DurableWrite } from '../src/scheduler/persistence/durable-write.js';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { Roster } from '../src/scheduler/persistence/roster.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  rosterEntry,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';

const BUDGET = { progressChanges: 9, wallNow: 0 };
const JOB_ID = 'req-000001';
const CHUNK_KEY = `bits/${JOB_ID}/0000/0`;

interface PendingChunkWrite {
  cluster: ClusterState;
  agent: ScriptedAgent;
  write: DurableWrite;
}

/** Creates a job of two tasks, one of which is done, and starts the write of its progress. */
function startChunkWrite(): PendingChunkWrite {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  cluster.addJob(jobSpec({ tasks: 2 }), 5, 0, false);
  runPlacementRound(cluster, 32, 0);
  sendHeartbeat(cluster, agent, 10);
  agent.exit([...agent.tasks.keys()][0] as string, 'done');
  sendHeartbeat(cluster, agent, 20);
  const [write] = collectPendingWrites(cluster, BUDGET);
  assert.ok(write);
  assert.deepEqual(
    write.changes.map((change) => change.key),
    [CHUNK_KEY],
  );
  return { cluster, agent, write };
}

function receivesForgetOfFirstTask(
  cluster: ClusterState,
  agent: ScriptedAgent,
  now: number,
): boolean {
  const commands = sendHeartbeat(cluster, agent, now);
  return commands.some((command) => command.op === 'forget' && command.index === 0);
}

const OUTCOMES: [name: string, report: (write: DurableWrite) => void][] = [
  ['was certainly not applied', (write) => write.retry(false)],
  ['received no response', (write) => write.retry(true)],
  ['conflicted with another version of the chunk', (write) => write.conflict([CHUNK_KEY])],
  [
    'conflicted with the end of the job',
    (write) => write.conflict([liveJobKey(JOB_ID), CHUNK_KEY]),
  ],
];

for (const [name, report] of OUTCOMES)
  test(`progress of an ended job is not written again after its write ${name}`, () => {
    const { cluster, agent, write } = startChunkWrite();
    cluster.endJob(JOB_ID, { state: 'cancelled', at: null });
    report(write);
    assert.deepEqual(chunksWithUnknownVersion(cluster), []);
    // The chunk may be stored, so its key is deleted; the agent may forget the task.
    assert.deepEqual(
      collectPendingWrites(cluster, BUDGET).flatMap((pending) => pending.changes),
      [{ op: 'delete', key: CHUNK_KEY }],
    );
    assert.ok(receivesForgetOfFirstTask(cluster, agent, 30));
  });

test('progress is not written again once the live record of its job no longer exists, even before the end is known', () => {
  const { cluster, agent, write } = startChunkWrite();
  write.conflict([liveJobKey(JOB_ID)]);
  assert.deepEqual(chunksWithUnknownVersion(cluster), []);
  assert.deepEqual(collectPendingWrites(cluster, BUDGET), []);
  assert.ok(receivesForgetOfFirstTask(cluster, agent, 30));
});

test('after a conflict, progress of a live job is written again over the version that is read back', () => {
  const { cluster, agent, write } = startChunkWrite();
  write.conflict([CHUNK_KEY]);
  assert.deepEqual(collectPendingWrites(cluster, BUDGET), []);
  const [unknownChunk] = chunksWithUnknownVersion(cluster);
  unknownChunk?.job.chunkVersions.set(unknownChunk.chunk, 7);
  const [retried] = collectPendingWrites(cluster, BUDGET);
  assert.deepEqual(retried?.changes, write.changes);
  assert.deepEqual(retried?.conditions[1], { key: CHUNK_KEY, version: 7 });
  assert.equal(receivesForgetOfFirstTask(cluster, agent, 30), false);
  retried?.applied(8);
  assert.ok(receivesForgetOfFirstTask(cluster, agent, 40));
});

test('a machine that is already in the roster is not queued again when its move to another page fails', () => {
  const cluster = createCluster();
  cluster.inheritMachine('n-1', 'm16', 'a', false, '', 0);
  const [machine] = cluster.machines.values();
  assert.ok(machine);
  cluster.pendingRosterAdds.add(machine);
  const [write] = collectPendingWrites(cluster, BUDGET);
  assert.equal(machine.rosterWritePending, true);
  write?.conflict([]);
  assert.deepEqual([machine.inRoster, machine.rosterWritePending], [true, false]);
  assert.equal(cluster.pendingRosterAdds.size, 0);
});

test('a machine whose move to another page received no response is not moved to a third page', () => {
  const entryBytes = JSON.stringify(rosterEntry(1)).length + 1;
  const roster = new Roster(4, 3 * entryBytes);
  // The page was written under a higher limit and still holds one machine too many without n-5.
  roster.restore('3-1', 10, [1, 2, 3, 4, 5].map(rosterEntry));
  roster.removeMachine('n-5');
  const [move] = roster.rewriteUnsavedPages(9);
  assert.deepEqual(
    move?.added.map((added) => added.id),
    ['n-1'],
  );
  move?.outcomeUnknown();
  assert.deepEqual(roster.rewriteUnsavedPages(9), []);
});
