import type { StateLimits } from '../../src/config/state-limits.js';
import type { ControllerContext } from '../../src/controller/context.js';
import type { Change } from '../../src/protocol/key-value-protocol.js';
import type { FakeClock } from './clock.js';
import { createContext } from './context.js';
import { FakeStateService, FakeStore } from './state.js';

/** A state service that keeps the text of every value that is written to it, in order. */
export class RecordingStateService extends FakeStateService {
  /** Key and JSON text of each value, as they leave the writer. */
  readonly written: [key: string, text: string][] = [];

  constructor(store: FakeStore) {
    super(store);
    this.onTransact = (changes: Change[]) => {
      for (const change of changes)
        if (change.op === 'put') this.written.push([change.key, JSON.stringify(change.value)]);
    };
  }

  /** The text last written under the key. */
  lastText(key: string): string | undefined {
    return this.written.findLast(([written]) => written === key)?.[1];
  }
}

/** One node with a store of its own; low limits make little data take several pages. */
export function createRecordingNode(clock: FakeClock, limits: Partial<StateLimits> = {}) {
  const store = new FakeStore(clock);
  const state = new RecordingStateService(store);
  const base = createContext('n-0', state, clock);
  const ctx: ControllerContext = { ...base, limits: { ...base.limits, ...limits } };
  return { store, state, ctx };
}
