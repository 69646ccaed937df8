import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AgentClient } from '../src/clients/agent-client.js';
import { StateClient } from '../src/clients/state-client.js';
import { NotSentError } from '../src/http/errors.js';
import type { Handler } from '../src/http/server.js';
import { RequestBudget, RequestPriority } from '../src/runtime/request-budget.js';
import { FakeClock } from './support/clock.js';
import { withServer } from './support/http.js';

test('a flood of user requests leaves budget and connections for leadership, and budget for completions', async () => {
  const budget = new RequestBudget(10, 10, 0);
  while (budget.tryAcquire(1, RequestPriority.queries, 0) === 0);
  assert.equal(budget.tryAcquire(1, RequestPriority.completions, 0), 0);
  while (budget.tryAcquire(1, RequestPriority.submissions, 0) === 0);
  assert.equal(budget.tryAcquire(1, RequestPriority.leadership, 0), 0);

  const pendingReplies: (() => void)[] = [];
  const handler: Handler = (request) =>
    request.method === 'POST'
      ? { status: 200, body: {} }
      : new Promise((resolve) => pendingReplies.push(() => resolve({ status: 404, body: {} })));
  await withServer(handler, async (port) => {
    const state = new StateClient({
      address: { host: '127.0.0.1', port },
      requestsPerS: 10,
      changesPerS: 10,
      loweredChangesPerS: 10,
      timeoutMs: 60_000,
      clock: new FakeClock(),
    });
    // More requests than there are connections for users.
    const requests = Array.from({ length: 5 }, () =>
      state.get('live/x', RequestPriority.submissions),
    );
    assert.equal(await state.renewLease(7), true);
    const replyToAll = async () => {
      while (pendingReplies.length > 0) pendingReplies.pop()?.();
      await new Promise(setImmediate);
    };
    let done = false;
    const settled = Promise.all(requests).then(() => {
      done = true;
    });
    while (!done) await replyToAll();
    await settled;
    state.close();
  });
});

test('at the socket limit an idle agent connection is closed for another agent, a busy one is not', async () => {
  const body = {
    cart: 'n-1',
    endpoint: 'x:1',
    rig: 'm',
    hall: 'a',
    loaner: false,
    shift: 1,
    tally: 1,
    baton: 1,
    hands: [],
  };
  let release: (() => void) | null = null;
  const delayed: Handler = () =>
    new Promise((resolve) => {
      release = () => resolve({ status: 200, body });
    });
  await withServer(delayed, (a) =>
    withServer(
      () => ({ status: 200, body }),
      async (b) => {
        const agents = new AgentClient(60_000, 1);
        const send = (port: number) =>
          agents.command(`127.0.0.1:${port}`, 1, 1, [], new AbortController().signal, () => true);
        const first = send(a);
        await assert.rejects(send(b), NotSentError);
        while (!release) await new Promise(setImmediate);
        release();
        assert.equal((await first).executed, true);
        assert.equal((await send(b)).executed, true);
        agents.close();
      },
    ),
  );
});
