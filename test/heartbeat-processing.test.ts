import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatProcessor } from '../src/controller/leader/heartbeat-processing.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

/** Heartbeats as a leader of term 2 handles them, with one confirmed machine. */
function leaderOfTerm2() {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster({ term: 2 });
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), clock.now());
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  const can = { start: true, inFlight: false };
  const probes: number[] = [];
  const processor = new HeartbeatProcessor({
    ctx,
    cluster,
    policy: cluster.policy,
    term: { number: 2, mayStartTasks: () => can.start } as never,
    commands: {
      isInFlight: () => can.inFlight,
      sendPending: () => probes.push(clock.now()),
    },
  });
  return { clock, ctx, cluster, agent, machine, can, probes, processor };
}

test('a response starts tasks only while the term may, and on a confirmed machine', () => {
  const { clock, cluster, agent, machine, can, processor } = leaderOfTerm2();
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  can.start = false;
  assert.deepEqual(processor.process(agent.heartbeat(), false).commands, []);
  can.start = true;
  machine.confirmed = false;
  agent.term = 1;
  assert.deepEqual(processor.process(agent.heartbeat(), false).commands, []);
  agent.term = 2;
  const { commands } = processor.process(agent.heartbeat(), false);
  assert.deepEqual(
    commands.map(({ op }) => op),
    ['start'],
  );
});

test('each response stops what runs of ended jobs: a late copy, without proof, unconfirmed', () => {
  const { agent, machine, can, processor } = leaderOfTerm2();
  agent.tasks.set('req-000009/0/1', {
    jobId: 'req-000009',
    index: 0,
    attempt: 1,
    state: 'running',
    cause: null,
  });
  const stops = (heartbeat: ReturnType<ScriptedAgent['heartbeat']>) =>
    processor.process(heartbeat, false).commands.map((command) => [command.op, command.jobId]);
  const expected = [['stop', 'req-000009']];
  can.start = false;
  const heartbeat = agent.heartbeat();
  assert.deepEqual(stops(heartbeat), expected);
  assert.deepEqual(stops(heartbeat), expected);
  can.start = true;
  machine.confirmed = false;
  agent.term = 1;
  assert.deepEqual(stops(agent.heartbeat()), expected);
});

test('a late copy is answered under the highest fence that is known, so that the agent takes it', () => {
  const { agent, machine, processor } = leaderOfTerm2();
  const copy = agent.heartbeat();
  processor.process(copy, false);
  machine.fence = 3;
  assert.equal(processor.process({ ...copy, fence: 5 }, false).fence, 5);
  assert.equal(processor.process({ ...copy, fence: 1 }, false).fence, 3);
  // Of another term the fence says nothing.
  assert.equal(processor.process({ ...copy, term: 1, fence: 5 }, false).fence, 3);
});

test('the fence is not raised past a command in flight, which would be refused', () => {
  const { clock, cluster, agent, machine, can, processor } = leaderOfTerm2();
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  const [attempt] = machine.attempts.values();
  assert.ok(attempt);
  // Sent directly, and without an answer for long.
  attempt.directCommandFence = 0;
  attempt.assignedAt = clock.now() - cluster.timing.heartbeatMs * 2;
  machine.fenceRaiseDueSince = clock.now() - cluster.timing.agentLeaseMs;
  can.inFlight = true;
  assert.equal(processor.process(agent.heartbeat(), false).fence, 0);
  can.inFlight = false;
  assert.equal(processor.process(agent.heartbeat(), false).fence, 1);
});

test('an unresponsive machine is probed directly; behind a network partition its starts decide', async () => {
  const { clock, ctx, cluster, agent, machine, probes, processor } = leaderOfTerm2();
  cluster.markUnresponsive(machine, clock.now());
  processor.process(agent.heartbeat(), false);
  assert.ok(cluster.pendingProbes.has(machine));
  await settle();
  assert.equal(probes.length, 1);
  assert.notEqual(machine.unresponsiveSince, null);
  // Starts without effect count, until half of the agent's lease is over.
  machine.missedAcknowledgements = 2;
  processor.process(agent.heartbeat(), true);
  assert.notEqual(machine.unresponsiveSince, null);
  await clock.advance(ctx.timing.agentLeaseMs * 0.5 + 1);
  machine.missedAcknowledgements = 2;
  processor.process(agent.heartbeat(), true);
  assert.equal(machine.unresponsiveSince, null);
  // None without effect: it is trusted at once.
  cluster.markUnresponsive(machine, clock.now());
  machine.missedAcknowledgements = 0;
  processor.process(agent.heartbeat(), true);
  assert.equal(machine.unresponsiveSince, null);
});

test('what a heartbeat frees is filled in its own response', () => {
  const { clock, cluster, agent, processor } = leaderOfTerm2();
  // Four of them fill the machine.
  cluster.addJob(jobSpec({ tasks: 5 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  const exchange = () => {
    const { commands } = processor.process(agent.heartbeat(), false);
    agent.execute(2, commands);
    return commands.filter(({ op }) => op === 'start').length;
  };
  assert.equal(exchange(), 4);
  assert.equal(exchange(), 0);
  agent.exit([...agent.tasks.keys()][0] as string, 'done');
  assert.equal(exchange(), 1);
});
