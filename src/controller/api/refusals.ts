/**
 * Refusals of the job API. Statuses and texts are part of the wire protocol:
 * external programs and users depend on them.
 */
import type { Reply } from '../../http/server.js';
import type { UnrunnableReason } from '../../model/job-feasibility.js';
import type { MalformedMessageError } from '../../protocol/json-fields.js';

/** Reasons for a refusal whose text does not depend on the request. */
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

/** Seconds after which a user may retry a request that was refused with 503. */
const RETRY_AFTER_S = 1;

/** Maximum number of jobs listed in a refusal. */
const MAX_LISTED_JOBS = 5;

/** Returns the refusal for the reason; a 503 says when the user may retry. */
export function refuse(reason: RefusalReason): Reply {
  return refusalReply(REFUSALS[reason]);
}

/** Returns a 400 with the error in the submission. */
export function refuseMalformed(error: MalformedMessageError): Reply {
  return refusalReply({ status: 400, text: error.message });
}

/** Returns a 422 that lists the first few of the dependencies that were never accepted. */
export function refuseUnknownDependencies(ids: readonly string[]): Reply {
  const listed = ids.slice(0, MAX_LISTED_JOBS).join(', ');
  return refusalReply({ status: 422, text: `never accepted: ${listed}` });
}

function refusalReply({ status, text }: Refusal): Reply {
  const reply: Reply = { status, body: { error: text } };
  return status === 503 ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
}
