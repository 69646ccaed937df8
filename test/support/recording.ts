import type { StateLimits } from '../../src/config/state-limits.js';
import type { ControllerContext } from '../../src/controller/context.js';
import type { Change } from '../../src/protocol/key-value-protocol.js';
import type { FakeClock } from './clock.js';
import { createContext } from './context.js';
import { FakeStateService, FakeStore } from './state.js';

/** A state service that records the JSON text of every written value, in the order of writing. */
export class RecordingStateService extends FakeStateService {
  /** Key and JSON text of each value in the transactions sent to the service. */
  readonly written: [key: string, text: string][] = [];

  constructor(store: FakeStore) {
    super(store);
    this.onTransact = (changes: Change[]) => {
      for (const change of changes)
        if (change.op === 'put') this.written.push([change.key, JSON.stringify(change.value)]);
    };
  }

  /** Returns the text last written under the key; undefined when there is none. */
  lastText(key: string): string | undefined {
    return this.written.findLast(([written]) => written === key)?.[1];
  }
}

/**
 * Creates the context of a node with its own store. Low limits split little data into
 * several pages.
 */
export function createRecordingNode(clock: FakeClock, limits: Partial<StateLimits> = {}) {
  const store = new FakeStore(clock);
  const state = new RecordingStateService(store);
  const base = createContext('n-0', state, clock);
  const ctx: ControllerContext = { ...base, limits: { ...base.limits, ...limits } };
  return { store, state, ctx };
}
