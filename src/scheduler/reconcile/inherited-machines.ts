import type { JobSpec, MachineType } from '../../model/model.js';
import type { Use } from '../../model/policy.js';
import { allowed, type Placed } from '../placement/feasibility.js';
import { kindKey, type Machine } from '../state/machine.js';

interface InheritedKind {
  like: Placed;
  count: number;
}

/**
 * Machines of the durable roster that are neither confirmed nor gone, counted
 * by type, zone and kind: what an earlier leader started may still be there.
 */
export class InheritedMachines {
  private readonly kinds = new Map<string, InheritedKind>();

  add(m: Machine): void {
    if (m.inherited) return;
    m.inherited = true;
    const { typeName, zone, spot } = m;
    const key = kindKey(typeName, zone, spot);
    const kind = this.kinds.get(key) ?? { like: { typeName, zone, spot }, count: 0 };
    kind.count++;
    this.kinds.set(key, kind);
  }

  /** The machine is confirmed or gone. */
  settle(m: Machine): void {
    if (!m.inherited) return;
    m.inherited = false;
    const key = kindKey(m.typeName, m.zone, m.spot);
    const kind = this.kinds.get(key);
    if (kind && --kind.count === 0) this.kinds.delete(key);
  }

  /** One of them may hold tasks of such a job. */
  mayHold(spec: JobSpec): boolean {
    for (const { like } of this.kinds.values()) if (allowed(like, spec)) return true;
    return false;
  }

  /** All that they could hold: nothing is known to be bound on one before it is confirmed. */
  capacity(types: ReadonlyMap<string, MachineType>): Use {
    const sum: Use = { cpus: 0, gpus: 0 };
    for (const { like, count } of this.kinds.values()) {
      const type = types.get(like.typeName);
      sum.cpus += (type?.cpus ?? 0) * count;
      sum.gpus += (type?.gpus ?? 0) * count;
    }
    return sum;
  }
}
