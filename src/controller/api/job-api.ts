import type { Reply } from '../../http/server.js';
import { type JobSpec, neverRuns } from '../../model/model.js';
import {
  acceptedAnswer,
  JOB_ID,
  jobAnswer,
  Malformed,
  parseSubmission,
  parseUpstream,
  type Standing,
  submissionId,
} from '../../protocol/wire.js';
import { Priority } from '../../runtime/request-budget.js';
import type { Context } from '../context.js';
import { ListContended } from './dependency-lists.js';
import { Upstream } from './dependency-status.js';
import { JobLookups } from './job-lookups.js';
import {
  type EndedJob,
  JobStore,
  type LiveJob,
  type LiveRecord,
  needsOthers,
  type StoredJob,
  TooLarge,
} from './job-store.js';

/** Counts of a live job's tasks, for display only. */
interface Counts {
  done: number;
  running: number;
}

interface Known {
  standing: Standing;
  tasks: number;
  version: number;
  /** Null: it has ended. */
  live: LiveJob | null;
}

interface Submission {
  spec: JobSpec;
  upstream: string[];
}

function ended(job: EndedJob): Known {
  const { state, tasks } = job.record;
  return { standing: state, tasks, version: job.version, live: null };
}

/** Jobs that a refusal names at the most. */
const MOST_NAMED = 5;

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
  private readonly store: JobStore;
  private readonly upstream: Upstream;
  private readonly questions: JobLookups;

  constructor(
    private readonly ctx: Context,
    private readonly counts: (id: string) => Counts | null,
    /** Has whoever leads stop the job before its user is told. */
    private readonly announce: (id: string, revision: number) => Promise<void>,
    /** Whether this node or the leader has no memory for further jobs. */
    private readonly memoryIsShort: () => boolean = () => false,
  ) {
    this.store = new JobStore(ctx);
    this.upstream = new Upstream(ctx, this.store);
    this.questions = new JobLookups(this.store, Priority.questions);
  }

  private async lookup(id: string): Promise<Known | null> {
    const job = await this.store.find(id, Priority.users);
    return job && this.known(id, job, Priority.users);
  }

  private async known(id: string, job: StoredJob, priority: Priority): Promise<Known> {
    if (!job.live) return ended(job);
    const counts = this.counts(id);
    const running = (counts?.running ?? 0) > 0;
    const begun = running || (counts?.done ?? 0) > 0;
    if (!begun && needsOthers(job.record)) {
      const end = await this.endWithUpstream(id, job, priority);
      if (end) return end;
    }
    return {
      standing: running ? 'running' : 'queued',
      tasks: job.record.spec.tasks,
      version: job.version,
      live: job,
    };
  }

  /**
   * A job that needs a cancelled one is cancelled with it, which the leader
   * may not have done yet. It is called so only once that is durable: what one
   * node says no other may contradict.
   */
  private async endWithUpstream(
    id: string,
    job: LiveJob,
    priority: Priority,
  ): Promise<Known | null> {
    if (!(await this.upstream.cancelledAbove(id, job.record, priority))) return null;
    const moved = await this.store.cancel(job, priority);
    if (moved.ok) {
      this.ctx.log.info({ job: id }, 'cancelled with a job that it needs');
      const { tasks } = job.record.spec;
      return { standing: 'cancelled', tasks, version: moved.revision, live: null };
    }
    const end = await this.store.findEnd(id, priority);
    if (!end) throw new Error(`${id} is neither live nor over`);
    return ended(end);
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
    try {
      const submission = this.judge(json);
      if ('refusal' in submission) return (await this.knownReply(id)) ?? submission.refusal;
      const { spec, upstream } = submission;
      if (this.memoryIsShort())
        return (await this.knownReply(id)) ?? unavailable('no memory for further jobs');
      return upstream.length === 0
        ? await this.accept(spec, [], [])
        : await this.acceptDownstream(spec, upstream);
    } catch (error) {
      return this.failed(error);
    }
  }

  /** What can be said of a submission by itself. */
  private judge(json: unknown): Submission | { refusal: Reply } {
    try {
      const spec = parseSubmission(json);
      const upstream = parseUpstream(json);
      if (!this.ctx.types) return { refusal: unavailable('machine types are not known yet') };
      const never = neverRuns(spec, this.ctx.teams, this.ctx.types);
      if (never) return { refusal: refuse(422, never) };
      return { spec, upstream };
    } catch (error) {
      if (!(error instanceof Malformed)) throw error;
      return { refusal: refuse(400, error.message) };
    }
  }

  /** A known job is known whatever a repetition of it looks like. */
  private async knownReply(id: string): Promise<Reply | null> {
    const known = await this.lookup(id);
    return known && { status: 200, body: acceptedAnswer(id, known.standing) };
  }

  /** Accepts a job that names others, as far as these were accepted. */
  private async acceptDownstream(spec: JobSpec, named: string[]): Promise<Reply> {
    const known = await this.knownReply(spec.id);
    if (known) return known;
    if (named.includes(spec.id)) return refuse(422, 'the job names itself');
    const upstream = await this.upstream.standing(named, Priority.users);
    if (upstream.missing.length > 0)
      return refuse(422, `never accepted: ${upstream.missing.slice(0, MOST_NAMED).join(', ')}`);
    if (!upstream.cancelled) return this.accept(spec, upstream.pending, named);
    const created = await this.store.createCancelled(spec, Priority.users);
    if (!created.ok) return (await this.knownReply(spec.id)) ?? unavailable('try again');
    return { status: 201, body: acceptedAnswer(spec.id, 'cancelled') };
  }

  private async accept(spec: JobSpec, pending: string[], named: string[]): Promise<Reply> {
    const record: LiveRecord = { spec, at: this.ctx.clock.wall() };
    try {
      const created = await this.store.create(record, pending, named, Priority.users);
      if (!created.ok) return (await this.knownReply(spec.id)) ?? unavailable('try again');
    } catch (error) {
      if (error instanceof ListContended) return unavailable('another node has the same job');
      if (!(error instanceof TooLarge)) throw error;
      return (await this.knownReply(spec.id)) ?? refuse(422, error.message);
    }
    this.ctx.log.debug({ job: spec.id, team: spec.team }, 'accepted');
    return { status: 201, body: acceptedAnswer(spec.id, 'queued') };
  }

  async query(id: string): Promise<Reply> {
    if (!JOB_ID.test(id)) return refuse(404, 'no such job');
    try {
      const job = await this.questions.find(id);
      if (!job) return refuse(404, 'no such job');
      const known = await this.known(id, job, Priority.questions);
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
        const moved = await this.store.cancel(known.live, Priority.users);
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
