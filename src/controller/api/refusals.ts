/**
 * The refusals that users of the job API get. Statuses and texts are part of
 * the wire: programs and people outside rest on them.
 */
import type { Reply } from '../../http/server.js';
import type { UnrunnableReason } from '../../model/job-feasibility.js';
import type { MalformedMessageError } from '../../protocol/json-fields.js';

/** Why a request is refused, as far as the refusal says nothing of its own content. */
export type RefusalReason =
  | UnrunnableReason
  | 'notJson'
  | 'unknownJob'
  | 'dependsOnItself'
  | 'jobTooLarge'
  | 'machineTypesUnknown'
  | 'memoryLow'
  | 'sameJobAtAnotherNode'
  | 'changedMeanwhile'
  | 'stateServiceUnreachable';

interface Refusal {
  status: 400 | 404 | 422 | 503;
  text: string;
}

const REFUSALS: Readonly<Record<RefusalReason, Refusal>> = {
  notJson: { status: 400, text: 'not JSON' },
  unknownJob: { status: 404, text: 'no such job' },
  unknownTeam: { status: 422, text: 'unknown team' },
  fitsNoMachineType: { status: 422, text: 'a task fits no allowed machine type' },
  exceedsTeamMaximum: { status: 422, text: "over the team's limit" },
  dependsOnItself: { status: 422, text: 'the job names itself' },
  jobTooLarge: { status: 422, text: 'the description of the job is too large' },
  machineTypesUnknown: { status: 503, text: 'machine types are not known yet' },
  memoryLow: { status: 503, text: 'no memory for further jobs' },
  sameJobAtAnotherNode: { status: 503, text: 'another node has the same job' },
  changedMeanwhile: { status: 503, text: 'try again' },
  stateServiceUnreachable: { status: 503, text: 'the state service is out of reach' },
};

/** Seconds after which a user may repeat what was refused with 503. */
const RETRY_AFTER_S = 1;

/** Jobs that a refusal names at most. */
const MAX_NAMED_JOBS = 5;

/** The refusal for the reason; with 503 it says when the user may come back. */
export function refuse(reason: RefusalReason): Reply {
  return refusalReply(REFUSALS[reason]);
}

/** 400 with what is wrong with the submission. */
export function refuseMalformed(error: MalformedMessageError): Reply {
  return refusalReply({ status: 400, text: error.message });
}

/** 422 with the first few of the dependencies that no node has ever accepted. */
export function refuseUnknownDependencies(ids: readonly string[]): Reply {
  const named = ids.slice(0, MAX_NAMED_JOBS).join(', ');
  return refusalReply({ status: 422, text: `never accepted: ${named}` });
}

function refusalReply({ status, text }: Refusal): Reply {
  const reply: Reply = { status, body: { error: text } };
  return status === 503 ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
}
