import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ScriptedAgent } from './support/scheduler.js';
import { encodeHeartbeat } from './support/wire.js';
import { World } from './support/world.js';

/** A random source that always returns the middle of its range. */
const alwaysMiddle = () => 0.5;

/** Never resolves; rejects when the caller aborts. */
function pendingUntilAborted(signal?: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal?.addEventListener('abort', () => reject(new Error('aborted')), { once: true });
  });
}

async function startJobs(world: World, jobs: number): Promise<string[]> {
  await world.run(8);
  const ids: string[] = [];
  for (let i = 0; i < jobs; i++) ids.push(await world.submit());
  await world.run(6);
  return ids;
}

function countRunning(world: World, id: string): number {
  return world.machines.flatMap((m) => m.agent.running()).filter((t) => t.startsWith(id)).length;
}

test('a job cancelled elsewhere stops in time when its leader is isolated and a state service outage follows', async () => {
  const w = new World(alwaysMiddle, 3, () => 500_000);
  const ids = await startJobs(w, 4);
  const leader = w.currentLeader;
  assert.ok(leader);
  assert.ok(ids.every((id) => countRunning(w, id) === 3));
  // The leader can't learn of the cancellation: its peers don't reach it and its watch waits.
  leader.state.fault = 'refuse';
  leader.isPartitionedFromPeers = true;
  await w.run(1);
  assert.ok(await w.cancel(ids[0] as string, w.follower));
  // The outage lasts longer than the cancellation bound.
  w.store.outage = true;
  await w.run(20);
  // Its agents are still served.
  assert.equal(countRunning(w, ids[1] as string), 3);
  await w.run(70);
  assert.equal(countRunning(w, ids[0] as string), 0);
  assert.equal(w.startsAfterCancellation, 0);
});

test('a leader refused by the state service stops jobs when its peers announce their cancellation', async () => {
  const w = new World(alwaysMiddle, 3, () => 500_000);
  const ids = await startJobs(w, 4);
  const leader = w.currentLeader;
  assert.ok(leader);
  leader.state.fault = 'refuse';
  const before = w.startCount;
  for (const id of ids) assert.ok(await w.cancel(id, w.follower));
  // Informed by its peers, it stops the tasks at once and starts none of these jobs.
  await w.run(2);
  for (const id of ids) assert.equal(countRunning(w, id), 0);
  assert.deepEqual([w.startCount, w.startsAfterCancellation], [before, 0]);
});

test('successive leaders that have not read the jobs renew no agent leases', async () => {
  const w = new World(alwaysMiddle, 3, () => 500_000);
  const ids = await startJobs(w, 3);
  const first = w.currentLeader;
  assert.ok(first);
  first.crash();
  assert.ok(await w.cancel(ids[0] as string, w.follower));
  // Each leader wins an election, but its read of the roster gets no response, so it never reads the jobs.
  for (const c of w.controllers) {
    const { listPage } = c.state;
    c.state.listPage = (prefix, after, signal) =>
      prefix === 'roster/'
        ? pendingUntilAborted(signal)
        : listPage.call(c.state, prefix, after, signal);
  }
  const terms = w.termWinners.length;
  for (let i = 0; i < 8; i++) {
    await w.run(5);
    const c = w.controllers.find((x) => x.leader);
    if (!c) continue;
    assert.equal(c.election.currentTerm?.mayRenewAgentLeases(), false);
    const reply = c.heartbeatHandler.handle(encodeHeartbeat(new ScriptedAgent('n-1').heartbeat()));
    await w.run(2);
    assert.equal((await reply).status, 503);
    c.election.currentTerm?.resign('lease ended');
  }
  assert.ok(w.termWinners.length >= terms + 6, `${w.termWinners.length - terms} terms`);
  assert.equal(countRunning(w, ids[0] as string), 0);
});

