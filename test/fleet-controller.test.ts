import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetController } from '../src/controller/leader/fleet-controller.js';
import { NoResponseError } from '../src/http/errors.js';
import type { ProvisionRequest } from '../src/protocol/cloud-protocol.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

type Answer = (request: ProvisionRequest, call: number) => string[] | null;

/** A leader with work for a few machines, whose cloud answers by script. */
function withWork(answer: Answer) {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster();
  cluster.addJob(jobSpec({ tasks: 200, zone: 'a', allowsSpot: false }), 1, 0, false);
  const scaleOut = new ScaleOutPlanner(cluster);
  const scaleIn = new ScaleInPlanner(cluster);
  const requests: ProvisionRequest[] = [];
  const checks: (() => boolean)[] = [];
  const stop = new AbortController();
  const proof = { lasts: true };
  const cloud = {
    types: async () => [],
    list: async () => ({ machines: [], more: false }),
    terminate: async () => {},
    provision: async (
      request: ProvisionRequest,
      _signal: AbortSignal,
      stillValid: () => boolean,
    ) => {
      requests.push(request);
      checks.push(stillValid);
      return answer(request, requests.length);
    },
  };
  const term = { number: 4, signal: stop.signal, isProven: () => proof.lasts } as never;
  const agents = { retainOnly: () => {} };
  const fleet = new FleetController({ ctx, term, cluster, scaleOut, scaleIn, cloud, agents });
  const run = () => void fleet.runScaling(stop.signal).catch(() => {});
  const firstLook = ctx.timing.listMs + ctx.timing.scalingMs + ctx.timing.roundMs;
  return { clock, ctx, cluster, requests, checks, stop, proof, run, firstLook };
}

const machineIds = (count: number) => Array.from({ length: count }, (_, i) => `n-${i + 1}`);

test('a provision request without an answer is repeated under its name, so that machines are provisioned once', async () => {
  const node = withWork((request, call) => {
    if (call < 3) throw new NoResponseError('timed out');
    return machineIds(request.count);
  });
  node.run();
  await node.clock.advance(node.firstLook + node.ctx.timing.scalingMs * 1.5);
  node.stop.abort();
  assert.equal(node.requests.length, 3);
  assert.deepEqual(
    node.requests.map(({ name }) => name),
    ['n-0-1-4-1', 'n-0-1-4-1', 'n-0-1-4-1'],
  );
  assert.equal(node.cluster.machines.size, node.requests[0]?.count);
});

test('a leader without proof provisions nothing, and a request that waits asks again', async () => {
  const node = withWork(() => {
    node.proof.lasts = false;
    throw new NoResponseError('timed out');
  });
  node.proof.lasts = false;
  node.run();
  await node.clock.advance(node.firstLook * 2);
  assert.equal(node.requests.length, 0);
  node.proof.lasts = true;
  await node.clock.advance(node.firstLook);
  // The proof ended with the first request: it is not repeated, and would not leave either.
  assert.equal(node.requests.length, 1);
  assert.equal(node.checks[0]?.(), false);
  node.stop.abort();
});

test('with fewer machines than asked for, or none, the kind of machine is left for a while', async () => {
  for (const given of [0, 1]) {
    const node = withWork(() => (given === 0 ? null : machineIds(given)));
    node.run();
    await node.clock.advance(node.firstLook);
    const first = node.requests.length;
    assert.ok(first > 0);
    assert.ok((node.requests[0]?.count ?? 0) > 1);
    await node.clock.advance(node.ctx.timing.scalingMs * 3);
    assert.equal(node.requests.length, first, `${given} given`);
    node.stop.abort();
  }
});

test('the machine list comes before the first plan', async () => {
  const node = withWork(() => null);
  node.run();
  await node.clock.advance(node.ctx.timing.listMs);
  assert.equal(node.requests.length, 0);
  await node.clock.advance(node.firstLook);
  assert.ok(node.requests.length > 0);
  node.stop.abort();
});
