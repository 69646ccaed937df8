import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatProcessor } from '../src/controller/leader/heartbeat-processing.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

/** A heartbeat processor of a leader in term 2, with one confirmed machine. */
function leaderOfTerm2() {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster({ term: 2 });
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), clock.now());
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  const flags = { mayStartTasks: true, commandInFlight: false };
  const probes: number[] = [];
  const processor = new HeartbeatProcessor({
    ctx,
    cluster,
    policy: cluster.policy,
    term: { number: 2, mayStartTasks: () => flags.mayStartTasks } as never,
    commands: {
      hasCommandInFlight: () => flags.commandInFlight,
      sendPending: () => probes.push(clock.now()),
    },
  });
  return { clock, ctx, cluster, agent, machine, flags, probes, processor };
}

test('a response starts tasks only while the term may start tasks and only on a confirmed machine', () => {
  const { clock, cluster, agent, machine, flags, processor } = leaderOfTerm2();
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  flags.mayStartTasks = false;
  assert.deepEqual(processor.process(agent.heartbeat(), false).commands, []);
  flags.mayStartTasks = true;
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

test('each response stops tasks of ended jobs, also for a duplicate, an unproven term or an unconfirmed machine', () => {
  const { agent, machine, flags, processor } = leaderOfTerm2();
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
  flags.mayStartTasks = false;
  const heartbeat = agent.heartbeat();
  assert.deepEqual(stops(heartbeat), expected);
  assert.deepEqual(stops(heartbeat), expected);
  flags.mayStartTasks = true;
  machine.confirmed = false;
  agent.term = 1;
  assert.deepEqual(stops(agent.heartbeat()), expected);
});

test('the response to a duplicate heartbeat carries the highest known fence, so the agent accepts it', () => {
  const { agent, machine, processor } = leaderOfTerm2();
  const copy = agent.heartbeat();
  processor.process(copy, false);
  machine.fence = 3;
  assert.equal(processor.process({ ...copy, fence: 5 }, false).fence, 5);
  assert.equal(processor.process({ ...copy, fence: 1 }, false).fence, 3);
  // A fence of another term is not comparable.
  assert.equal(processor.process({ ...copy, term: 1, fence: 5 }, false).fence, 3);
});

test('the fence is not raised while a command is in flight, which the agent would then refuse', () => {
  const { clock, cluster, agent, machine, flags, processor } = leaderOfTerm2();
  cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  const [attempt] = machine.attempts.values();
  assert.ok(attempt);
  // Sent by a direct command that has received no reply for a long time.
  attempt.directCommandFence = 0;
  attempt.assignedAt = clock.now() - cluster.timing.heartbeatMs * 2;
  machine.fenceRaiseDueSince = clock.now() - cluster.timing.agentLeaseMs;
  flags.commandInFlight = true;
  assert.equal(processor.process(agent.heartbeat(), false).fence, 0);
  flags.commandInFlight = false;
  assert.equal(processor.process(agent.heartbeat(), false).fence, 1);
});

test('an unresponsive machine is probed directly, or judged by its starts behind a network partition', async () => {
  const { clock, ctx, cluster, agent, machine, probes, processor } = leaderOfTerm2();
  cluster.markUnresponsive(machine, clock.now());
  processor.process(agent.heartbeat(), false);
  assert.ok(cluster.pendingProbes.has(machine));
  await settle();
  assert.equal(probes.length, 1);
  assert.notEqual(machine.unresponsiveSince, null);
  // Starts without effect keep the machine unresponsive until half of the agent lease is over.
  machine.missedAcknowledgements = 2;
  processor.process(agent.heartbeat(), true);
  assert.notEqual(machine.unresponsiveSince, null);
  await clock.advance(ctx.timing.agentLeaseMs * 0.5 + 1);
  machine.missedAcknowledgements = 2;
  processor.process(agent.heartbeat(), true);
  assert.equal(machine.unresponsiveSince, null);
  // Without such starts it is responsive at once.
  cluster.markUnresponsive(machine, clock.now());
  machine.missedAcknowledgements = 0;
  processor.process(agent.heartbeat(), true);
  assert.equal(machine.unresponsiveSince, null);
});

test('resources that a heartbeat frees are assigned in its own response', () => {
  const { clock, cluster, agent, processor } = leaderOfTerm2();
  // Four tasks fill the machine.
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