test('the first response of a new leader to a machine that is not confirmed stops the tasks of cancelled jobs', async () => {
  const w = new World(alwaysMiddle, 3, () => 500_000);
  const ids = await startJobs(w, 3);
  const first = w.currentLeader;
  assert.ok(first);
  // The agent of one machine is suspended while the leader changes and the job is cancelled.
  const m = w.machines.find((x) => x.agent.running().some((t) => t.startsWith(ids[0] as string)));
  assert.ok(m);
  m.isSuspended = true;
  first.crash();
  assert.ok(await w.cancel(ids[0] as string, w.follower));
  for (let i = 0; i < 20 && !w.currentLeader; i++) await w.run(1);
  const leader = w.currentLeader;
  assert.ok(leader);
  // Only one heartbeat of it arrives, so the response to that has to stop the tasks.
  const heartbeat = m.agent.heartbeat();
  assert.ok(heartbeat.term < (leader.election.currentTerm?.number ?? 0));
  const { commands } = leader.leader?.handleHeartbeat(heartbeat, false) ?? { commands: [] };
  const stops = commands.filter((command) => command.op === 'stop' && command.jobId === ids[0]);
  assert.equal(stops.length, heartbeat.tasks.filter((task) => task.jobId === ids[0]).length);
  assert.ok(stops.length > 0);
  // The response contains nothing else, since the machine is not confirmed in this term yet.
  assert.equal(commands.length, stops.length);
});

test('a leader whose watch revision is too old starts nothing until it has read all jobs again', async () => {
  const w = new World(alwaysMiddle, 3, () => 500_000);
  const ids = await startJobs(w, 2);
  const leader = w.currentLeader;
  assert.ok(leader);
  // The watch waits while renewals succeed. Then its revision is too old, and no list request succeeds.
  const { watch, listPage } = leader.state;
  const tooOld = w.clock.now() + 20_000;
  leader.state.watch = async (prefix, after, waitMs, signal) => {
    if (prefix !== 'live/') return watch.call(leader.state, prefix, after, waitMs, signal);
    await w.clock.sleep(Math.max(0, tooOld - w.clock.now()), signal);
    return null;
  };
  leader.state.listPage = (prefix, after, signal) =>
    prefix === 'live/'
      ? Promise.reject(new Error('no response'))
      : listPage.call(leader.state, prefix, after, signal);
  leader.isPartitionedFromPeers = true;
  await w.run(3);
  assert.ok(await w.cancel(ids[0] as string, w.follower));
  await w.run(22);
  // It still leads, since its renewals succeed, but starts nothing.
  assert.ok(leader.election.currentTerm?.isProven());
  assert.equal(leader.election.currentTerm?.mayStartTasks(), false);
  // Finally another controller leads.
  await w.run(38);
  assert.equal(countRunning(w, ids[0] as string), 0);
  assert.equal(leader.leader, null);
  assert.ok(w.currentLeader);
});

test('a leader partitioned from state service and peers, but not from agents, starts no jobs cancelled elsewhere', async () => {
  const w = new World(alwaysMiddle, 3, () => 6_000);
  await startJobs(w, 2);
  const old = w.currentLeader;
  assert.ok(old);
  const ids: string[] = [];
  for (let i = 0; i < 8; i++) ids.push(await w.submit());
  old.state.fault = 'refuse';
  old.isPartitionedFromPeers = true;
  for (let i = 0; i < 30 && (!w.currentLeader || w.currentLeader === old); i++) await w.run(0.5);
  assert.notEqual(w.currentLeader, old);
  for (const id of ids) await w.cancel(id, w.currentLeader as never);
  await w.run(40);
  assert.equal(w.startsAfterCancellation, 0);
  for (const id of ids) assert.equal(countRunning(w, id), 0);
});

test('all accepted jobs finish while the heartbeats of one machine are lost', async () => {
  const w = new World(alwaysMiddle, 4, () => 12_000);
  await startJobs(w, 2);
  const machine = w.machines[0];
  assert.ok(machine);
  machine.dropsOutbound = true;
  await w.run(20);
  const ids: string[] = [];
  for (let i = 0; i < 12; i++) ids.push(await w.submit());
  await w.run(80);
  for (const id of ids) await w.poll(id);
  assert.ok(ids.every((id) => w.reportedStates.get(id)?.state === 'done'));
});
