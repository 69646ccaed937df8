import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ScriptedController } from './support/controller.js';
import type { ScriptedMachine } from './support/scripted-machine.js';
import { seededRandom } from './support/seeded-random.js';
import { World } from './support/world.js';

const SEEDS = 12;
const FAILURES_PER_HISTORY = 26;
/**
 * Every second history starts on the old version and upgrades one controller at
 * each of these steps. The limits of the state service are lowered afterwards.
 */
const UPGRADE_STEPS = [3, 6, 9];
const LIMITS_LOWERED_STEP = 13;

/** A history of random failures, each with a random duration, so that several overlap. */
class FailureHistory {
  readonly world: World;
  private readonly jobIds: string[] = [];

  constructor(
    readonly random: () => number,
    private readonly upgrade: boolean,
  ) {
    this.world = new World(random, 5, () => 2000 + random() * 40_000);
    if (!upgrade) return;
    this.world.upgradedControllers.clear();
    for (const c of [...this.world.controllers]) this.world.restart(c);
  }

  async run(): Promise<void> {
    const { world } = this;
    await world.run(8);
    for (let i = 0; i < FAILURES_PER_HISTORY; i++) {
      if (this.upgrade) this.upgradeAtStep(i);
      await this.sendUserRequests();
      this.injectFailure(world.randomIndex(14));
      await world.run(0.5 + world.random() * 5);
    }
    this.stopFailures();
    // This exceeds the sum of the longest failure, the leases and the remaining work.
    await world.run(260);
    for (const id of this.jobIds) await world.poll(id);
    for (const [id, reported] of world.reportedStates)
      assert.notEqual(reported.state, 'live', `${id} was accepted and has not ended`);
  }

  /**
   * Upgrades a controller at each step in `UPGRADE_STEPS`. A controller that
   * crashes before its turn restarts with the old version.
   */
  private upgradeAtStep(step: number): void {
    const { world } = this;
    const turn = UPGRADE_STEPS.indexOf(step);
    const controller = world.controllers[turn];
    if (controller) {
      world.upgradedControllers.add(controller.name);
      world.restart(controller);
    }
    if (step === LIMITS_LOWERED_STEP) world.lowerLimits();
  }

  /**
   * Picks dependencies of a new job, in any state. Returns none until all
   * controllers are upgraded, because the old version does not support them.
   */
  private pickDependencies(): string[] {
    const { world } = this;
    if (world.upgradedControllers.size < world.controllers.length || world.random() < 0.4)
      return [];
    const accepted = this.jobIds.filter((id) => world.reportedStates.has(id));
    return accepted.slice(-8).filter(() => world.random() < 0.3);
  }

  private async sendUserRequests(): Promise<void> {
    const { world } = this;
    for (let i = world.randomIndex(3); i > 0; i--)
      this.jobIds.push(await world.submit({ awaits: this.pickDependencies() }));
    const id = this.jobIds[world.randomIndex(Math.max(1, this.jobIds.length))];
    // Jobs that others depend on may be cancelled as well.
    if (id && world.random() < 0.3) await world.cancel(id);
    if (id) await world.poll(id);
  }

  private injectFailure(kind: number): void {
    const { world } = this;
    const durationMs = 300 + world.random() ** 2 * 60_000;
    const controller =
      world.random() < 0.7 && world.currentLeader
        ? world.currentLeader
        : this.pickOne(world.controllers);
    const machine = this.pickOne(world.machines);
    switch (kind) {
      case 0:
      case 1:
        this.refuseStateRequests(controller, durationMs);
        break;
      case 2:
        this.refuseStateRequests(controller, 12_000);
        world.runLater(300 + world.random() * 2000, () => this.startOutage(durationMs));
        break;
      case 3:
        this.startOutage(durationMs * 0.5);
        break;
      case 4:
      case 5:
        controller.crash();
        world.runLater(100 + world.random() * 5000, () => world.restart(controller));
        break;
      case 6:
        this.refuseStateRequests(controller, durationMs);
        controller.isPartitionedFromPeers = true;
        world.runLater(durationMs, () => {
          controller.isPartitionedFromPeers = false;
        });
        break;
      case 7:
        controller.isPartitionedFromAgents = true;
        world.runLater(durationMs, () => {
          controller.isPartitionedFromAgents = false;
        });
        break;
      case 8:
        this.setMachineFault(machine, 'dropsInbound', durationMs);
        break;
      case 9:
        this.setMachineFault(machine, 'dropsOutbound', durationMs);
        break;
      case 10:
        machine.isSuspended = true;
        world.runLater(durationMs * 0.5, () => machine.resume());
        break;
      case 11:
        world.delayedWriteShare = 0.2;
        break;
      case 12:
        world.duplicateHeartbeatShare = 0.3;
        break;
      default:
        for (const x of [...world.controllers]) {
          x.crash();
          world.runLater(100 + world.random() * 30_000, () => world.restart(x));
        }
    }
    this.applyLateWrites();
  }

