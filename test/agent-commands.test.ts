import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandResult } from '../src/clients/agent-client.js';
import { AgentCommands } from '../src/controller/leader/agent-commands.js';
import { NoResponseError, NotAttemptedError, NotSentError } from '../src/http/errors.js';
import type { TaskCommand } from '../src/model/task-command.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

interface SentCommand {
  agentEpoch: number;
  commands: TaskCommand[];
  /** Called by the client once it has a connection. */
  stillValid: () => boolean;
}

/** Direct commands of a leader in term 2, with scripted replies of its agents. */
function createAgentCommands(reply: (sent: SentCommand) => CommandResult) {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster({ term: 2 });
  const stop = new AbortController();
  const sent: SentCommand[] = [];
  const resignReasons: string[] = [];
  const proof = { valid: true };
  const term = {
    number: 2,
    signal: stop.signal,
    isProven: () => proof.valid,
    mayStartTasks: () => true,
    resign: (reason: string) => resignReasons.push(reason),
  } as never;
  const agents = {
    command: async (
      _address: string,
      _token: number,
      agentEpoch: number,
      commands: TaskCommand[],
      _signal: AbortSignal,
      stillValid: () => boolean,
    ) => {
      const command = { agentEpoch, commands, stillValid };
      sent.push(command);
      return reply(command);
    },
  };
  const sockets = { commands: 9, confirmations: 9 };
  const commands = new AgentCommands({ ctx, term, cluster, agents, sockets });
  return { clock, ctx, cluster, stop, sent, resignReasons, commands, proof };
}

/** A machine with one task assigned in term 2, whose start has not been sent. */
function withAssignedTask(node: ReturnType<typeof createAgentCommands>) {
  const { cluster, clock } = node;
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), clock.now());
  const job = cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  runPlacementRound(cluster, 32, clock.now());
  const machine = cluster.machines.get('n-1');
  const attempt = job?.activeAttempts.get(0);
  assert.ok(machine && attempt);
  return { agent, machine, attempt };
}

test('a confirmation refused for its agent epoch is retried with the reported epoch', async () => {
  const agent = new ScriptedAgent('n-1');
  agent.agentEpoch = 3;
  const node = createAgentCommands(({ agentEpoch }) => {
    const executed = agentEpoch === 3 && agent.execute(2, []);
    return { executed, heartbeat: agent.heartbeat() };
  });
  node.cluster.inheritMachine('n-1', 'm16', 'a', false, '10.0.0.1:9001', 0);
  void node.commands.confirmInheritedMachines(node.stop.signal).catch(() => {});
  await node.clock.advance(node.ctx.timing.heartbeatMs);
  node.stop.abort();
  assert.deepEqual(
    node.sent.map(({ agentEpoch }) => agentEpoch),
    [1, 3],
  );
  assert.equal(node.cluster.machines.get('n-1')?.confirmed, true);
});

test('a reply from another machine at the same address confirms neither machine', async () => {
  const other = new ScriptedAgent('n-2');
  other.term = 2;
  const node = createAgentCommands(() => ({ executed: true, heartbeat: other.heartbeat() }));
  node.cluster.inheritMachine('n-1', 'm16', 'a', false, '10.0.0.1:9001', 0);
  void node.commands.confirmInheritedMachines(node.stop.signal).catch(() => {});
  await node.clock.advance(node.ctx.timing.heartbeatMs);
  node.stop.abort();
  assert.ok(node.sent.length > 0);
  assert.equal(node.cluster.machines.get('n-1')?.confirmed, false);
  assert.equal(node.cluster.machines.has('n-2'), false);
});

test('a command reply with a higher fencing token ends the term', async () => {
  const agent = new ScriptedAgent('n-1');
  agent.term = 3;
  const node = createAgentCommands(() => ({ executed: false, heartbeat: agent.heartbeat() }));
  node.cluster.inheritMachine('n-1', 'm16', 'a', false, '10.0.0.1:9001', 0);
  void node.commands.confirmInheritedMachines(node.stop.signal).catch(() => {});
  await node.clock.advance(node.ctx.timing.heartbeatMs);
  node.stop.abort();
  assert.deepEqual(node.resignReasons, ['command reply carries a higher fencing token']);
});

test('a start counts as unsent only if its direct command was certainly not sent, and only an attempted command makes the machine unresponsive', async () => {
  for (const [error, fence, unresponsive] of [
    [new NotAttemptedError('every socket is in use'), null, false],
    [new NotSentError('no connection'), null, true],
    [new NoResponseError('timed out'), 0, true],
  ] as const) {
    const node = createAgentCommands(() => {
      throw error;
    });
    const { machine, attempt } = withAssignedTask(node);
    node.commands.sendPending();
    await settle();
    assert.equal(node.sent[0]?.commands[0]?.op, 'start');
    assert.equal(attempt.directCommandFence, fence, error.message);
    assert.equal(machine.unresponsiveSince !== null, unresponsive, error.message);
    assert.equal(attempt.state, 'assigned');
    node.stop.abort();
  }
});

test('a command without a reply does not make a machine behind a network partition unresponsive', async () => {
  const node = createAgentCommands(() => {
    throw new NoResponseError('timed out');
  });
  const { machine } = withAssignedTask(node);
  node.commands.sendPending();
  machine.relayed = true;
  await settle();
  assert.equal(node.sent.length, 1);
  assert.equal(machine.unresponsiveSince, null);
  node.stop.abort();
});

test('a machine with a command in flight is sent no second command', async () => {
  const node = createAgentCommands(() => {
    throw new NoResponseError('timed out');
  });
  const { machine } = withAssignedTask(node);
  node.commands.sendPending();
  assert.equal(node.commands.hasCommandInFlight('n-1'), true);
  node.cluster.pendingProbes.add(machine);
  node.commands.sendPending();
  assert.equal(node.sent.length, 1);
  await settle();
  assert.equal(node.commands.hasCommandInFlight('n-1'), false);
  node.stop.abort();
});

test('a command is not sent if the proof of leadership expires while it waits for a connection', async () => {
  const node = createAgentCommands(() => {
    throw new NoResponseError('timed out');
  });
  withAssignedTask(node);
  node.commands.sendPending();
  assert.equal(node.sent[0]?.stillValid(), true);
  node.proof.valid = false;
  assert.equal(node.sent[0]?.stillValid(), false);
  await settle();
  node.stop.abort();
});

test('a lagging leader sends no direct commands', async () => {
  const node = createAgentCommands(() => {
    throw new NoResponseError('timed out');
  });
  withAssignedTask(node);
  node.cluster.markLagging(node.clock.now());
  node.commands.sendPending();
  assert.equal(node.sent.length, 0);
  await node.clock.advance(node.ctx.timing.heartbeatMs);
  node.commands.sendPending();
  assert.equal(node.sent.length, 1);
  await settle();
  node.stop.abort();
});
