import { Priority } from '../clients/budget.js';
import { liveKey, overKey } from '../core/flush.js';
import { neverRuns } from '../core/model.js';
import type { Reply } from '../http/server.js';
import {
  acceptedAnswer,
  JOB_ID,
  jobAnswer,
  Malformed,
  parseSubmission,
  type Standing,
  submissionId,
} from '../protocol/wire.js';
import type { Context, LiveRecord, OverRecord } from './context.js';

/** Counts of a live job's tasks, for display only. */
interface Counts {
  done: number;
  running: number;
}

interface Known {
  standing: Standing;
  tasks: number;
  version: number;
  live: boolean;
}

/** Seconds after which a refused user may come back. */
const RETRY_S = 1;

export function unavailable(why: string): Reply {
  return { status: 503, body: { error: why }, retryAfterS: RETRY_S };
}

function refuse(status: number, why: string): Reply {
  return { status, body: { error: why } };
}

/** What users ask, answered from the state service by any node, leader or not. */
export class Users {
  constructor(
    private readonly ctx: Context,
    private readonly counts: (id: string) => Counts | null,
    /** Has whoever leads stop the job before its user is told. */
    private readonly announce: (id: string, revision: number) => Promise<void>,
  ) {}

  /** The live key is looked up first: an end moves it, so a job can't slip between the two reads. */
  private async lookup(id: string, priority: Priority = Priority.users): Promise<Known | null> {
    const live = await this.ctx.state.get(liveKey(id), priority);
    if (live) {
      const record = live.value as LiveRecord;
      const running = (this.counts(id)?.running ?? 0) > 0;
      return {
        standing: running ? 'running' : 'queued',
        tasks: record.spec.tasks,
        version: live.version,
        live: true,
      };
    }
    const over = await this.ctx.state.get(overKey(id), priority);
    if (!over) return null;
    const record = over.value as OverRecord;
    return { standing: record.state, tasks: record.tasks, version: over.version, live: false };
  }

  async submit(body: Buffer): Promise<Reply> {
    let json: unknown;
    let id: string;
    try {
      json = JSON.parse(body.toString());
      id = submissionId(json);
    } catch (error) {
      return refuse(400, error instanceof Malformed ? error.message : 'not JSON');
    }
    let refusal: Reply | null = null;
    let record: LiveRecord | null = null;
    try {
      const spec = parseSubmission(json);
      record = { spec, at: this.ctx.clock.wall() };
      if (!this.ctx.types) refusal = unavailable('machine types are not known yet');
      else {
        const never = neverRuns(spec, this.ctx.teams, this.ctx.types);
        if (never) refusal = refuse(422, never);
      }
    } catch (error) {
      if (!(error instanceof Malformed)) throw error;
      refusal = refuse(400, error.message);
    }
    try {
      if (refusal || !record) {
        // A known job is known whatever a repetition of it looks like.
        const known = await this.lookup(id);
        if (known) return { status: 200, body: acceptedAnswer(id, known.standing) };
        return refusal as Reply;
      }
      const created = await this.ctx.state.transact(
        [
          { key: liveKey(id), version: 0 },
          { key: overKey(id), version: 0 },
        ],
        [{ op: 'put', key: liveKey(id), value: record }],
        Priority.users,
      );
      if (created.ok) {
        this.ctx.log.debug({ job: id, team: record.spec.team }, 'accepted');
        return { status: 201, body: acceptedAnswer(id, 'queued') };
      }
      const known = await this.lookup(id);
      if (known) return { status: 200, body: acceptedAnswer(id, known.standing) };
      return unavailable('try again');
    } catch (error) {
      return this.failed(error);
    }
  }

  async query(id: string): Promise<Reply> {
    if (!JOB_ID.test(id)) return refuse(404, 'no such job');
    try {
      const known = await this.lookup(id, Priority.questions);
      if (!known) return refuse(404, 'no such job');
      const counts = known.live ? this.counts(id) : null;
      const done = known.standing === 'done' ? known.tasks : (counts?.done ?? 0);
      return {
        status: 200,
        body: jobAnswer(id, known.standing, done, counts?.running ?? 0),
      };
    } catch (error) {
      return this.failed(error);
    }
  }

  async cancel(id: string): Promise<Reply> {
    if (!JOB_ID.test(id)) return refuse(404, 'no such job');
    try {
      // Twice at the most: a live job that has moved meanwhile has its end.
      for (let tries = 0; tries < 2; tries++) {
        const known = await this.lookup(id);
        if (!known) return refuse(404, 'no such job');
        if (!known.live) {
          if (known.standing === 'cancelled') await this.announce(id, known.version);
          return { status: 200, body: acceptedAnswer(id, known.standing) };
        }
        const over: OverRecord = { state: 'cancelled', tasks: known.tasks };
        const moved = await this.ctx.state.transact(
          [
            { key: liveKey(id), version: known.version },
            { key: overKey(id), version: 0 },
          ],
          [
            { op: 'put', key: overKey(id), value: over },
            { op: 'delete', key: liveKey(id) },
          ],
          Priority.users,
        );
        if (moved.ok) {
          this.ctx.log.info({ job: id }, 'cancelled');
          await this.announce(id, moved.revision);
          return { status: 200, body: acceptedAnswer(id, 'cancelled') };
        }
      }
      return unavailable('try again');
    } catch (error) {
      return this.failed(error);
    }
  }

  private failed(error: unknown): Reply {
    this.ctx.log.debug({ error: String((error as Error).message) }, 'user request not served');
    return unavailable('the state service is out of reach');
  }
}