  private setMachineFault(
    machine: ScriptedMachine,
    fault: 'dropsInbound' | 'dropsOutbound',
    durationMs: number,
  ): void {
    machine[fault] = true;
    this.world.runLater(durationMs, () => {
      machine[fault] = false;
    });
  }

  private refuseStateRequests(controller: ScriptedController, durationMs: number): void {
    if (controller.hasCrashed) return;
    controller.state.fault = 'refuse';
    this.world.runLater(durationMs, () => {
      if (!controller.hasCrashed) controller.state.fault = null;
    });
  }

  private startOutage(durationMs: number): void {
    this.world.store.outage = true;
    this.world.runLater(durationMs, () => {
      this.world.store.outage = false;
    });
  }

  /** Schedules the transactions that got no response for 2 to 12 seconds later, in any order. */
  private applyLateWrites(): void {
    for (const c of this.world.controllers)
      for (const write of c.state.delayedRequests.splice(0))
        this.world.runLater(2000 + this.world.random() * 10_000, () => {
          try {
            write();
          } catch {
            // The state service rejects the write when its lease has ended.
          }
        });
  }

  private stopFailures(): void {
    const { world } = this;
    world.delayedWriteShare = 0;
    world.duplicateHeartbeatShare = 0;
    this.applyLateWrites();
  }

  shutDown(): void {
    for (const c of this.world.controllers) c.crash();
    for (const m of this.world.machines) m.isTerminated = true;
  }

  /**
   * Counts, among the jobs whose state was reported to users, those with
   * dependencies, the cancelled ones, and those cancelled without a user's request.
   */
  counts(): { dependent: number; cancelled: number; cascaded: number } {
    const { reportedStates, dependenciesByJob, cancellationRequests } = this.world;
    const cancelled = [...reportedStates].filter(([, { state }]) => state === 'cancelled');
    return {
      dependent: [...reportedStates.keys()].filter(
        (id) => (dependenciesByJob.get(id) ?? []).length > 0,
      ).length,
      cancelled: cancelled.length,
      cascaded: cancelled.filter(([id]) => !cancellationRequests.has(id)).length,
    };
  }

  private pickOne<T>(list: readonly T[]): T {
    return list[this.world.randomIndex(list.length)] as T;
  }
}

test('in random histories of overlapping failures the invariants hold and all accepted jobs end', async (t) => {
  let started = 0;
  let cancelled = 0;
  let dependent = 0;
  let cascaded = 0;
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = seededRandom(seed);
    // The jitter of the controllers' routines is drawn from the seed as well.
    const jitter = t.mock.method(Math, 'random', random);
    const history = new FailureHistory(random, seed % 2 === 0);
    try {
      await history.run();
    } catch (error) {
      throw new Error(`seed ${seed}: ${(error as Error).message}`, { cause: error });
    } finally {
      jitter.mock.restore();
      history.shutDown();
    }
    started += history.world.startCount;
    const counts = history.counts();
    dependent += counts.dependent;
    cancelled += counts.cancelled;
    cascaded += counts.cascaded;
  }
  assert.ok(started > SEEDS * 30, `only ${started} starts`);
  assert.ok(cancelled > SEEDS, `only ${cancelled} jobs cancelled`);
  assert.ok(dependent > SEEDS * 3, `only ${dependent} jobs with dependencies`);
  assert.ok(cascaded > SEEDS, `only ${cascaded} jobs cancelled because a dependency was cancelled`);
});
